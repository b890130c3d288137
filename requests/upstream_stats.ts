/**
 * What an entry VM has observed of the calls to one upstream.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Latency that is expected of upstreams before any response. */
export const INITIAL_LATENCY_MS: Milliseconds = 30;
/** Half-life of the difference between the observed and the usual latency. */
const LATENCY_HALF_LIFE_MS: Milliseconds = 4_000;
/** Pause of an upstream that failed; twice as long each time up to the maximum. */
export const INITIAL_PAUSE_MS: Milliseconds = 200;
/** Longest pause of an upstream that failed. */
export const MAXIMUM_PAUSE_MS: Milliseconds = 2_000;
/** Pause of an upstream that sent bytes which are no response; twice as long each time up to the maximum. */
export const INITIAL_FOUL_PAUSE_MS: Milliseconds = 1_000;
/** Longest pause of an upstream that sent bytes which are no response. */
export const MAXIMUM_FOUL_PAUSE_MS: Milliseconds = 16_000;

/** Statistics of the calls to one upstream. */
export interface UpstreamStats {
  outstanding: number;
  /** Undefined before the first response. */
  latencyMs: Milliseconds | undefined;
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

/** Returns the statistics of an upstream that got no calls yet. */
export function createStats(): UpstreamStats {
  return {
    outstanding: 0,
    latencyMs: undefined,
    latencyAtMs: 0,
    pausedUntilMs: 0,
    pauseMs: INITIAL_PAUSE_MS,
    heardMs: -Infinity,
    foulPauseMs: INITIAL_FOUL_PAUSE_MS,
    foulMs: -Infinity,
    isSilent: false,
  };
}

/**
 * Returns how long an upstream is still paused, 0 if it is not.
 *
 * @example
 * ```ts
 * pauseLeftMs(createStats(), 1_000); // 0
 * ```
 */
export function pauseLeftMs(
  stats: UpstreamStats,
  nowMs: Milliseconds,
): Milliseconds {
  if (stats.isSilent && stats.outstanding > 0) return MAXIMUM_PAUSE_MS;
  return Math.max(0, stats.pausedUntilMs - nowMs);
}

/**
 * Returns the latency that is expected of an upstream, which without responses approaches what is usual.
 *
 * @example
 * ```ts
 * decayedLatency(createStats(), 1_000, 50); // 50, since there is no response
 * ```
 */
export function decayedLatency(
  stats: UpstreamStats,
  nowMs: Milliseconds,
  usualMs: Milliseconds,
): Milliseconds {
  if (stats.latencyMs === undefined) return usualMs;
  const remaining = 0.5 ** ((nowMs - stats.latencyAtMs) / LATENCY_HALF_LIFE_MS);
  return usualMs + (stats.latencyMs - usualMs) * remaining;
}
