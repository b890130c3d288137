/**
 * The link rule of tests: a file names the VMs whose messages are neither sent nor taken. Refused
 * outside loopback, so that no deployment can be cut by a stray file.
 *
 * @module
 */
import { readFileSync, statSync } from "node:fs";
import type { Clock, Milliseconds, SettingError, Timer } from "#core";

const READ_INTERVAL_MS: Milliseconds = 50;
const LOOPBACK_PREFIX = "127.";

/** Settings that the rule depends on. */
export interface TestPartitionSettings {
  readonly "listen-host": string;
  readonly "test-cut-file": string;
}

/** The fault of a cut file outside loopback, if there is one. */
export function testPartitionErrors(
  settings: TestPartitionSettings,
): readonly SettingError[] {
  const file = settings["test-cut-file"];
  if (file === "" || settings["listen-host"].startsWith(LOOPBACK_PREFIX)) {
    return [];
  }
  return [{
    setting: "test-cut-file",
    value: file,
    message: "is for tests only and needs a listen-host of 127.0.0.0/8",
  }];
}

/** Follows the cut file. */
export class TestPartition {
  readonly #file: string;
  #blocked: ReadonlySet<string> = new Set();
  #readAtMs = 0;
  #timer: Timer | undefined;

  constructor(file: string) {
    this.#file = file;
  }

  /** Begins to follow the file, if there is one. */
  start(clock: Clock): void {
    if (this.#file === "") return;
    this.#read();
    this.#timer = clock.every(READ_INTERVAL_MS, () => this.#read());
  }

  /** Ends following. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Whether a message on this route may pass. */
  mayPass(route: { readonly from: string; readonly to: string }): boolean {
    return !this.#blocked.has(route.from) && !this.#blocked.has(route.to);
  }

  #read(): void {
    try {
      const changedAtMs = statSync(this.#file).mtimeMs;
      if (changedAtMs === this.#readAtMs) return;
      this.#readAtMs = changedAtMs;
      const lines = readFileSync(this.#file, "utf8").split("\n");
      this.#blocked = new Set(lines.map((line) => line.trim()));
    } catch {
      this.#blocked = new Set();
    }
  }
}
