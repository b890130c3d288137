/**
 * Entry VMs and control VMs on virtual time that tell each other where streams began, while VMs are killed, links cut and
 * messages lost. An oracle knows the version that began each stream.
 *
 * @module
 */
import {
  type Milliseconds,
  SECOND_MS,
  SeededRandom,
  VirtualClock,
} from "#core";
import { serveControlRequests } from "#membership";
import { OriginClient, OriginServer } from "#streams";
import { MemoryNetwork } from "#wire";

const SERVICE = "advice";
const STEP_MS: Milliseconds = 10;
const RETENTION_MS: Milliseconds = 8 * SECOND_MS;
const MAXIMUM_BREAK_MS: Milliseconds = 3 * SECOND_MS;
const FAULT_INTERVAL_MS: Milliseconds = 700;
/** How long a killed VM is down, and a link cut. */
const FAULT_MS: Milliseconds = 500;
/** The versions that begin streams change this often, and come back. */
const VERSION_MS: Milliseconds = 1_500;
const VERSIONS = ["v1", "v2", "v3"];
const FAULTY_LINKS = {
  minimumDelayMs: 0.3,
  maximumDelayMs: 30,
  dropChance: 0.02,
  duplicateChance: 0.02,
};

/** What came of the streams that were taken up. */
export interface OriginCounts {
  takenUp: number;
  known: number;
  /** Take-ups that would go on at another version than the one that began the stream. */
  joined: number;
}

/** Size and faults of an `OriginWorld`. */
export interface OriginWorldOptions {
  readonly entries: number;
  readonly controls: number;
  readonly streamsPerSecond: number;
  readonly hasFaults: boolean;
  readonly seed: number;
}

/** The VMs, and the streams that they begin. */
export class OriginWorld {
  readonly counts: OriginCounts = { takenUp: 0, known: 0, joined: 0 };
  readonly clock = new VirtualClock();
  readonly network: MemoryNetwork;
  readonly #options: OriginWorldOptions;
  readonly #random: SeededRandom;
  readonly #controls: readonly string[];
  readonly #entries = new Map<number, OriginClient>();
  #started = 0;

  constructor(options: OriginWorldOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const { clock } = this;
    const random = this.#random;
    this.network = options.hasFaults
      ? new MemoryNetwork({ clock, random, links: FAULTY_LINKS })
      : new MemoryNetwork({ clock, random });
    this.#controls = numbered("control", options.controls);
    for (const vm of this.#controls) this.#startControl(vm);
    for (let at = 0; at < options.entries; at += 1) this.#startEntry(at);
  }

  /** Lets streams begin, break off and be taken up for a time. */
  async run(seconds: number): Promise<void> {
    const { streamsPerSecond, hasFaults } = this.#options;
    const perStep = streamsPerSecond * STEP_MS / SECOND_MS;
    let due = 0;
    let faultMs = FAULT_INTERVAL_MS;
    const untilMs = this.clock.nowMs() + seconds * SECOND_MS;
    while (this.clock.nowMs() < untilMs) {
      for (due += perStep; due >= 1; due -= 1) this.#beginStream();
      if (hasFaults && this.clock.nowMs() >= faultMs) {
        this.#strike();
        faultMs += FAULT_INTERVAL_MS;
      }
      await this.clock.advanceAsync(STEP_MS);
    }
    await this.clock.advanceAsync(MAXIMUM_BREAK_MS + SECOND_MS);
  }

  /** Kills all entry VMs at once; they start again with nothing in memory. */
  killEntries(): void {
    for (const at of [...this.#entries.keys()]) this.#killEntry(at);
  }

  #beginStream(): void {
    const at = this.#random.below(this.#options.entries);
    const entry = this.#entries.get(at);
    if (entry === undefined) return;
    this.#started += 1;
    const attempt = `attempt-${this.#started}`;
    const phase = Math.floor(this.clock.nowMs() / VERSION_MS);
    const drawn = phase + this.#random.below(2);
    const softwareVersion = VERSIONS[drawn % VERSIONS.length] ?? "";
    entry.note(attempt, { service: SERVICE, softwareVersion }, RETENTION_MS);
    const breaksAfterMs = this.#random.fraction() * MAXIMUM_BREAK_MS;
    this.clock.after(breaksAfterMs, () => {
      void this.#takeUp(attempt, softwareVersion);
    });
  }

  async #takeUp(attempt: string, softwareVersion: string): Promise<void> {
    const at = this.#random.below(this.#options.entries);
    const entry = this.#entries.get(at);
    if (entry === undefined) return;
    this.counts.takenUp += 1;
    const answer = await entry.find(attempt);
    if (answer.kind === "unknown") return;
    this.counts.known += 1;
    const isSame = answer.origin.softwareVersion === softwareVersion;
    if (!isSame) this.counts.joined += 1;
  }

  #strike(): void {
    const kind = this.#random.below(4);
    const at = this.#random.below(this.#options.entries);
    const control = this.#controls[this.#random.below(this.#controls.length)];
    if (kind === 0) this.#killEntry(at);
    if (kind === 1) this.killEntries();
    if (control === undefined) return;
    if (kind === 2) {
      this.network.leave(control);
      this.clock.after(FAULT_MS, () => this.#startControl(control));
    }
    if (kind === 3) {
      this.network.blockLink(nameOf(at), control);
      this.clock.after(FAULT_MS, () => this.network.restoreLinks());
    }
  }

  #killEntry(at: number): void {
    const entry = this.#entries.get(at);
    if (entry === undefined) return;
    this.#entries.delete(at);
    entry.stop();
    this.network.leave(nameOf(at));
    this.clock.after(FAULT_MS, () => this.#startEntry(at));
  }

  #startEntry(at: number): void {
    const nearest = this.#controls[at % this.#controls.length] ?? "";
    const others = this.#controls.filter((vm) => vm !== nearest);
    const voters = [nearest, ...others];
    const entry = new OriginClient({
      network: this.network.join(nameOf(at)),
      clock: this.clock,
      voters: () => voters,
      controlVms: () => voters,
    });
    this.#entries.set(at, entry);
  }

  #startControl(vm: string): void {
    const { clock } = this;
    const epoch = `${vm}-${clock.nowMs()}`;
    const server = new OriginServer({ clock, epoch });
    serveControlRequests(this.network.join(vm), [server]);
  }
}

function nameOf(entry: number): string {
  return `entry-${entry}`;
}

function numbered(name: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `${name}-${at}`);
}
