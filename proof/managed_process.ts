/**
 * One process of a test cluster: started from its built program, watched, and ended by its own identifier.
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

/** What a process is started from. */
export interface ProcessOptions {
  readonly name: string;
  /** Path of the built program. */
  readonly program: string;
  readonly arguments: readonly string[];
  /** Variables beside those of this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** File that takes standard output and standard error. */
  readonly logFile: string;
  /** URL that answers 200 once it is ready. */
  readonly readyUrl: string;
}

/** How a process ended. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: string | null;
}

/** A process that can be killed, frozen, thawed and started again. */
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

  /** Name in the cluster. */
  get name(): string {
    return this.#options.name;
  }

  /** Identifier of the process that runs now. */
  get processId(): number | undefined {
    return this.#child.pid;
  }

  /** Whether it has not ended. */
  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** How it ends. */
  exited(): Promise<ProcessExit> {
    return this.#exit;
  }

  /** Resolves once it is ready; rejects with the end of its log if it ends first or is late. */
  async waitUntilReady(timeoutMs: Milliseconds): Promise<void> {
    const lateAtMs = performance.now() + timeoutMs;
    while (!await this.isReady()) {
      if (!this.isRunning) {
        throw new Error(`${this.name} ended\n${this.logTail()}`);
      }
      if (performance.now() > lateAtMs) {
        throw new Error(`${this.name} is not ready\n${this.logTail()}`);
      }
      await delay(POLL_INTERVAL_MS);
    }
  }

  /** Whether it is ready now. */
  async isReady(): Promise<boolean> {
    const url = new URL(this.#options.readyUrl);
    const answer = await this.#client.send({
      method: "GET",
      base: url.origin,
      path: url.pathname,
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    return answer.status === 200;
  }

  /** Kills it without warning. */
  async kill(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#exit;
  }

  /** Asks it to stop, and gives how it ended. */
  async stop(): Promise<ProcessExit> {
    this.#child.kill("SIGTERM");
    return await this.#exit;
  }

  /** Stops it from running without ending it. */
  pause(): void {
    this.#child.kill("SIGSTOP");
  }

  /** Lets it run on after `freeze`. */
  resume(): void {
    this.#child.kill("SIGCONT");
  }

  /** Path of the program that it runs, or ran last. */
  get program(): string {
    return this.#options.program;
  }

  /** Starts it again after it ended, with another program if one is given. */
  restart(program: string = this.#options.program): void {
    this.#options = { ...this.#options, program };
    this.#child = spawnProcess(this.#options);
    this.#exit = exitOf(this.#child);
  }

  /** Its whole log. */
  log(): string {
    return readFileSync(this.#options.logFile, "utf8");
  }

  /** The end of its log. */
  logTail(): string {
    return this.log().slice(-LOG_TAIL_CHARACTERS);
  }

  /** Ends it however it stands. */
  async cleanUp(): Promise<void> {
    this.#client.close();
    if (!this.isRunning) return;
    this.#child.kill("SIGKILL");
    await this.#exit;
  }
}

/** Resolves after a time. */
export function delay(timeMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, timeMs));
}

/** Resolves once the check holds; rejects with what was waited for if it does not in time. */
export async function waitUntil(
  what: string,
  timeoutMs: Milliseconds,
  check: () => Promise<boolean> | boolean,
): Promise<Milliseconds> {
  const beganMs = performance.now();
  while (!await check()) {
    if (performance.now() > beganMs + timeoutMs) {
      throw new Error(`not within ${timeoutMs} ms: ${what}`);
    }
    await delay(POLL_INTERVAL_MS);
  }
  return performance.now() - beganMs;
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
