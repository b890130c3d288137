/**
 * One process of a test cluster: starts a built program, checks its readiness, and signals it by its process ID.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import process from "node:process";
import type { Milliseconds } from "#core";
import { JsonClient } from "#fakes";

const POLL_INTERVAL_MS: Milliseconds = 50;
const PROBE_TIMEOUT_MS: Milliseconds = 1_000;
const LOG_TAIL_CHARACTERS = 4_000;

const RUNNING_CHILDREN = new Set<ChildProcess>();

process.once("exit", () => {
  for (const child of RUNNING_CHILDREN) child.kill("SIGKILL");
});

/** Options of `ManagedProcess`. */
export interface ProcessOptions {
  readonly name: string;
  /** Path of the built program. */
  readonly program: string;
  readonly arguments: readonly string[];
  /** Environment variables in addition to those of this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** File to which standard output and standard error are appended. */
  readonly logFile: string;
  /** URL that responds with 200 once the process is ready. */
  readonly readyUrl: string;
}

/** Exit code of a process, or the signal that terminated it. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: string | null;
}

/** A process that can be killed, paused, resumed and restarted. */
export class ManagedProcess {
  #options: ProcessOptions;
  readonly #client = new JsonClient();
  #child: ChildProcess;
  #exit: Promise<ProcessExit>;

  constructor(options: ProcessOptions) {
    this.#options = options;
    this.#child = spawnProcess(options);
    this.#exit = exitOf(this.#child);
  }

  /** Name of the process in the cluster. */
  get name(): string {
    return this.#options.name;
  }

  /** ID of the current process. */
  get processId(): number | undefined {
    return this.#child.pid;
  }

  /** Whether the process has not exited yet. */
  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Resolves with the exit of the current process. */
  exited(): Promise<ProcessExit> {
    return this.#exit;
  }

  /** Resolves once the process is ready; rejects with the end of its log on an early exit or a timeout. */
  async waitUntilReady(timeoutMs: Milliseconds): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    while (!await this.isReady()) {
      if (!this.isRunning) {
        throw new Error(`${this.name} exited\n${this.logTail()}`);
      }
      if (performance.now() > deadlineMs) {
        throw new Error(
          `${this.name} is not ready after ${timeoutMs} ms\n${this.logTail()}`,
        );
      }
      await delay(POLL_INTERVAL_MS);
    }
  }

  /** Whether the process is ready now. */
  async isReady(): Promise<boolean> {
    const url = new URL(this.#options.readyUrl);
    const response = await this.#client.send({
      method: "GET",
      baseUrl: url.origin,
      path: url.pathname,
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    return response.status === 200;
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#exit;
  }

  /** Sends SIGTERM to the process and returns its exit. */
  async stop(): Promise<ProcessExit> {
    this.#child.kill("SIGTERM");
    return await this.#exit;
  }

  /** Pauses the process with SIGSTOP. */
  pause(): void {
    this.#child.kill("SIGSTOP");
  }

  /** Resumes the process after `pause`. */
  resume(): void {
    this.#child.kill("SIGCONT");
  }

  /** Path of the program of the current or last process. */
  get program(): string {
    return this.#options.program;
  }

  /** Starts the process again after its exit, with another program if one is given. */
  restart(program: string = this.#options.program): void {
    this.#options = { ...this.#options, program };
    this.#child = spawnProcess(this.#options);
    this.#exit = exitOf(this.#child);
  }

  /** Returns the complete log of the process. */
  log(): string {
    return readFileSync(this.#options.logFile, "utf8");
  }

  /** Returns the last characters of the log. */
  logTail(): string {
    return this.log().slice(-LOG_TAIL_CHARACTERS);
  }

  /** Kills the process if it is still running. */
  async cleanUp(): Promise<void> {
    this.#client.close();
    if (!this.isRunning) return;
    this.#child.kill("SIGKILL");
    await this.#exit;
  }
}

/** Resolves after the given time. */
export function delay(timeMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, timeMs));
}

/** Resolves with the elapsed time once the check returns true; rejects with the description on timeout. */
export async function waitUntil(
  description: string,
  timeoutMs: Milliseconds,
  check: () => Promise<boolean> | boolean,
): Promise<Milliseconds> {
  const startMs = performance.now();
  while (!await check()) {
    if (performance.now() > startMs + timeoutMs) {
      throw new Error(`not within ${timeoutMs} ms: ${description}`);
    }
    await delay(POLL_INTERVAL_MS);
  }
  return performance.now() - startMs;
}

function spawnProcess(options: ProcessOptions): ChildProcess {
  const log = openSync(options.logFile, "a");
  const child = spawn(
    process.execPath,
    [options.program, ...options.arguments],
    {
      stdio: ["ignore", log, log],
      env: { ...process.env, ...options.environment },
    },
  );
  closeSync(log);
  RUNNING_CHILDREN.add(child);
  child.once("exit", () => RUNNING_CHILDREN.delete(child));
  return child;
}

function exitOf(child: ChildProcess): Promise<ProcessExit> {
  return new Promise((resolve) => {
    child.once("exit", (code, signal) => resolve({ code, signal }));
  });
}
