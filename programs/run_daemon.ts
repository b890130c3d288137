/**
 * Runs a daemon: starts it, drains it on SIGTERM and SIGINT, and exits with an error message when it can't
 * start.
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

/** A long-running process of a program. */
export interface Daemon {
  /** Opens the listen addresses and starts all components; rejects on failure. */
  start(): Promise<void>;
  /** Finishes the work in progress and closes all connections. */
  drain(): Promise<void>;
}

/**
 * Reads a program's settings from the arguments and environment and runs its daemon with them; prints a text and
 * exits for `--help`, `--version` and invalid settings.
 *
 * @example
 * ```ts
 * await runProgram(ENTRY_PROGRAM, (settings) => new EntryVm(settings));
 * ```
 */
export async function runProgram<Definitions extends SettingDefinitions>(
  program: ProgramDescription<Definitions>,
  createDaemon: (settings: SettingValues<Definitions>) => Daemon,
): Promise<void> {
  const outcome = readProgramSettings(program, {
    argv: process.argv.slice(2),
    environment: process.env,
  });
  if (outcome.kind === "run") {
    await runDaemon(program.name, createDaemon(outcome.values));
    return;
  }
  const stream = outcome.exitCode === EXIT_CODES.success
    ? process.stdout
    : process.stderr;
  stream.write(outcome.text);
  process.exitCode = outcome.exitCode;
}

/** Starts a daemon; exits when it has drained after a signal. */
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
