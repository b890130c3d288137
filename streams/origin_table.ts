/**
 * The streams that can still be taken up, as one VM knows them. Performs no I/O.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type Milliseconds, MINUTE_MS } from "#core";
import type { StreamOrigin } from "./stream_origins.ts";

/** Streams that are remembered, the newest ones; some 20 MB. */
const MAXIMUM_STREAMS = 100_000;
const MAXIMUM_RETENTION_MS: Milliseconds = 10 * MINUTE_MS;
/** Longer identifiers of attempts are replaced by their digests. */
const MAXIMUM_KEY_CHARACTERS = 64;

/** A stream, for another VM. */
export interface OriginRecord extends StreamOrigin {
  /** Key of the attempt that brought the first event; see `attemptKey`. */
  readonly key: string;
  /** How long the stream may still be taken up. */
  readonly retentionMs: Milliseconds;
}

/** What a table knows of one stream. */
export interface KnownOrigin extends StreamOrigin {
  readonly ageMs: Milliseconds;
  /** Whether records of the attempt differ, so that it is not known where the stream began. */
  readonly isContradictory: boolean;
}

interface StoredOrigin {
  readonly origin: StreamOrigin;
  readonly recordedMs: Milliseconds;
  expiresMs: Milliseconds;
  isContradictory: boolean;
}

/** Returns what identifies an attempt in records. */
export function attemptKey(attempt: string): string {
  if (attempt.length <= MAXIMUM_KEY_CHARACTERS) return attempt;
  return createHash("sha256").update(attempt).digest("base64url");
}

/**
 * Stores where streams began. Records of a stream may come late, repeatedly and in any order.
 *
 * @example
 * ```ts
 * const table = new OriginTable();
 * table.record({ key: "a1", service: "advice", softwareVersion: "v1", retentionMs: 2_000 }, clock.nowMs());
 * table.find("a1", clock.nowMs())?.softwareVersion; // "v1"
 * ```
 */
export class OriginTable {
  readonly #maximumStreams: number;
  readonly #streams = new Map<string, StoredOrigin>();

  constructor(
    options: { readonly maximumStreams?: number } = {},
  ) {
    this.#maximumStreams = options.maximumStreams ?? MAXIMUM_STREAMS;
  }

  /** Number of streams, also of those that have just expired. */
  get size(): number {
    return this.#streams.size;
  }

  /** Adds a record, or extends the retention of the stream that it names. */
  record(record: OriginRecord, nowMs: Milliseconds): void {
    const { key, service, softwareVersion } = record;
    const retentionMs = Math.min(record.retentionMs, MAXIMUM_RETENTION_MS);
    const expiresMs = nowMs + retentionMs;
    const known = this.#live(key, nowMs);
    if (known !== undefined) {
      known.expiresMs = Math.max(known.expiresMs, expiresMs);
      known.isContradictory ||= known.origin.service !== service ||
        known.origin.softwareVersion !== softwareVersion;
      return;
    }
    this.#streams.delete(key);
    this.#streams.set(key, {
      origin: { service, softwareVersion },
      recordedMs: nowMs,
      expiresMs,
      isContradictory: false,
    });
    if (this.#streams.size > this.#maximumStreams) this.#removeOldest();
  }

  /** Returns what is known of the stream whose first event an attempt brought, or undefined. */
  find(key: string, nowMs: Milliseconds): KnownOrigin | undefined {
    const known = this.#live(key, nowMs);
    if (known === undefined) return undefined;
    const { origin, recordedMs, isContradictory } = known;
    return { ...origin, ageMs: nowMs - recordedMs, isContradictory };
  }

  /** Removes the streams that can't be taken up any more. */
  expire(nowMs: Milliseconds): void {
    for (const [key, { expiresMs }] of this.#streams) {
      if (expiresMs <= nowMs) this.#streams.delete(key);
    }
  }

  /** Returns all streams that can still be taken up, for a VM that knows none. */
  records(nowMs: Milliseconds): readonly OriginRecord[] {
    const records: OriginRecord[] = [];
    for (const [key, { origin, expiresMs }] of this.#streams) {
      if (expiresMs <= nowMs) continue;
      records.push({ key, ...origin, retentionMs: expiresMs - nowMs });
    }
    return records;
  }

  #live(key: string, nowMs: Milliseconds): StoredOrigin | undefined {
    const known = this.#streams.get(key);
    return known === undefined || known.expiresMs <= nowMs ? undefined : known;
  }

  #removeOldest(): void {
    for (const key of this.#streams.keys()) {
      this.#streams.delete(key);
      return;
    }
  }
}
