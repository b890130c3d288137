/**
 * What runs have shown of the engines: how fast they make events, which versions they have, and whether
 * they refuse.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";

const FIRST_GAP_MS: Milliseconds = 40;
const GAP_SHARE = 0.15;
const FADE_MS: Milliseconds = 3_000;
const REFUSED_PAUSE_MS: Milliseconds = 120;
const FIRST_BROKEN_PAUSE_MS: Milliseconds = 250;
const LONGEST_PAUSE_MS: Milliseconds = 2_000;

interface Memory {
  gapMs: Milliseconds;
  gapAtMs: Milliseconds;
  pausedUntilMs: Milliseconds;
  brokenPauseMs: Milliseconds;
  readonly versions: Map<string, number>;
}

/** Remembers engines by their incarnation. */
export class EngineMemory {
  readonly #memory = new Map<string, Memory>();

  /** Notes the time between two events of one run. */
  noteGap(
    engine: string,
    gapMs: Milliseconds,
    nowMs: Milliseconds,
  ): void {
    const memory = this.#of(engine);
    const before = fadedGap(memory, nowMs);
    memory.gapMs = before + GAP_SHARE * (gapMs - before);
    memory.gapAtMs = nowMs;
    memory.brokenPauseMs = FIRST_BROKEN_PAUSE_MS;
  }

  /** Notes that a run stood still for so long: the engine counts as that slow, and rests. */
  silent(
    engine: string,
    silentMs: Milliseconds,
    nowMs: Milliseconds,
  ): void {
    const memory = this.#of(engine);
    memory.gapMs = Math.max(fadedGap(memory, nowMs), silentMs);
    memory.gapAtMs = nowMs;
    this.broke(engine, nowMs);
  }

  /** Notes a version that the engine has shown. */
  noteVersion(engine: string, model: string, version: number): void {
    this.#of(engine).versions.set(model, version);
  }

  /** Notes that the engine did not take a run. */
  refused(engine: string, nowMs: Milliseconds): void {
    const memory = this.#of(engine);
    const untilMs = nowMs + REFUSED_PAUSE_MS;
    memory.pausedUntilMs = Math.max(memory.pausedUntilMs, untilMs);
  }

  /** Notes that a run broke or stood still: the engine rests, longer each time. */
  broke(engine: string, nowMs: Milliseconds): void {
    const memory = this.#of(engine);
    if (nowMs < memory.pausedUntilMs) return;
    memory.pausedUntilMs = nowMs + memory.brokenPauseMs;
    memory.brokenPauseMs = Math.min(
      LONGEST_PAUSE_MS,
      memory.brokenPauseMs * 2,
    );
  }

  /** Mean time between two events of one run. */
  gapMs(engine: string, nowMs: Milliseconds): Milliseconds {
    return fadedGap(this.#of(engine), nowMs);
  }

  /** Until when no run may start. */
  pausedUntilMs(engine: string): Milliseconds {
    return this.#of(engine).pausedUntilMs;
  }

  /** Versions by the engine's own word or by its answers, whichever is newer. */
  versions(
    engine: string,
    upstream: FleetUpstream,
  ): ReadonlyMap<string, number> {
    const versions = new Map(this.#of(engine).versions);
    for (const { model, version } of upstream.serves) {
      versions.set(model, Math.max(version, versions.get(model) ?? 0));
    }
    return versions;
  }

  /** Forgets engines that are gone. */
  keepOnly(engines: ReadonlySet<string>): void {
    for (const engine of this.#memory.keys()) {
      if (!engines.has(engine)) this.#memory.delete(engine);
    }
  }

  #of(engine: string): Memory {
    const known = this.#memory.get(engine);
    if (known !== undefined) return known;
    const fresh: Memory = {
      gapMs: FIRST_GAP_MS,
      gapAtMs: 0,
      pausedUntilMs: 0,
      brokenPauseMs: FIRST_BROKEN_PAUSE_MS,
      versions: new Map(),
    };
    this.#memory.set(engine, fresh);
    return fresh;
  }
}

function fadedGap(memory: Memory, nowMs: Milliseconds): Milliseconds {
  const left = 0.5 ** ((nowMs - memory.gapAtMs) / FADE_MS);
  return FIRST_GAP_MS + (memory.gapMs - FIRST_GAP_MS) * left;
}
