/**
 * Simulated network partition for tests: a file lists the VMs whose messages are neither sent nor received.
 * Rejected outside loopback, so that a stray file can't partition a deployment.
 *
 * @module
 */
import { readFileSync, statSync } from "node:fs";
import type { Clock, Milliseconds, SettingError, Timer } from "#core";

const READ_INTERVAL_MS: Milliseconds = 50;
const LOOPBACK_PREFIX = "127.";

/** Settings that the partition depends on. */
export interface TestPartitionSettings {
  readonly "listen-host": string;
  readonly "test-cut-file": string;
}

/** Returns an error if a partition file is set and the listen host is not a loopback address. */
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

/** Blocks messages as the partition file says; rereads the file when it changes. */
export class TestPartition {
  readonly #file: string;
  #blockedVms: ReadonlySet<string> = new Set();
  #lastModifiedMs = 0;
  #timer: Timer | undefined;

  constructor(file: string) {
    this.#file = file;
  }

  /** Starts watching the file, if one is set. */
  start(clock: Clock): void {
    if (this.#file === "") return;
    this.#reload();
    this.#timer = clock.every(READ_INTERVAL_MS, () => this.#reload());
  }

  /** Stops watching the file. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Returns whether a message on this route may pass. */
  mayPass(route: { readonly from: string; readonly to: string }): boolean {
    return !this.#blockedVms.has(route.from) && !this.#blockedVms.has(route.to);
  }

  #reload(): void {
    try {
      const modifiedMs = statSync(this.#file).mtimeMs;
      if (modifiedMs === this.#lastModifiedMs) return;
      this.#lastModifiedMs = modifiedMs;
      const lines = readFileSync(this.#file, "utf8").split("\n");
      this.#blockedVms = new Set(lines.map((line) => line.trim()));
    } catch {
      this.#blockedVms = new Set();
    }
  }
}
