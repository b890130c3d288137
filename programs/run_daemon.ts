/**
 * Runs a daemon: starts it, drains it on SIGTERM and SIGINT, and ends the process with a clear fault when
 * it can't start.
 *
 * @module
 */
import process from "node:process";
import type { SettingDefinitions, SettingValues } from "#core";
import { EXIT_CODES } from "./exit_codes.ts";
import {
  type ProgramDescription,
  readProgramSettings,
} from "./program_settings.ts";
import { startErrorText } from "./start_error.ts";

/** What the programs run. */
export interface Daemon {
  /** Opens everything; rejects if that can't be done. */
  start(): Promise<void>;
  /** Finishes what was begun and closes. */
  drain(): Promise<void>;
}

/**
 * Reads a program's settings from this process and runs its daemon with them; prints and ends for
 * `--help`, `--version` and faults.
 *
 * @example
 * ```ts
 * await runProgram(ENTRY_PROGRAM, (settings) => new EntryVm(settings));
 * ```
 */
export async function runProgram<Definitions extends SettingDefinitions>(
  program: ProgramDescription<Definitions>,
  build: (settings: SettingValues<Definitions>) => Daemon,
): Promise<void> {
  const outcome = readProgramSettings(program, {
    argv: process.argv.slice(2),
    environment: process.env,
  });
  if (outcome.kind === "run") {
    await runDaemon(program.name, build(outcome.values));
    return;
  }
  const stream = outcome.exitCode === EXIT_CODES.success
    ? process.stdout
    : process.stderr;
  stream.write(outcome.text);
  process.exitCode = outcome.exitCode;
}

/** Starts a daemon and ends the process when it has drained. */
async function runDaemon(program: string, daemon: Daemon): Promise<void> {
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
    console.error(startErrorText(program, error));
    process.exit(EXIT_CODES.failure);
  }
}
