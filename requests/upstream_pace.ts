/**
 * Decides which share of the calls that an equal upstream would get one upstream gets, after its start or after failures.
 *
 * The share grows with each response at the speed of the upstream's peers and shrinks with slow and failed ones. Without
 * responses it also grows, slowly: a VM with few calls learns little by itself, and what it sends is no burden. Only a
 * response ends the pace, though.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** An upstream that runs its first calls ten times slower than later is still not full with this share of its calls. */
const MINIMUM_SHARE = 1 / 16;
const GROWTH_FACTOR = 2;
const SHRINK_FACTOR = 0.5;
/** Share after a single failure, as that of a reset connection. */
const FAILURE_FACTOR = 0.25;
/** Time in which the share doubles without responses: an upstream is up for some seconds before all VMs rely on it. */
const DOUBLING_MS: Milliseconds = 1_000;
/** The same after repeated failures: a VM with a call in some seconds avoids a failing upstream for about a minute. */
const MAXIMUM_DOUBLING_MS: Milliseconds = 16_000;

/** What a change of the pace means. */
export type PaceChange = "none" | "stepped_back" | "ended";

/** The share of one incarnation of an upstream, as one VM decides it. */
export class UpstreamPace {
  #share: number;
  #changedMs: Milliseconds;
  #doublingMs: Milliseconds = DOUBLING_MS;
  #hasFailed = false;
  #hasSteppedBack = false;
  #isEnded: boolean;

  private constructor(share: number, nowMs: Milliseconds) {
    this.#share = share;
    this.#changedMs = nowMs;
    this.#isEnded = share >= 1;
  }

  /**
   * Returns the pace of an upstream that has just started.
   *
   * @example
   * ```ts
   * UpstreamPace.started(0).share(0); // 0.0625
   * ```
   */
  static started(nowMs: Milliseconds): UpstreamPace {
    return new UpstreamPace(MINIMUM_SHARE, nowMs);
  }

  /** Returns the pace of an upstream that has run calls for long. */
  static established(nowMs: Milliseconds): UpstreamPace {
    return new UpstreamPace(1, nowMs);
  }

  /** Whether the upstream gets calls without regard to its share. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Whether calls failed since the last response, so that one call at a time finds out whether they still do. */
  get isProbing(): boolean {
    return this.#hasFailed;
  }

  /** Returns the share of the calls of an equal upstream, at most 1. */
  share(nowMs: Milliseconds): number {
    const doublings = (nowMs - this.#changedMs) / this.#doublingMs;
    return Math.min(1, this.#share * 2 ** Math.max(0, doublings));
  }

  /** Records a response at the speed of the peers. */
  recordResponse(nowMs: Milliseconds): PaceChange {
    if (this.#isEnded) return "none";
    const share = this.share(nowMs);
    this.#hasFailed = false;
    this.#hasSteppedBack = false;
    this.#doublingMs = Math.max(DOUBLING_MS, this.#doublingMs / 2);
    this.#set(Math.min(1, share * GROWTH_FACTOR), nowMs);
    if (this.#share < 1) return "none";
    this.#isEnded = true;
    return "ended";
  }

  /** Records a response that took much longer than those of the peers. A slow upstream has not failed. */
  recordSlowResponse(nowMs: Milliseconds): PaceChange {
    if (this.#isEnded) return "none";
    this.#hasFailed = false;
    this.#set(this.share(nowMs) * SHRINK_FACTOR, nowMs);
    return this.#stepBack();
  }

  /** Records that a call failed. */
  recordFailure(nowMs: Milliseconds): PaceChange {
    const isRepeated = this.#hasFailed;
    const share = this.share(nowMs);
    this.#isEnded = false;
    this.#hasFailed = true;
    this.#set(isRepeated ? 0 : share * FAILURE_FACTOR, nowMs);
    this.#doublingMs = Math.min(MAXIMUM_DOUBLING_MS, this.#doublingMs * 2);
    return this.#stepBack();
  }

  /** Reports only the first of several steps back, until a response at the speed of the peers. */
  #stepBack(): PaceChange {
    const isFirst = !this.#hasSteppedBack;
    this.#hasSteppedBack = true;
    return isFirst ? "stepped_back" : "none";
  }

  #set(share: number, nowMs: Milliseconds): void {
    this.#share = Math.max(MINIMUM_SHARE, share);
    this.#changedMs = nowMs;
  }
}
