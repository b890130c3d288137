/**
 * What runs have shown of the engines: how fast they make events, which versions they have, and whether
 * they refuse.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import { PaceWindow } from "./pace_window.ts";

/** Time for an event before any engine has shown one. */
const FIRST_GAP_MS: Milliseconds = 40;
/** An engine that makes no events counts as slower than usual by no more than this in the long run. */
const LONG_SLOWNESS = 1.5;
/** Time in which the slowness beyond that is forgotten by half. */
const FADE_MS: Milliseconds = 3_000;
const REFUSED_PAUSE_MS: Milliseconds = 120;
const FIRST_BROKEN_PAUSE_MS: Milliseconds = 250;
const LONGEST_PAUSE_MS: Milliseconds = 2_000;

interface Memory {
  readonly pace: PaceWindow;
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
    memory.pace.note(gapMs, nowMs);
    memory.brokenPauseMs = FIRST_BROKEN_PAUSE_MS;
  }

  /** Notes that a run stood still for so long: the engine counts as that slow, and rests. */
  silent(
    engine: string,
    silentMs: Milliseconds,
    nowMs: Milliseconds,
  ): void {
    const { pace } = this.#of(engine);
    pace.replace(Math.max(pace.middleMs() ?? 0, silentMs), nowMs);
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

  /**
   * Time between two events of one run. An engine that has shown none counts as usual; the slowness of one
   * that makes none is forgotten in part, so that it gets another trial.
   */
  gapMs(engine: string, nowMs: Milliseconds): Milliseconds {
    const { pace } = this.#of(engine);
    const usualMs = this.#usualGapMs();
    const gapMs = pace.middleMs() ?? usualMs;
    const longMs = Math.min(gapMs, usualMs * LONG_SLOWNESS);
    const left = 0.5 ** ((nowMs - pace.lastMs) / FADE_MS);
    return longMs + (gapMs - longMs) * left;
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

  /** The middle one of what the engines have shown and of what is expected of the first. */
  #usualGapMs(): Milliseconds {
    const shown: Milliseconds[] = [FIRST_GAP_MS];
    for (const { pace } of this.#memory.values()) {
      const gapMs = pace.middleMs();
      if (gapMs !== undefined) shown.push(gapMs);
    }
    shown.sort((a, b) => a - b);
    return shown[Math.floor((shown.length - 1) / 2)] ??
      FIRST_GAP_MS;
  }

  #of(engine: string): Memory {
    const known = this.#memory.get(engine);
    if (known !== undefined) return known;
    const fresh: Memory = {
      pace: new PaceWindow(),
      pausedUntilMs: 0,
      brokenPauseMs: FIRST_BROKEN_PAUSE_MS,
      versions: new Map(),
    };
    this.#memory.set(engine, fresh);
    return fresh;
  }
}
