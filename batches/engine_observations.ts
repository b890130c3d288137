/**
 * Observations of engines, collected from the runs on them: how fast they generate events, which versions
 * they serve, and whether they reject runs or fail.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import { ErrorShare } from "./error_share.ts";
import { EventIntervalWindow } from "./event_interval_window.ts";

/** Assumed time between events before any engine has been observed. */
const DEFAULT_EVENT_INTERVAL_MS: Milliseconds = 40;
/** In the long run, an engine without new events counts as at most this many times as slow as a typical one. */
const LASTING_SLOWNESS_FACTOR = 1.5;
/** Half-life of the slowness beyond `LASTING_SLOWNESS_FACTOR`. */
const SLOWNESS_HALF_LIFE_MS: Milliseconds = 3_000;
const REJECTION_PAUSE_MS: Milliseconds = 120;
const INITIAL_FAILURE_PAUSE_MS: Milliseconds = 250;
const MAXIMUM_FAILURE_PAUSE_MS: Milliseconds = 2_000;
/** Share of failed runs from which an engine is reported in the log. */
const REPORTED_ERROR_SHARE = 0.25;

/** The observed speed of an engine, as a leader passes it on to its successor. */
export interface EngineSpeed {
  /** Incarnation of the engine. */
  readonly engine: string;
  /** Expected time between two events of one run. */
  readonly intervalMs: Milliseconds;
  /** Time since the latest observation. */
  readonly ageMs: Milliseconds;
}

interface Observations {
  readonly intervals: EventIntervalWindow;
  pausedUntilMs: Milliseconds;
  failurePauseMs: Milliseconds;
  readonly versions: Map<string, number>;
  readonly errors: ErrorShare;
  /** Since when the engine is known to be draining, or undefined. */
  drainingSinceMs: Milliseconds | undefined;
}

/** Stores observations of engines by their incarnation. */
export class EngineObservations {
  readonly #byEngine = new Map<string, Observations>();
  /** The typical interval, until an observation changes. */
  #typicalMs: Milliseconds | undefined;

  /** Records the time between two events of one run. */
  recordInterval(
    engine: string,
    intervalMs: Milliseconds,
    nowMs: Milliseconds,
  ): void {
    const observations = this.#observationsOf(engine);
    observations.intervals.record(intervalMs, nowMs);
    this.#typicalMs = undefined;
    observations.failurePauseMs = INITIAL_FAILURE_PAUSE_MS;
  }

  /** Records that a run stalled for a time: the engine counts as that slow and is paused. */
  recordStall(
    engine: string,
    stalledMs: Milliseconds,
    nowMs: Milliseconds,
  ): void {
    const { intervals } = this.#observationsOf(engine);
    intervals.reset(Math.max(intervals.medianMs() ?? 0, stalledMs), nowMs);
    this.#typicalMs = undefined;
    this.recordFailure(engine, nowMs);
  }

  /** Records a version that the engine reported in a response. */
  recordVersion(engine: string, model: string, version: number): void {
    this.#observationsOf(engine).versions.set(model, version);
  }

  /** Records that the engine rejected a run, and pauses the engine briefly. */
  recordRejection(engine: string, nowMs: Milliseconds): void {
    const observations = this.#observationsOf(engine);
    const untilMs = nowMs + REJECTION_PAUSE_MS;
    observations.pausedUntilMs = Math.max(observations.pausedUntilMs, untilMs);
  }

  /** Records that a run broke or stalled, and pauses the engine, longer each time. */
  recordFailure(engine: string, nowMs: Milliseconds): void {
    const observations = this.#observationsOf(engine);
    if (nowMs < observations.pausedUntilMs) return;
    observations.pausedUntilMs = nowMs + observations.failurePauseMs;
    observations.failurePauseMs = Math.min(
      MAXIMUM_FAILURE_PAUSE_MS,
      observations.failurePauseMs * 2,
    );
  }

  /** Records that the engine completed a run. */
  recordSoundRun(engine: string, nowMs: Milliseconds): void {
    this.#observationsOf(engine).errors.record(false, nowMs);
  }

