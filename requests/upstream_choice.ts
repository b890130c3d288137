/**
 * Chooses the upstream of a call by what calls to it have shown: how long answers take, how many are out,
 * and whether the last one failed.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";

const FIRST_GUESS_MS: Milliseconds = 30;
const LATENCY_SHARE = 0.3;
/** How fast a bad memory fades: after this time half of the difference is left. */
const FADE_MS: Milliseconds = 4_000;
const OTHER_ZONE_FACTOR = 1.3;
const FIRST_PAUSE_MS: Milliseconds = 200;
const LONGEST_PAUSE_MS: Milliseconds = 2_000;

interface Memory {
  out: number;
  latencyMs: Milliseconds;
  latencyAtMs: Milliseconds;
  pausedUntilMs: Milliseconds;
  pauseMs: Milliseconds;
}

/** Remembers what calls have shown. */
export class UpstreamChoice {
  readonly #zone: string;
  readonly #memory = new Map<string, Memory>();

  constructor(options: { readonly zone: string }) {
    this.#zone = options.zone;
  }

  /** The best of these upstreams that isn't in `tried`; paused ones only if there are no others. */
  choose(
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

  /** Notes that a call was sent. */
  sent(id: string): void {
    this.#of(id).out += 1;
  }

  /** Notes that a call has ended, after how long if it was answered. */
  ended(
    id: string,
    outcome: {
      readonly nowMs: Milliseconds;
      readonly latencyMs: Milliseconds | null;
    },
  ): void {
    const memory = this.#of(id);
    memory.out = Math.max(0, memory.out - 1);
    if (outcome.latencyMs === null) return;
    const faded = fadedLatency(memory, outcome.nowMs);
    memory.latencyMs = faded + LATENCY_SHARE * (outcome.latencyMs - faded);
    memory.latencyAtMs = outcome.nowMs;
    memory.pauseMs = FIRST_PAUSE_MS;
  }

  /** Notes that an upstream failed or refused: it gets no calls for a while, longer each time. */
  pause(id: string, nowMs: Milliseconds): void {
    const memory = this.#of(id);
    if (nowMs < memory.pausedUntilMs) return;
    memory.pausedUntilMs = nowMs + memory.pauseMs;
    memory.pauseMs = Math.min(LONGEST_PAUSE_MS, memory.pauseMs * 2);
  }

  /** Forgets upstreams that are gone. */
  keepOnly(ids: ReadonlySet<string>): void {
    for (const [id, memory] of this.#memory) {
      if (!ids.has(id) && memory.out === 0) this.#memory.delete(id);
    }
  }

  #score(upstream: FleetUpstream, nowMs: Milliseconds): number {
    const memory = this.#of(upstream.id);
    const zoneFactor = upstream.zone === this.#zone ? 1 : OTHER_ZONE_FACTOR;
    const crowd = 1 + memory.out / Math.max(1, upstream.slots);
    const score = fadedLatency(memory, nowMs) * crowd * zoneFactor;
    const pausedMs = Math.max(0, memory.pausedUntilMs - nowMs);
    return score + pausedMs * LONGEST_PAUSE_MS;
  }

  #of(id: string): Memory {
    const known = this.#memory.get(id);
    if (known !== undefined) return known;
    const fresh: Memory = {
      out: 0,
      latencyMs: FIRST_GUESS_MS,
      latencyAtMs: 0,
      pausedUntilMs: 0,
      pauseMs: FIRST_PAUSE_MS,
    };
    this.#memory.set(id, fresh);
    return fresh;
  }
}

function fadedLatency(memory: Memory, nowMs: Milliseconds): Milliseconds {
  const left = 0.5 ** ((nowMs - memory.latencyAtMs) / FADE_MS);
  return FIRST_GUESS_MS + (memory.latencyMs - FIRST_GUESS_MS) * left;
}
