/**
 * Selects the upstream of a call by observed response latency, the number of outstanding calls, and whether
 * recent calls failed.
 *
 * @module
 */
import type {
  EventLog,
  FleetUpstream,
  Milliseconds,
  RandomSource,
} from "#core";
import { UpstreamPaces } from "./upstream_paces.ts";
import {
  createStats,
  decayedLatency,
  INITIAL_FOUL_PAUSE_MS,
  INITIAL_LATENCY_MS,
  INITIAL_PAUSE_MS,
  MAXIMUM_FOUL_PAUSE_MS,
  MAXIMUM_PAUSE_MS,
  pauseLeftMs,
  type UpstreamStats,
} from "./upstream_stats.ts";

const LATENCY_SMOOTHING_FACTOR = 0.3;
const OTHER_ZONE_LATENCY_FACTOR = 1.3;
/** Time without foul bytes after which an upstream counts as mended; one sound response shows little. */
const FOUL_MEMORY_MS: Milliseconds = 60_000;
/**
 * Upstreams of the own zone that are compared for a call with slow start, drawn at random. Of all of them, many VMs would
 * choose the same ones; of fewer, calls with little known about the upstreams would often get a slow one.
 */
const MAXIMUM_CANDIDATES = 4;

/** What the slow start of upstreams uses. */
export interface SlowStartOptions {
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** Options of `UpstreamSelector`. */
export interface UpstreamSelectorOptions {
  readonly zone: string;
  /** Absent if upstreams get all calls at once after their start and after failures. */
  readonly slowStart?: SlowStartOptions;
}

/** Tracks statistics of calls by upstream and selects by them. */
export class UpstreamSelector {
  readonly #zone: string;
  readonly #random: RandomSource | undefined;
  readonly #paces: UpstreamPaces | undefined;
  readonly #stats = new Map<string, UpstreamStats>();

