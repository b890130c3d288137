/**
 * Versions of engines that don't name them with their tokens: read before and after, and known only if
 * nothing changed between.
 *
 * @module
 */
import type { Clock, Milliseconds, UpstreamRecord } from "#core";
import type { EngineState, EngineStatePort } from "./engine_state.ts";

const READ_LIMIT_MS: Milliseconds = 2_000;

/** What the witness is built from. */
export interface EngineWitnessOptions {
  readonly states: EngineStatePort;
  readonly clock: Clock;
}

/** An unbroken run of equal readings. */
interface Streak {
  /** All that must stay equal. */
  readonly identity: string;
  readonly versions: ReadonlyMap<string, number>;
  /** When the first of the readings had ended. */
  readonly sinceMs: Milliseconds;
}

interface Reader {
  streak: Streak | null;
  running: Promise<void> | null;
  /** The reading that begins when the running one ends. */
  next: Promise<void> | null;
}

/** Reads engines and tells which version made an answer. */
export class EngineWitness {
  readonly #options: EngineWitnessOptions;
  readonly #readers = new Map<string, Reader>();

  constructor(options: EngineWitnessOptions) {
    this.#options = options;
  }

  /** Reads each engine that can't tell and that was not read yet. */
  observe(records: Iterable<UpstreamRecord>): void {
    for (const record of records) {
      if (record.role !== "engine" || record.reportsVersions) continue;
      const reader = this.#reader(record);
      if (reader.streak === null && reader.running === null) {
        void this.#readNow(record, reader);
      }
    }
  }

  /**
   * Version that made all tokens of an answer that was asked for at `startedAtMs` and has ended, or
   * null if it can't be known.
   */
  async versionSince(
    record: UpstreamRecord,
    model: string,
    startedAtMs: Milliseconds,
  ): Promise<number | null> {
    const reader = this.#reader(record);
    const before = reader.streak;
    await this.#readNow(record, reader);
    const after = reader.streak;
    if (before === null || after === null) return null;
    if (before.sinceMs > startedAtMs) return null;
    if (before.identity !== after.identity) return null;
    if (before.sinceMs !== after.sinceMs) return null;
    return after.versions.get(model) ?? null;
  }

  #reader(record: UpstreamRecord): Reader {
    const known = this.#readers.get(record.id);
    if (known !== undefined) return known;
    const reader: Reader = { streak: null, running: null, next: null };
    this.#readers.set(record.id, reader);
    return reader;
  }

  /** Ends with a reading that began after this call. */
  #readNow(record: UpstreamRecord, reader: Reader): Promise<void> {
    if (reader.running === null) return this.#begin(record, reader);
    reader.next ??= reader.running.then(() => {
      reader.next = null;
      return this.#begin(record, reader);
    });
    return reader.next;
  }

  #begin(record: UpstreamRecord, reader: Reader): Promise<void> {
    const reading = this.#read(record, reader).finally(() => {
      if (reader.running === reading) reader.running = null;
    });
    reader.running = reading;
    return reading;
  }

  async #read(record: UpstreamRecord, reader: Reader): Promise<void> {
    const state = await this.#options.states.readState(
      record.address,
      READ_LIMIT_MS,
    );
    if (state.err) {
      reader.streak = null;
      return;
    }
    const versions = steadyVersions(state.val);
    if (versions === null) {
      reader.streak = null;
      return;
    }
    const identity = identityOf(state.val);
    if (reader.streak?.identity === identity) return;
    const sinceMs = this.#options.clock.nowMs();
    reader.streak = { identity, versions, sinceMs };
  }
}

/** Versions by model, or null while any of them loads or has failed. */
function steadyVersions(
  state: EngineState,
): ReadonlyMap<string, number> | null {
  const versions = new Map<string, number>();
  for (const entry of state.models) {
    if (entry.state !== "serving") return null;
    versions.set(entry.model, entry.version);
  }
  return versions;
}

function identityOf(state: EngineState): string {
  const { id, incarnation, fence, models } = state;
  return JSON.stringify({ id, incarnation, fence, models });
}
