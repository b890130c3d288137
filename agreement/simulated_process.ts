/**
 * Clock and network of one simulated process, which can be frozen and killed: for tests.
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

/** More timers than this at one moment mean that the process never rests. */
const MAXIMUM_TIMERS_AT_ONCE = 10_000;

/** How the clock of a process differs from true time. */
export interface ClockError {
  /** Seconds of this clock in a true second. */
  readonly rate: number;
  readonly monotonicOffsetMs: Milliseconds;
  readonly wallOffsetMs: Milliseconds;
}

/** How a process stands still: its VM is suspended, so that the steady clock does too, or only the process. */
export type Standstill = "process" | "vm";

/** A clock with its own rate and origin; while it is frozen, nothing that is due runs. */
export class ProcessClock extends Clock {
  readonly #base: Clock;
  readonly #error: ClockError;
  readonly #meter: SuspensionMeter;
  #suspendedAtMs: Milliseconds | undefined;
  #suspendedMs: Milliseconds = 0;
  #state: "running" | "frozen" | "dead" = "running";
  #held: (() => void)[] = [];
  #lastSetMs: Milliseconds = 0;
  #setAtOnce = 0;

  constructor(base: Clock, error: ClockError) {
    super();
    this.#base = base;
    this.#error = error;
    this.#meter = new SuspensionMeter(this.#reading());
  }

  override wallMs(): Milliseconds {
    return this.#base.wallMs() + this.#error.wallOffsetMs;
  }

  override nowMs(): Milliseconds {
    return this.#meter.read(this.#reading());
  }

  #reading(): ClockReading {
    const { rate, monotonicOffsetMs } = this.#error;
    const baseMs = this.#base.nowMs();
    const standingMs = baseMs - (this.#suspendedAtMs ?? baseMs);
    const runMs = baseMs - this.#suspendedMs - standingMs;
    const steadyMs = monotonicOffsetMs + runMs * rate;
    return { steadyMs, wallMs: this.wallMs() };
  }

  override after(delayMs: Milliseconds, action: () => void): Timer {
    this.#countTimers();
    let cancelled = false;
    const run = (): void => {
      if (!cancelled) action();
    };
    const timer = this.#base.after(delayMs / this.#error.rate, () => {
      if (this.#state === "running") run();
      if (this.#state === "frozen") this.#held.push(run);
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  #countTimers(): void {
    const nowMs = this.#base.nowMs();
    this.#setAtOnce = nowMs === this.#lastSetMs ? this.#setAtOnce + 1 : 0;
    this.#lastSetMs = nowMs;
    if (this.#setAtOnce > MAXIMUM_TIMERS_AT_ONCE) {
      throw new Error("the process never rests");
    }
  }

  /** Stops everything until `thaw`. */
  freeze(how: Standstill): void {
    if (this.#state !== "running") return;
    this.#state = "frozen";
    if (how === "vm") this.#suspendedAtMs = this.#base.nowMs();
  }

  /** Runs what became due meanwhile. */
  thaw(): void {
    if (this.#state !== "frozen") return;
    this.#state = "running";
    const nowMs = this.#base.nowMs();
    this.#suspendedMs += nowMs - (this.#suspendedAtMs ?? nowMs);
    this.#suspendedAtMs = undefined;
    const held = this.#held;
    this.#held = [];
    for (const action of held) action();
  }

  /** Stops everything for good. */
  kill(): void {
    this.#state = "dead";
    this.#held = [];
  }
}

/** A network that ends with its process. */
export class ProcessNetwork extends PeerNetwork {
  override readonly self: string;
  readonly #network: PeerNetwork;
  #alive = true;

  constructor(network: PeerNetwork) {
    super();
    this.self = network.self;
    this.#network = network;
  }

  /** Sends and receives nothing from now on. */
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
