/**
 * Determines the model version of completions from engines that don't report it with their tokens: reads the
 * engine's state before and after a completion; the version is known only if nothing changed in between.
 *
 * @module
 */
import type { Clock, Milliseconds, UpstreamRecord } from "#core";
import type { EngineState, EngineStatePort } from "./engine_state.ts";

const READ_TIMEOUT_MS: Milliseconds = 2_000;

/** Options of `EngineVersionTracker`. */
export interface EngineVersionTrackerOptions {
  readonly states: EngineStatePort;
  readonly clock: Clock;
}

/** State of an engine that has been equal in all consecutive reads so far. */
interface StableState {
  /** The engine's identifier, incarnation, fence and models, which must all stay equal. */
  readonly stateKey: string;
  readonly versions: ReadonlyMap<string, number>;
  /** When the first of the equal reads completed. */
  readonly firstReadAtMs: Milliseconds;
}

interface EngineReader {
  stableState: StableState | null;
  currentRead: Promise<void> | null;
  /** The read that starts when the current one completes. */
  nextRead: Promise<void> | null;
}

/** Determines which version generated a completion, from reads of the engine's state. */
export class EngineVersionTracker {
  readonly #options: EngineVersionTrackerOptions;
  readonly #readers = new Map<string, EngineReader>();

  constructor(options: EngineVersionTrackerOptions) {
    this.#options = options;
  }

  /** Reads each engine that doesn't report versions and whose state isn't known yet. */
  readUnknown(records: Iterable<UpstreamRecord>): void {
    for (const record of records) {
      if (record.role !== "engine" || record.reportsVersions) continue;
      const reader = this.#readerOf(record);
      if (reader.stableState === null && reader.currentRead === null) {
        void this.#scheduleRead(record, reader);
      }
    }
  }

  /**
   * Returns the version that generated all tokens of a completion that was requested at `startedAtMs` and
   * has finished, or null if it can't be known.
   */
  async unchangedVersionSince(
    record: UpstreamRecord,
    model: string,
    startedAtMs: Milliseconds,
  ): Promise<number | null> {
    const reader = this.#readerOf(record);
    const before = reader.stableState;
    await this.#scheduleRead(record, reader);
    const after = reader.stableState;
    if (before === null || after === null) return null;
    if (before.firstReadAtMs > startedAtMs) return null;
    if (before.stateKey !== after.stateKey) return null;
    if (before.firstReadAtMs !== after.firstReadAtMs) return null;
    return after.versions.get(model) ?? null;
  }

  #readerOf(record: UpstreamRecord): EngineReader {
    const existing = this.#readers.get(record.id);
    if (existing !== undefined) return existing;
    const reader: EngineReader = {
      stableState: null,
      currentRead: null,
      nextRead: null,
    };
    this.#readers.set(record.id, reader);
    return reader;
  }

  /** Resolves once a read that started after this call has completed. */
  #scheduleRead(record: UpstreamRecord, reader: EngineReader): Promise<void> {
    if (reader.currentRead === null) return this.#startRead(record, reader);
    reader.nextRead ??= reader.currentRead.then(() => {
      reader.nextRead = null;
      return this.#startRead(record, reader);
    });
    return reader.nextRead;
  }

  #startRead(record: UpstreamRecord, reader: EngineReader): Promise<void> {
    const reading = this.#read(record, reader).finally(() => {
      if (reader.currentRead === reading) reader.currentRead = null;
    });
    reader.currentRead = reading;
    return reading;
  }

  async #read(record: UpstreamRecord, reader: EngineReader): Promise<void> {
    const state = await this.#options.states.readState(
      record.address,
      READ_TIMEOUT_MS,
    );
    if (state.err) {
      reader.stableState = null;
      return;
    }
    const versions = servingVersions(state.val);
    if (versions === null) {
      reader.stableState = null;
      return;
    }
    const identity = stateKeyOf(state.val);
    if (reader.stableState?.stateKey === identity) return;
    const sinceMs = this.#options.clock.nowMs();
    reader.stableState = {
      stateKey: identity,
      versions,
      firstReadAtMs: sinceMs,
    };
  }
}

/** Returns the versions by model, or null if any model is loading or has failed. */
function servingVersions(
  state: EngineState,
): ReadonlyMap<string, number> | null {
  const versions = new Map<string, number>();
  for (const entry of state.models) {
    if (entry.state !== "serving") return null;
    versions.set(entry.model, entry.version);
  }
  return versions;
}

function stateKeyOf(state: EngineState): string {
  const { id, incarnation, fence, models } = state;
  return JSON.stringify({ id, incarnation, fence, models });
}
