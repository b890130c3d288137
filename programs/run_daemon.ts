/**
 * Runs a daemon: starts it, drains it on SIGTERM and SIGINT, and ends the process with a clear fault when
 * it can't start.
 *
 * @module
 */
import process from "node:process";
import { EXIT_CODES } from "./exit_codes.ts";
import { startFaultText } from "./start_fault.ts";

/** What the programs run. */
export interface Daemon {
  /** Opens everything; rejects if that can't be done. */
  start(): Promise<void>;
  /** Finishes what was begun and closes. */
  drain(): Promise<void>;
}

/** Starts a daemon and ends the process when it has drained. */
export async function runDaemon(
  program: string,
  daemon: Daemon,
): Promise<void> {
  let stopping = false;
  const stop = async (): Promise<void> => {
    if (stopping) return;
    stopping = true;
    await daemon.drain();
    process.exit(EXIT_CODES.success);
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  try {
    await daemon.start();
  } catch (error) {
    console.error(startFaultText(program, error));
    process.exit(EXIT_CODES.failure);
  }
}
