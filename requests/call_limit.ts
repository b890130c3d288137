/**
 * The time limit of one call. Calls of all kinds of routes pass through it, so that no wait on their way is without an
 * end: for a permit, a connection, the head of the response, an event, or the end of a stream.
 *
 * @module
 */
import {
  type Clock,
  fail,
  type Failure,
  type HttpResponse,
  type Milliseconds,
  type Timer,
} from "#core";
import type { RoutedCall } from "./forwarded_call.ts";

/**
 * Time to wait past the cutoff for an upstream that reports its own timeout: its connection can then be reused.
 */
const LATE_RESPONSE_GRACE_MS: Milliseconds = 60;
/** Time in which whatever waits settles after `signal` is aborted. */
const SETTLE_MS: Milliseconds = 100;

type Body = Exclude<HttpResponse["body"], string | Uint8Array>;

/** Why a call ends without its response: its time is up, or its caller has left. */
export type CallEnd = "over" | "left";

/** The limit of a call: the earlier of its caller's deadline and its route's timeout, or when the caller leaves. */
export class CallLimit {
  /** When the time is up, on this VM's clock. */
  readonly cutoffMs: Milliseconds;
  readonly #clock: Clock;
  readonly #abort = new AbortController();
  readonly #callerSignal: AbortSignal;
  readonly #handleLeft = (): void => this.#end("left");
  readonly #timer: Timer;
  readonly #listeners = new Set<(reason: CallEnd) => void>();
  #ended: CallEnd | undefined;

  constructor(routed: RoutedCall, clock: Clock) {
    const { call, route, deadlineMs } = routed;
    const nowMs = clock.nowMs();
    this.cutoffMs = Math.min(deadlineMs, nowMs + route.timeoutMs);
    this.#clock = clock;
    this.#callerSignal = call.signal;
    const limitMs = this.cutoffMs + LATE_RESPONSE_GRACE_MS - nowMs;
    this.#timer = clock.after(limitMs, () => this.#end("over"));
    if (call.signal.aborted) this.#end("left");
    else call.signal.addEventListener("abort", this.#handleLeft);
  }

  /** Aborted when the time is up or the caller leaves. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Why the call has ended without its complete response, or undefined. */
  get ended(): CallEnd | undefined {
    return this.#ended;
  }

  /** Returns what a promise resolves to, or the result of `onEnd` if the call ends before. */
  race<Value>(
    promise: Promise<Value>,
    onEnd: (reason: CallEnd) => Value,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      const handleEnd = (reason: CallEnd): void => resolve(onEnd(reason));
      this.#listen(handleEnd);
      promise.then(resolve, reject).finally(() =>
        this.#listeners.delete(handleEnd)
      );
    });
  }

  /**
   * Returns the response, with a body that ends with the call. If what makes the response does not settle soon after the
   * end of the call, returns a failure instead.
   */
  async guard(
    response: Promise<HttpResponse | Failure>,
  ): Promise<HttpResponse | Failure> {
    const guarded = await this.#settled(
      response,
      () => fail("deadline_passed", "no response in time"),
    );
    if (!("kind" in guarded) && isStreamed(guarded.body)) {
      return { ...guarded, body: this.#bound(guarded.body) };
    }
    this.#release();
    return guarded;
  }

  async *#bound(body: Body): AsyncGenerator<string | Uint8Array> {
    const iterator = body[Symbol.asyncIterator]();
    let isDone = false;
    try {
      while (true) {
        const next = await this.#settled(iterator.next(), () => {
          throw new Error("the stream was not complete in time");
        });
        isDone = next.done === true;
        if (next.done === true) return;
        yield next.value;
      }
    } finally {
      this.#release();
      if (!isDone) void iterator.return?.();
    }
  }

  /** Returns what a promise resolves to, or the result of `onLate` if it has not settled soon after the call has ended. */
  #settled<Value>(
    promise: Promise<Value>,
    onLate: () => Value,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      let timer: Timer | undefined;
      const handleEnd = (): void => {
        timer = this.#clock.after(SETTLE_MS, () => {
          Promise.resolve().then(onLate).then(resolve, reject);
        });
      };
      this.#listen(handleEnd);
      promise.then(resolve, reject).finally(() => {
        timer?.cancel();
        this.#listeners.delete(handleEnd);
      });
    });
  }

  #listen(listener: (reason: CallEnd) => void): void {
    if (this.#ended === undefined) this.#listeners.add(listener);
    else listener(this.#ended);
  }

  #end(reason: CallEnd): void {
    this.#ended = reason;
    this.#release();
    // Whoever waits decides by the reason; what was aborted fails after that.
    for (const listener of [...this.#listeners]) listener(reason);
    this.#listeners.clear();
    this.#abort.abort();
  }

  #release(): void {
    this.#timer.cancel();
    this.#callerSignal.removeEventListener("abort", this.#handleLeft);
  }
}

function isStreamed(body: HttpResponse["body"]): body is Body {
  return typeof body !== "string" && !(body instanceof Uint8Array);
}
