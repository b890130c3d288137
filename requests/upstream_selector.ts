/**
 * Selects the upstream of a call by observed response latency, the number of outstanding calls, and whether
 * recent calls failed.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";

const INITIAL_LATENCY_MS: Milliseconds = 30;
const LATENCY_SMOOTHING_FACTOR = 0.3;
/** Half-life of the difference between the observed and the initial latency. */
const LATENCY_HALF_LIFE_MS: Milliseconds = 4_000;
const OTHER_ZONE_LATENCY_FACTOR = 1.3;
const INITIAL_PAUSE_MS: Milliseconds = 200;
const MAXIMUM_PAUSE_MS: Milliseconds = 2_000;
/** Pause of an upstream that sent bytes which are no response; twice as long each time up to the maximum. */
const INITIAL_FOUL_PAUSE_MS: Milliseconds = 1_000;
const MAXIMUM_FOUL_PAUSE_MS: Milliseconds = 16_000;
/** Time without such bytes after which an upstream counts as mended; one sound response shows little. */
const FOUL_MEMORY_MS: Milliseconds = 60_000;

interface UpstreamStats {
  outstanding: number;
  latencyMs: Milliseconds;
  latencyAtMs: Milliseconds;
  pausedUntilMs: Milliseconds;
  pauseMs: Milliseconds;
  /** When anything last came from it. */
  heardMs: Milliseconds;
  /** Pause after the next response that is none. */
  foulPauseMs: Milliseconds;
  /** When it last sent one. */
  foulMs: Milliseconds;
  /** Whether nothing has come from it for longer than its calls may take. */
  isSilent: boolean;
}

/** Tracks statistics of calls by upstream and selects by them. */
export class UpstreamSelector {
  readonly #zone: string;
  readonly #stats = new Map<string, UpstreamStats>();

  constructor(options: { readonly zone: string }) {
    this.#zone = options.zone;
  }

  /** Returns the best of these upstreams that isn't in `tried`; paused ones only if there are no others. */
  select(
    upstreams: readonly FleetUpstream[],
    options: {
      readonly tried: ReadonlySet<string>;
      readonly nowMs: Milliseconds;
    },
  ): FleetUpstream | undefined {
    let best: FleetUpstream | undefined;
    let bestScore = Infinity;
    for (const upstream of upstreams) {
      if (options.tried.has(upstream.id)) continue;
      const score = this.#score(upstream, options.nowMs);
      if (score >= bestScore) continue;
      best = upstream;
      bestScore = score;
    }
    return best;
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
    },
  ): void {
    const stats = this.#statsOf(id);
    stats.outstanding = Math.max(0, stats.outstanding - 1);
    if (outcome.latencyMs === null) return;
    this.recordHeard(id, outcome.nowMs);
    const decayed = decayedLatency(stats, outcome.nowMs);
    stats.latencyMs = decayed +
      LATENCY_SMOOTHING_FACTOR * (outcome.latencyMs - decayed);
    stats.latencyAtMs = outcome.nowMs;
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
    stats.pausedUntilMs = nowMs + stats.pauseMs;
    stats.pauseMs = Math.min(MAXIMUM_PAUSE_MS, stats.pauseMs * 2);
  }

  /** Pauses an upstream that sent bytes which are no response, for much longer than one that fails. */
  recordFoul(id: string, nowMs: Milliseconds): void {
    const stats = this.#statsOf(id);
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
    const score = decayedLatency(stats, nowMs) * loadFactor * zoneFactor;
    return score + pauseLeftMs(stats, nowMs) * MAXIMUM_PAUSE_MS;
  }

  #statsOf(id: string): UpstreamStats {
    const existing = this.#stats.get(id);
    if (existing !== undefined) return existing;
    const created: UpstreamStats = {
      outstanding: 0,
      latencyMs: INITIAL_LATENCY_MS,
      latencyAtMs: 0,
      pausedUntilMs: 0,
      pauseMs: INITIAL_PAUSE_MS,
      heardMs: -Infinity,
      foulPauseMs: INITIAL_FOUL_PAUSE_MS,
      foulMs: -Infinity,
      isSilent: false,
    };
    this.#stats.set(id, created);
    return created;
  }
}

function pauseLeftMs(stats: UpstreamStats, nowMs: Milliseconds): Milliseconds {
  if (stats.isSilent && stats.outstanding > 0) return MAXIMUM_PAUSE_MS;
  return Math.max(0, stats.pausedUntilMs - nowMs);
}

function decayedLatency(
  stats: UpstreamStats,
  nowMs: Milliseconds,
): Milliseconds {
  const remaining = 0.5 ** ((nowMs - stats.latencyAtMs) / LATENCY_HALF_LIFE_MS);
  return INITIAL_LATENCY_MS +
    (stats.latencyMs - INITIAL_LATENCY_MS) * remaining;
}
