/**
 * Notices an upstream from which nothing comes any more, long before its heartbeats are missed. What other calls get from
 * it counts: an upstream that takes its time for one call is not silent while it answers others.
 *
 * @module
 */
import type { Clock, FleetUpstream, Milliseconds, Timer } from "#core";
import type { UpstreamSelector } from "./upstream_selector.ts";

/** Least time without a byte of an upstream after which it counts as silent. */
const MINIMUM_SILENCE_MS: Milliseconds = 350;
/** Checks in that time. */
const CHECKS = 4;

/** Options of `SilenceWatch`. */
export interface SilenceWatchOptions {
  readonly clock: Clock;
  readonly selector: UpstreamSelector;
  readonly upstream: FleetUpstream;
  /** Time within which a response is expected. */
  readonly objectiveMs: Milliseconds;
  /** Called at each check at which the upstream is silent. */
  readonly onSilent: () => void;
}

/** Watches one attempt at an upstream, from when it is sent until it ends. */
export class SilenceWatch {
  readonly #options: SilenceWatchOptions;
  readonly #silentAfterMs: Milliseconds;
  readonly #timer: Timer;
  #heardMs: Milliseconds;
  #checkedMs: Milliseconds;

  constructor(options: SilenceWatchOptions) {
    this.#options = options;
    this.#heardMs = options.clock.nowMs();
    this.#checkedMs = this.#heardMs;
    this.#silentAfterMs = Math.max(MINIMUM_SILENCE_MS, options.objectiveMs);
    this.#timer = options.clock.every(
      this.#silentAfterMs / CHECKS,
      () => this.#check(),
    );
  }

  /** Records that something came from the upstream. */
  recordHeard(): void {
    const { clock, selector, upstream } = this.#options;
    this.#heardMs = clock.nowMs();
    selector.recordHeard(upstream.id, this.#heardMs);
  }

  /** Ends the watch. */
  stop(): void {
    this.#timer.cancel();
  }

  #check(): void {
    const { clock, selector, upstream, onSilent } = this.#options;
    const nowMs = clock.nowMs();
    // After a standstill of this VM, what came meanwhile is read after this check.
    const isLate = nowMs - this.#checkedMs > this.#silentAfterMs / 2;
    this.#checkedMs = nowMs;
    if (isLate) this.#heardMs = nowMs;
    const heardMs = Math.max(this.#heardMs, selector.heardMs(upstream.id));
    if (nowMs - heardMs < this.#silentAfterMs) return;
    selector.recordSilence(upstream.id, nowMs);
    onSilent();
  }
}
