/**
 * What runs have shown of the engines: how fast they make events, which versions they have, and whether
 * they refuse.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import { EventIntervalWindow } from "./event_interval_window.ts";

/** Time for an event before any engine has shown one. */
const DEFAULT_EVENT_INTERVAL_MS: Milliseconds = 40;
/** An engine that makes no events counts as slower than usual by no more than this in the long run. */
const LASTING_SLOWNESS_FACTOR = 1.5;
/** Time in which the slowness beyond that is forgotten by half. */
const SLOWNESS_HALF_LIFE_MS: Milliseconds = 3_000;
const REJECTION_PAUSE_MS: Milliseconds = 120;
const INITIAL_FAILURE_PAUSE_MS: Milliseconds = 250;
const MAXIMUM_FAILURE_PAUSE_MS: Milliseconds = 2_000;

interface Observations {
  readonly intervals: EventIntervalWindow;
  pausedUntilMs: Milliseconds;
  failurePauseMs: Milliseconds;
  readonly versions: Map<string, number>;
}

/** Remembers engines by their incarnation. */
export class EngineObservations {
  readonly #byEngine = new Map<string, Observations>();

  /** Notes the time between two events of one run. */
  recordInterval(
    engine: string,
    intervalMs: Milliseconds,
    nowMs: Milliseconds,
  ): void {
    const observations = this.#observationsOf(engine);
    observations.intervals.record(intervalMs, nowMs);
    observations.failurePauseMs = INITIAL_FAILURE_PAUSE_MS;
  }

  /** Notes that a run stood still for so long: the engine counts as that slow, and rests. */
  recordStall(
    engine: string,
    stalledMs: Milliseconds,
    nowMs: Milliseconds,
  ): void {
    const { intervals: intervals } = this.#observationsOf(engine);
    intervals.reset(Math.max(intervals.medianMs() ?? 0, stalledMs), nowMs);
    this.recordFailure(engine, nowMs);
  }

  /** Notes a version that the engine has shown. */
  recordVersion(engine: string, model: string, version: number): void {
    this.#observationsOf(engine).versions.set(model, version);
  }

  /** Notes that the engine did not take a run. */
  recordRejection(engine: string, nowMs: Milliseconds): void {
    const observations = this.#observationsOf(engine);
    const untilMs = nowMs + REJECTION_PAUSE_MS;
    observations.pausedUntilMs = Math.max(observations.pausedUntilMs, untilMs);
  }

  /** Notes that a run broke or stood still: the engine rests, longer each time. */
  recordFailure(engine: string, nowMs: Milliseconds): void {
    const observations = this.#observationsOf(engine);
    if (nowMs < observations.pausedUntilMs) return;
    observations.pausedUntilMs = nowMs + observations.failurePauseMs;
    observations.failurePauseMs = Math.min(
      MAXIMUM_FAILURE_PAUSE_MS,
      observations.failurePauseMs * 2,
    );
  }

  /**
   * Time between two events of one run. An engine that has shown none counts as usual; the slowness of one
   * that makes none is forgotten in part, so that it gets another trial.
   */
  eventIntervalMs(engine: string, nowMs: Milliseconds): Milliseconds {
    const { intervals: intervals } = this.#observationsOf(engine);
    const typicalMs = this.#typicalIntervalMs();
    const intervalMs = intervals.medianMs() ?? typicalMs;
    const lastingMs = Math.min(intervalMs, typicalMs * LASTING_SLOWNESS_FACTOR);
    const remaining = 0.5 **
      ((nowMs - intervals.lastEndedMs) / SLOWNESS_HALF_LIFE_MS);
    return lastingMs + (intervalMs - lastingMs) * remaining;
  }

  /** Until when no run may start. */
  pausedUntilMs(engine: string): Milliseconds {
    return this.#observationsOf(engine).pausedUntilMs;
  }

  /** Versions by the engine's own word or by its answers, whichever is newer. */
  versions(
    engine: string,
    upstream: FleetUpstream,
  ): ReadonlyMap<string, number> {
    const versions = new Map(this.#observationsOf(engine).versions);
    for (const { model, version } of upstream.serves) {
      versions.set(model, Math.max(version, versions.get(model) ?? 0));
    }
    return versions;
  }

  /** Forgets engines that are gone. */
  retainOnly(engines: ReadonlySet<string>): void {
    for (const engine of this.#byEngine.keys()) {
      if (!engines.has(engine)) this.#byEngine.delete(engine);
    }
  }

  /** The middle one of what the engines have shown and of what is expected of the first. */
  #typicalIntervalMs(): Milliseconds {
    const intervalsMs: Milliseconds[] = [DEFAULT_EVENT_INTERVAL_MS];
    for (const { intervals: intervals } of this.#byEngine.values()) {
      const intervalMs = intervals.medianMs();
      if (intervalMs !== undefined) intervalsMs.push(intervalMs);
    }
    intervalsMs.sort((a, b) => a - b);
    return intervalsMs[Math.floor((intervalsMs.length - 1) / 2)] ??
      DEFAULT_EVENT_INTERVAL_MS;
  }

  #observationsOf(engine: string): Observations {
    const known = this.#byEngine.get(engine);
    if (known !== undefined) return known;
    const fresh: Observations = {
      intervals: new EventIntervalWindow(),
      pausedUntilMs: 0,
      failurePauseMs: INITIAL_FAILURE_PAUSE_MS,
      versions: new Map(),
    };
    this.#byEngine.set(engine, fresh);
    return fresh;
  }
}