  constructor({ zone, slowStart }: UpstreamSelectorOptions) {
    this.#zone = zone;
    if (slowStart === undefined) return;
    this.#random = slowStart.random;
    this.#paces = new UpstreamPaces({
      ...slowStart,
      onRestart: (id) => this.#handleRestart(id),
    });
  }

  /** Applies the list of all upstreams, so that new ones are noticed before they are selected. */
  observe(
    upstreams: () => readonly FleetUpstream[],
    nowMs: Milliseconds,
  ): void {
    this.#paces?.observe(upstreams, nowMs);
  }

  /** Returns the best of these upstreams that isn't in `tried`; paused ones only if there are no others. */
  select(
    upstreams: readonly FleetUpstream[],
    options: {
      readonly tried: ReadonlySet<string>;
      readonly nowMs: Milliseconds;
    },
  ): FleetUpstream | undefined {
    if (this.#paces !== undefined && this.#random !== undefined) {
      return this.#selectPaced(upstreams, {
        ...options,
        paces: this.#paces,
        random: this.#random,
      });
    }
    const best = new LowestScore();
    for (const upstream of upstreams) {
      if (options.tried.has(upstream.id)) continue;
      best.add(upstream, this.#score(upstream, options.nowMs));
    }
    return best.upstream;
  }

  /** Returns the number of calls of this VM to an upstream that have no response yet. */
  outstanding(id: string): number {
    return this.#stats.get(id)?.outstanding ?? 0;
  }

  /** Records that a call was sent. */
  recordSent(id: string): void {
    this.#statsOf(id).outstanding += 1;
  }

  /** Records that a call ended; `latencyMs` is null if it got no response. */
  recordEnded(
    id: string,
    outcome: {
      readonly nowMs: Milliseconds;
      readonly latencyMs: Milliseconds | null;
      /** Whether the response is an error of the upstream; absent if not. */
      readonly isError?: boolean;
      /** How long a call that was cancelled had waited; absent if it was not, or if the wait shows nothing. */
      readonly cancelledAfterMs?: Milliseconds;
    },
  ): void {
    const stats = this.#statsOf(id);
    stats.outstanding = Math.max(0, stats.outstanding - 1);
    const { nowMs, latencyMs, isError = false, cancelledAfterMs } = outcome;
    if (cancelledAfterMs !== undefined) {
      this.#recordCancelled(id, nowMs, cancelledAfterMs);
    }
    if (latencyMs === null) return;
    this.recordHeard(id, nowMs);
    const kind = isError ? "failure" : "response";
    this.#paces?.record(id, { nowMs, kind, waitedMs: latencyMs });
    // A quick error says nothing about the speed.
    if (this.#paces !== undefined && isError) return;
    this.#recordLatency(id, nowMs, latencyMs);
    stats.pauseMs = INITIAL_PAUSE_MS;
  }

  /** Records that an upstream has sent a part of a response. */
  recordHeard(id: string, nowMs: Milliseconds): void {
    const stats = this.#statsOf(id);
    stats.heardMs = nowMs;
    stats.isSilent = false;
  }

  /** Returns when anything last came from an upstream; `-Infinity` if nothing has. */
  heardMs(id: string): Milliseconds {
    return this.#stats.get(id)?.heardMs ?? -Infinity;
  }

  /** Pauses an upstream after a failure or rejection, for twice as long each time up to `MAXIMUM_PAUSE_MS`. */
  pause(id: string, nowMs: Milliseconds): void {
    const stats = this.#statsOf(id);
    if (nowMs < stats.pausedUntilMs) return;
    this.#paces?.record(id, { nowMs, kind: "failure", waitedMs: 0 });
    stats.pausedUntilMs = nowMs + stats.pauseMs;
    stats.pauseMs = Math.min(MAXIMUM_PAUSE_MS, stats.pauseMs * 2);
  }

  /** Pauses an upstream that sent bytes which are no response, for much longer than one that fails. */
  recordFoul(id: string, nowMs: Milliseconds): void {
    const stats = this.#statsOf(id);
    this.#paces?.record(id, { nowMs, kind: "failure", waitedMs: 0 });
    if (nowMs - stats.foulMs > FOUL_MEMORY_MS) {
      stats.foulPauseMs = INITIAL_FOUL_PAUSE_MS;
    }
    stats.foulMs = nowMs;
    const untilMs = nowMs + stats.foulPauseMs;
    if (untilMs <= stats.pausedUntilMs) return;
    stats.pausedUntilMs = untilMs;
    stats.foulPauseMs = Math.min(MAXIMUM_FOUL_PAUSE_MS, stats.foulPauseMs * 2);
  }

  /**
   * Pauses an upstream from which nothing comes any more. Until something does, it gets one call at a time: the one that
   * finds out.
   */
  recordSilence(id: string, nowMs: Milliseconds): void {
    this.pause(id, nowMs);
    this.#statsOf(id).isSilent = true;
  }

  /** Whether calls to an upstream failed just now, or one finds out whether it is still silent. */
  isPaused(id: string, nowMs: Milliseconds): boolean {
    const stats = this.#stats.get(id);
    return stats !== undefined && pauseLeftMs(stats, nowMs) > 0;
  }

  /** Removes upstreams that are not in `ids`, unless calls to them are outstanding. */
  retainOnly(ids: ReadonlySet<string>): void {
    for (const [id, stats] of this.#stats) {
      if (!ids.has(id) && stats.outstanding === 0) this.#stats.delete(id);
    }
  }

  #score(upstream: FleetUpstream, nowMs: Milliseconds): number {
    const stats = this.#statsOf(upstream.id);
    const zoneFactor = upstream.zone === this.#zone
      ? 1
      : OTHER_ZONE_LATENCY_FACTOR;
    const loadFactor = 1 + stats.outstanding / Math.max(1, upstream.slots);
    const usualMs = this.#paces?.typicalLatencyMs(upstream.service) ??
      INITIAL_LATENCY_MS;
    const score = decayedLatency(stats, nowMs, usualMs) * loadFactor *
      zoneFactor;
    return score + pauseLeftMs(stats, nowMs) * MAXIMUM_PAUSE_MS;
  }

  /** Selects by the scores of a few upstreams at random; those that are paused or not admitted only if there are no others. */
  #selectPaced(
    upstreams: readonly FleetUpstream[],
    options: {
      readonly tried: ReadonlySet<string>;
      readonly nowMs: Milliseconds;
      readonly paces: UpstreamPaces;
      readonly random: RandomSource;
    },
  ): FleetUpstream | undefined {
    const { tried, nowMs, paces, random } = options;
    const count = upstreams.length;
    const first = random.below(count);
    const step = randomStep(count, random);
    const best = new LowestScore();
    const spare = new LowestScore();
    let nearCount = 0;
    let farCount = 0;
    for (let at = 0; at < count && nearCount < MAXIMUM_CANDIDATES; at += 1) {
      const upstream = upstreams[(first + at * step) % count];
      if (upstream === undefined || tried.has(upstream.id)) continue;
      const isNear = upstream.zone === this.#zone;
      if (!isNear && farCount >= MAXIMUM_CANDIDATES) continue;
      const pace = paces.unfinished(upstream, nowMs);
      const isReady = !this.isPaused(upstream.id, nowMs);
      const isAdmitted = pace === undefined || isReady && paces.admits(pace, {
            nowMs,
            outstanding: this.outstanding(upstream.id),
            equalShare: 1 / count,
          });
      // Its share is that of an equal upstream, so it need not be the best one as well.
      if (pace !== undefined && isAdmitted && isNear) return upstream;
      const score = this.#score(upstream, nowMs);
      if (!isReady || !isAdmitted) {
        spare.add(upstream, score / (pace?.share(nowMs) ?? 1));
        continue;
      }
      if (isNear) nearCount += 1;
      else farCount += 1;
      best.add(upstream, score);
    }
    return best.upstream ?? spare.upstream;
  }

  #recordLatency(
    id: string,
    nowMs: Milliseconds,
    latencyMs: Milliseconds,
  ): void {
    const stats = this.#statsOf(id);
    const usualMs = this.#paces?.peerLatencyMs(id) ?? INITIAL_LATENCY_MS;
    const decayed = decayedLatency(stats, nowMs, usualMs);
    stats.latencyMs = decayed +
      LATENCY_SMOOTHING_FACTOR * (latencyMs - decayed);
    stats.latencyAtMs = nowMs;
  }

  /** The time until a call was cancelled is a lower bound of the latency. */
  #recordCancelled(
    id: string,
    nowMs: Milliseconds,
    waitedMs: Milliseconds,
  ): void {
    if (this.#paces === undefined) return;
    this.#paces.record(id, { nowMs, kind: "cancelled", waitedMs });
    const usualMs = this.#paces.peerLatencyMs(id) ?? INITIAL_LATENCY_MS;
    const decayed = decayedLatency(this.#statsOf(id), nowMs, usualMs);
    if (waitedMs > decayed) this.#recordLatency(id, nowMs, waitedMs);
  }

  /** Forgets what the process before showed. */
  #handleRestart(id: string): void {
    const stats = this.#statsOf(id);
    stats.latencyMs = undefined;
    stats.pausedUntilMs = 0;
    stats.pauseMs = INITIAL_PAUSE_MS;
    stats.isSilent = false;
  }

  #statsOf(id: string): UpstreamStats {
    const existing = this.#stats.get(id);
    if (existing !== undefined) return existing;
    const created = createStats();
    this.#stats.set(id, created);
    return created;
  }
}

/** Finds the upstream with the lowest score, the first one of equal scores. */
class LowestScore {
  #upstream: FleetUpstream | undefined;
  #score = Infinity;

  /** The upstream; undefined before one was added with a finite score. */
  get upstream(): FleetUpstream | undefined {
    return this.#upstream;
  }

  /** Adds an upstream with its score. */
  add(upstream: FleetUpstream, score: number): void {
    if (score >= this.#score) return;
    this.#upstream = upstream;
    this.#score = score;
  }
}

/**
 * Returns a step by which all places of a list are visited once, so that equal upstreams are chosen equally often also
 * if the list is sorted by zone.
 */
function randomStep(count: number, random: RandomSource): number {
  if (count <= 2) return 1;
  let step = 1 + random.below(count - 1);
  while (greatestCommonDivisor(step, count) > 1) step += 1;
  return step;
}

function greatestCommonDivisor(a: number, b: number): number {
  return b === 0 ? a : greatestCommonDivisor(b, a % b);
}
