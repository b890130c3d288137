/**
 * Clock, network and snapshot policy of a simulated process that can be paused and killed, for tests.
 *
 * @module
 */
import {
  Clock,
  type ClockReading,
  type Failure,
  type Milliseconds,
  type Result,
  SuspensionMeter,
  type Timer,
} from "#core";
import {
  type Channel,
  type NoticeHandler,
  type NoticeOptions,
  PeerNetwork,
  type RequestHandler,
  type RequestOptions,
} from "#wire";
import type { SnapshotPolicy } from "./snapshot_policy.ts";

/** Snapshots are due after a few entries; they and the rewritten logs consist of several writes. */
export const SNAPSHOT_POLICY: SnapshotPolicy = {
  entries: 8,
  bytes: 1_000_000,
  retainedEntries: 3,
  retainedBytes: 1_000_000,
  settleMs: 50,
  maximumBytes: 1_000_000,
  writeBytes: 60,
};

/** Setting more timers than this without time advancing indicates an endless loop. */
const MAXIMUM_TIMERS_AT_ONCE = 10_000;

/** Difference between the clock of a process and true time. */
export interface ClockError {
  /** Seconds that this clock advances in one true second. */
  readonly rate: number;
  readonly monotonicOffsetMs: Milliseconds;
  readonly wallOffsetMs: Milliseconds;
}

/** Whether only the process is paused, or its VM is suspended, which also stops the monotonic clock. */
export type PauseScope = "process" | "vm";

/** A clock with its own rate and origin that defers timers that come due while it is paused. */
export class ProcessClock extends Clock {
  readonly #base: Clock;
  readonly #error: ClockError;
  readonly #meter: SuspensionMeter;
  #suspendedAtMs: Milliseconds | undefined;
  #suspendedMs: Milliseconds = 0;
  #state: "running" | "paused" | "dead" = "running";
  #deferredActions: (() => void)[] = [];
  #lastTimerSetMs: Milliseconds = 0;
  #timersSetAtOnce = 0;

  constructor(base: Clock, error: ClockError) {
    super();
    this.#base = base;
    this.#error = error;
    this.#meter = new SuspensionMeter(this.reading());
  }

  override wallMs(): Milliseconds {
    return this.#base.wallMs() + this.#error.wallOffsetMs;
  }

  override nowMs(): Milliseconds {
    return this.#meter.read(this.reading());
  }

  /** Returns a reading of both clocks of this process. */
  reading(): ClockReading {
    const { rate, monotonicOffsetMs } = this.#error;
    const baseMs = this.#base.nowMs();
    const currentSuspensionMs = baseMs - (this.#suspendedAtMs ?? baseMs);
    const runningMs = baseMs - this.#suspendedMs - currentSuspensionMs;
    const steadyMs = monotonicOffsetMs + runningMs * rate;
    return { steadyMs, wallMs: this.wallMs() };
  }

  override after(delayMs: Milliseconds, action: () => void): Timer {
    this.#checkTimerCount();
    let cancelled = false;
    const run = (): void => {
      if (!cancelled) action();
    };
    const timer = this.#base.after(delayMs / this.#error.rate, () => {
      if (this.#state === "running") run();
      if (this.#state === "paused") this.#deferredActions.push(run);
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  #checkTimerCount(): void {
    const nowMs = this.#base.nowMs();
    this.#timersSetAtOnce = nowMs === this.#lastTimerSetMs
      ? this.#timersSetAtOnce + 1
      : 0;
    this.#lastTimerSetMs = nowMs;
    if (this.#timersSetAtOnce > MAXIMUM_TIMERS_AT_ONCE) {
      throw new Error(
        "the process keeps setting timers without time advancing",
      );
    }
  }

  /** Defers all timers until `resume`. */
  pause(scope: PauseScope): void {
    if (this.#state !== "running") return;
    this.#state = "paused";
    if (scope === "vm") this.#suspendedAtMs = this.#base.nowMs();
  }

  /** Runs the timers that came due during the pause. */
  resume(): void {
    if (this.#state !== "paused") return;
    this.#state = "running";
    const nowMs = this.#base.nowMs();
    this.#suspendedMs += nowMs - (this.#suspendedAtMs ?? nowMs);
    this.#suspendedAtMs = undefined;
    const deferred = this.#deferredActions;
    this.#deferredActions = [];
    for (const action of deferred) action();
  }

  /** Drops all timers permanently. */
  kill(): void {
    this.#state = "dead";
    this.#deferredActions = [];
  }
}

/** The network of one process, which stops working when the process is killed. */
export class ProcessNetwork extends PeerNetwork {
  override readonly self: string;
  readonly #network: PeerNetwork;
  #alive = true;

  constructor(network: PeerNetwork) {
    super();
    this.self = network.self;
    this.#network = network;
  }

  /** Stops sending and receiving. */
  kill(): void {
    this.#alive = false;
  }

  override notify(options: NoticeOptions, body: unknown): void {
    if (this.#alive) this.#network.notify(options, body);
  }

  override request(
    options: RequestOptions,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    if (!this.#alive) return new Promise(() => {});
    return this.#network.request(options, body);
  }

  override onNotice(channel: Channel, handler: NoticeHandler): void {
    this.#network.onNotice(channel, (from, body) => {
      if (this.#alive) handler(from, body);
    });
  }

  override onRequest(channel: Channel, handler: RequestHandler): void {
    this.#network.onRequest(channel, handler);
  }
}