  /** Records that the engine failed a run; `isNews` is set if only now more runs fail than of a sound engine. */
  recordFailedRun(
    engine: string,
    nowMs: Milliseconds,
  ): { readonly share: number; readonly isNews: boolean } {
    const { errors } = this.#observationsOf(engine);
    const before = errors.at(nowMs);
    errors.record(true, nowMs);
    const share = errors.at(nowMs);
    const isNews = before < REPORTED_ERROR_SHARE &&
      share >= REPORTED_ERROR_SHARE;
    return { share, isNews };
  }

  /** Returns the share of the engine's latest runs that failed, 0 to 1. */
  errorShare(engine: string, nowMs: Milliseconds): number {
    return this.#observationsOf(engine).errors.at(nowMs);
  }

  /**
   * Returns the expected time between two events of one run. An engine without observations counts as typical.
   * The slowness of an engine without new events decays in part, so that it is tried again.
   */
  eventIntervalMs(engine: string, nowMs: Milliseconds): Milliseconds {
    const { intervals } = this.#observationsOf(engine);
    const typicalMs = this.#typicalMs ??= this.#typicalIntervalMs();
    const intervalMs = intervals.medianMs() ?? typicalMs;
    const lastingMs = Math.min(intervalMs, typicalMs * LASTING_SLOWNESS_FACTOR);
    const remaining = 0.5 **
      ((nowMs - intervals.lastEndedMs) / SLOWNESS_HALF_LIFE_MS);
    return lastingMs + (intervalMs - lastingMs) * remaining;
  }

  /** Returns the observed speeds of all engines. */
  speeds(nowMs: Milliseconds): readonly EngineSpeed[] {
    const speeds: EngineSpeed[] = [];
    for (const [engine, { intervals }] of this.#byEngine) {
      const intervalMs = intervals.medianMs();
      if (intervalMs === undefined) continue;
      const ageMs = nowMs - intervals.lastEndedMs;
      speeds.push({ engine, intervalMs, ageMs });
    }
    return speeds;
  }

  /** Adopts the speeds that another VM observed, where they are newer than those observed here. */
  adopt(speeds: readonly EngineSpeed[], nowMs: Milliseconds): void {
    for (const { engine, intervalMs, ageMs } of speeds) {
      const { intervals } = this.#observationsOf(engine);
      const observedMs = nowMs - ageMs;
      const isNewer = intervals.medianMs() === undefined ||
        intervals.lastEndedMs < observedMs;
      if (isNewer) intervals.reset(intervalMs, observedMs);
    }
    this.#typicalMs = undefined;
  }

  /** Returns the time before which no run may start on the engine. */
  pausedUntilMs(engine: string): Milliseconds {
    return this.#observationsOf(engine).pausedUntilMs;
  }

  /** Returns the version of each model that the engine announces or that its responses name, the newer one. */
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

  /** Returns for how long the engine has been known to be draining, or null if it is not. */
  drainingForMs(
    engine: string,
    upstream: FleetUpstream,
    nowMs: Milliseconds,
  ): Milliseconds | null {
    const observations = this.#observationsOf(engine);
    if (upstream.phase === "ready") {
      observations.drainingSinceMs = undefined;
      return null;
    }
    observations.drainingSinceMs ??= nowMs;
    return nowMs - observations.drainingSinceMs;
  }

  /** Removes the observations of all engines but these. */
  retainOnly(engines: ReadonlySet<string>): void {
    for (const engine of this.#byEngine.keys()) {
      if (engines.has(engine)) continue;
      this.#byEngine.delete(engine);
      this.#typicalMs = undefined;
    }
  }

  /** Returns the median of the observed intervals of all engines and the default interval. */
  #typicalIntervalMs(): Milliseconds {
    const intervalsMs: Milliseconds[] = [DEFAULT_EVENT_INTERVAL_MS];
    for (const { intervals } of this.#byEngine.values()) {
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
      errors: new ErrorShare(),
      drainingSinceMs: undefined,
    };
    this.#byEngine.set(engine, fresh);
    return fresh;
  }
}
