/**
 * An upstream of a `CrashWorld`, without sockets: it runs calls, crashes under some of them or by itself, leaves as
 * planned, resets connections, and starts again under its old or a new identifier.
 *
 * @module
 */
import {
  type Clock,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
  type RandomSource,
  SECOND_MS,
} from "#core";
import type { Attempt } from "#requests";

const WORK_MS: Milliseconds = 36;
const LEAST_CRASH_MS: Milliseconds = 60;
const CRASH_SPREAD_MS: Milliseconds = 55;
const RESTART_MS: Milliseconds = 3_300;
const DRAIN_MS: Milliseconds = 2 * SECOND_MS;

interface RunningCall {
  readonly body: string;
  readonly end: (attempt: Attempt) => void;
}

/** Port of the upstream with index 0. */
export const FIRST_PORT = 8_000;

/** Options of `VirtualUpstream`. */
export interface VirtualUpstreamOptions {
  readonly index: number;
  readonly service: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Chance that the connection of a call is reset instead of its response. */
  readonly resetChance: number;
  /** Whether a call crashes whatever runs it. */
  readonly isCrashing: (body: string) => boolean;
  readonly onHeartbeat: (record: FleetUpstream) => void;
  /** Called with the calls that it was running when it crashed. */
  readonly onCrash: (bodies: readonly string[]) => void;
}

/** One upstream with all of its incarnations. */
export class VirtualUpstream {
  readonly #options: VirtualUpstreamOptions;
  readonly #running = new Set<RunningCall>();
  #record: FleetUpstream;
  #isUp = true;
  #starts = 0;

  constructor(options: VirtualUpstreamOptions) {
    this.#options = options;
    this.#record = {
      id: `u${options.index}`,
      bornMs: 1,
      sequence: 1,
      service: options.service,
      zone: `z${options.index % 3}`,
      address: { host: "10.0.0.1", port: FIRST_PORT + options.index },
      slots: 6,
      phase: "ready",
      serves: [],
    };
  }

  /** Whether it accepts connections. */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** Whether this incarnation of it is running. */
  isRunning(record: FleetUpstream): boolean {
    return this.#isUp && incarnationOf(this.#record) === incarnationOf(record);
  }

  sendHeartbeat(): void {
    if (!this.#isUp) return;
    const { sequence } = this.#record;
    this.#record = { ...this.#record, sequence: sequence + 1 };
    this.#options.onHeartbeat(this.#record);
  }

  /** Runs a call until its response, or the end of this incarnation. */
  run(body: string): Promise<Attempt> {
    return new Promise((resolve) => {
      const call: RunningCall = {
        body,
        end: (attempt) => {
          this.#running.delete(call);
          resolve(attempt);
        },
      };
      this.#running.add(call);
      this.#begin(call);
    });
  }

  /** Ends this incarnation without notice; another one starts later. */
  crash(): void {
    if (!this.#isUp) return;
    const bodies = [...this.#running].map((each) => each.body);
    this.#end();
    this.#options.onCrash(bodies);
    this.#options.clock.after(RESTART_MS, () => this.#restart());
  }

  /** Announces that it leaves, and is replaced once it has drained. */
  leave(): void {
    if (!this.#isUp) return;
    this.#record = { ...this.#record, phase: "draining" };
    this.sendHeartbeat();
    const leaving = this.#record;
    this.#options.clock.after(DRAIN_MS, () => {
      if (!this.isRunning(leaving)) return;
      this.#end();
      this.#restart();
    });
  }

  #begin(call: RunningCall): void {
    const { clock, random, isCrashing, resetChance } = this.#options;
    if (isCrashing(call.body)) {
      const crashMs = LEAST_CRASH_MS + CRASH_SPREAD_MS * random.fraction();
      clock.after(crashMs, () => {
        if (this.#running.has(call)) this.crash();
      });
      return;
    }
    clock.after(WORK_MS, () => {
      if (!this.#running.has(call)) return;
      const isReset = resetChance > 0 && random.fraction() < resetChance;
      call.end(isReset ? { kind: "unknown", reason: "reset" } : answer());
    });
  }

  #end(): void {
    this.#isUp = false;
    for (const call of [...this.#running]) {
      call.end({ kind: "unknown", reason: "socket hang up" });
    }
  }

  /** Starts another incarnation, under the old identifier or a new one. */
  #restart(): void {
    const { random, clock } = this.#options;
    this.#starts += 1;
    const { id } = this.#record;
    const keepsId = random.below(2) === 0;
    this.#record = {
      ...this.#record,
      id: keepsId ? id : `${id}-${this.#starts}`,
      bornMs: Math.ceil(clock.nowMs()),
      phase: "ready",
      sequence: 1,
    };
    this.#isUp = true;
    this.sendHeartbeat();
  }
}

function answer(): Attempt {
  const body = Buffer.alloc(0);
  const response = { status: 200, headers: {}, rawHeaders: [], body };
  return { kind: "answer", response };
}
