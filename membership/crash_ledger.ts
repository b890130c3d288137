/**
 * Calls that were running when upstreams crashed, as one VM knows them. Performs no I/O.
 *
 * A call counts as a suspect from its first crash on, and is blocked after `BLOCKING_CRASHES` different incarnations. A
 * complete response clears it. Suspects are forgotten after some minutes, blocked calls after a day; if there are too
 * many, those with the fewest crashes are forgotten first, so that no number of other calls displaces a blocked one.
 *
 * @module
 */
import { type Bytes, type Milliseconds, MINUTE_MS, SECOND_MS } from "#core";
import { BLOCKING_CRASHES, type CrashRecord } from "./crash_records.ts";

const MAXIMUM_CALLS = 512;
/** Refuted crashes that are remembered of one call. */
const MAXIMUM_REFUTED = 64;
/** Time within which an upstream that has crashed is no longer listed, for lack of heartbeats. */
const DELISTING_MS: Milliseconds = 10 * SECOND_MS;
const SUSPECT_RETENTION_MS: Milliseconds = 10 * MINUTE_MS;
const BLOCKED_RETENTION_MS: Milliseconds = 24 * 60 * MINUTE_MS;
/** Longer than any report of a crash is under way that the response refutes. */
const CLEARED_RETENTION_MS: Milliseconds = 30 * SECOND_MS;

interface KnownCall {
  readonly bodyBytes: Bytes;
  /** When the crash of each incarnation was observed. */
  readonly crashes: Map<string, Milliseconds>;
  /**
   * Incarnations whose crash was refuted. Which report is the later one is decided once: times shift with each VM that a
   * report passes, so that VMs which decide anew would never agree.
   */
  readonly refuted: Set<string>;
  answeredMs: Milliseconds;
  /** Revision of the ledger at the last change. */
  changedAt: number;
}

/** What is asked of all suspects together, so that no question looks at each of them. */
class SuspectIndex {
  readonly lengths = new Set<Bytes>();
  /** For each incarnation that crashed, when that was last observed and how many suspects ran there. */
  readonly crashed = new Map<
    string,
    { lastMs: Milliseconds; suspects: number }
  >();

  constructor(calls: Iterable<KnownCall>) {
    for (const { bodyBytes, crashes } of calls) {
      if (crashes.size > 0) this.lengths.add(bodyBytes);
      for (const [incarnation, observedMs] of crashes) {
        this.#add(incarnation, observedMs);
      }
    }
  }

  #add(incarnation: string, observedMs: Milliseconds): void {
    const known = this.crashed.get(incarnation) ??
      { lastMs: -Infinity, suspects: 0 };
    known.lastMs = Math.max(known.lastMs, observedMs);
    known.suspects += 1;
    this.crashed.set(incarnation, known);
  }
}

/** What identifies a call in the ledger. */
export interface CallKey {
  readonly digest: string;
  readonly bodyBytes: Bytes;
}

/**
 * Stores which incarnations of upstreams crashed under which call.
 *
 * @example
 * ```ts
 * const ledger = new CrashLedger();
 * ledger.recordCrash({ digest, bodyBytes: 4 }, "u1:1", clock.nowMs());
 * ledger.isSuspect(digest); // true
 * ```
 */
export class CrashLedger {
  readonly #calls = new Map<string, KnownCall>();
  #revision = 0;
  #index = new SuspectIndex([]);
  #indexRevision = 0;

  /** Increases with each change. */
  get revision(): number {
    return this.#revision;
  }

  /** Returns the number of upstreams that crashed under a call and that no later response refutes. */
  crashesOf(digest: string): number {
    return this.#calls.get(digest)?.crashes.size ?? 0;
  }

  /** Returns the incarnations that crashed under a call, in the order of their observation. */
  incarnationsOf(digest: string): readonly string[] {
    return [...this.#calls.get(digest)?.crashes.keys() ?? []];
  }

  /** Returns when the last crash under a call was observed; `-Infinity` without any. */
  lastCrashMs(digest: string): Milliseconds {
    const crashes = this.#calls.get(digest)?.crashes.values() ?? [];
    return Math.max(-Infinity, ...crashes);
  }

  isSuspect(digest: string): boolean {
    return this.crashesOf(digest) > 0;
  }

  isBlocked(digest: string): boolean {
    return this.crashesOf(digest) >= BLOCKING_CRASHES;
  }

  /** Whether there is a suspect whose body is this long. */
  hasSuspectOfLength(bodyBytes: Bytes): boolean {
    return this.#suspects().lengths.has(bodyBytes);
  }

  /**
   * Whether an incarnation of an upstream is known to have crashed just now. One that is still listed later was alive
   * after all, as behind a cut link.
   */
  hasCrashed(incarnation: string, nowMs: Milliseconds): boolean {
    const crashed = this.#suspects().crashed.get(incarnation);
    return crashed !== undefined && nowMs - crashed.lastMs <= DELISTING_MS;
  }

  /** Whether an upstream crashed while no other suspect is known to have run there. */
  ranAlone(digest: string): boolean {
    const { crashed } = this.#suspects();
    return this.incarnationsOf(digest).some((incarnation) =>
      crashed.get(incarnation)?.suspects === 1
    );
  }

  /** Records that an upstream crashed which may have run a call; returns whether that is news. */
  recordCrash(
    call: CallKey,
    incarnation: string,
    nowMs: Milliseconds,
  ): boolean {
    const crashes = [{ incarnation, ageMs: 0 }];
    const record = { ...call, crashes, answeredAgeMs: null };
    return this.merge([record], nowMs).length > 0;
  }

  /** Records that an upstream ran a call and responded completely; returns whether that clears it. */
  recordAnswer(call: CallKey, nowMs: Milliseconds): boolean {
    if (!this.isSuspect(call.digest)) return false;
    const record = { ...call, crashes: [], answeredAgeMs: 0 };
    return this.merge([record], nowMs).length > 0;
  }

  /** Adds what other VMs know; returns the records that were news, as they are known now. */
  merge(
    records: readonly CrashRecord[],
    nowMs: Milliseconds,
  ): readonly CrashRecord[] {
    const changed: string[] = [];
    for (const record of records) {
      if (this.#mergeOne(record, nowMs)) changed.push(record.digest);
    }
    this.expire(nowMs);
    return this.#describe(changed, nowMs);
  }

  /** Returns the records that changed after a revision. */
  since(revision: number, nowMs: Milliseconds): readonly CrashRecord[] {
    const changed: string[] = [];
    for (const [digest, { changedAt }] of this.#calls) {
      if (changedAt > revision) changed.push(digest);
    }
    return this.#describe(changed, nowMs);
  }

  /** Returns the records of the blocked calls. */
  blocked(nowMs: Milliseconds): readonly CrashRecord[] {
    const digests = [...this.#calls.keys()].filter((each) =>
      this.isBlocked(each)
    );
    return this.#describe(digests, nowMs);
  }

  /** Returns so many records, those with the most crashes first. */
  mostImportant(count: number, nowMs: Milliseconds): readonly CrashRecord[] {
    const byImportance = [...this.#calls].sort(([, a], [, b]) =>
      compareImportance(b, a)
    );
    const digests = byImportance.slice(0, count).map(([digest]) => digest);
    return this.#describe(digests, nowMs);
  }

  /** Returns the record of a call, or undefined if nothing is known of it. */
  recordOf(digest: string, nowMs: Milliseconds): CrashRecord | undefined {
    return this.#describe([digest], nowMs)[0];
  }

  /** Forgets what is too old, and what exceeds the number of calls. */
  expire(nowMs: Milliseconds): void {
    for (const [digest, call] of this.#calls) {
      if (nowMs - lastChangeMs(call) > retentionMs(call)) {
        this.#calls.delete(digest);
      }
    }
    if (this.#calls.size <= MAXIMUM_CALLS) return;
    const byImportance = [...this.#calls].sort(([, a], [, b]) =>
      compareImportance(a, b)
    );
    const excess = byImportance.slice(0, this.#calls.size - MAXIMUM_CALLS);
    for (const [digest] of excess) this.#calls.delete(digest);
  }

  /** Returns the index, which is built again only after a change. */
  #suspects(): SuspectIndex {
    if (this.#indexRevision !== this.#revision) {
      this.#indexRevision = this.#revision;
      this.#index = new SuspectIndex(this.#calls.values());
    }
    return this.#index;
  }

  /** Returns whether the record changes which crashes count, or is the first to say that the call was answered. */
  #mergeOne(record: CrashRecord, nowMs: Milliseconds): boolean {
    const known = this.#calls.get(record.digest) ?? newCall(record.bodyBytes);
    let changed = mergeAnswer(known, record, nowMs);
    for (const incarnation of record.refuted ?? []) {
      if (refute(known, incarnation)) changed = true;
    }
    for (const { incarnation, ageMs } of record.crashes) {
      if (mergeCrash(known, incarnation, nowMs - ageMs)) changed = true;
    }
    if (!changed) return false;
    this.#revision += 1;
    known.changedAt = this.#revision;
    this.#calls.set(record.digest, known);
    return true;
  }

  #describe(
    digests: readonly string[],
    nowMs: Milliseconds,
  ): readonly CrashRecord[] {
    const records: CrashRecord[] = [];
    for (const digest of digests) {
      const call = this.#calls.get(digest);
      if (call === undefined) continue;
      const { bodyBytes, answeredMs, refuted } = call;
      const crashes = [...call.crashes].map(([incarnation, observedMs]) => ({
        incarnation,
        ageMs: nowMs - observedMs,
      }));
      const answeredAgeMs = answeredMs === -Infinity
        ? null
        : nowMs - answeredMs;
      const record = { digest, bodyBytes, crashes, answeredAgeMs };
      records.push({ ...record, refuted: [...refuted] });
    }
    return records;
  }
}

function newCall(bodyBytes: Bytes): KnownCall {
  return {
    bodyBytes,
    crashes: new Map(),
    refuted: new Set(),
    answeredMs: -Infinity,
    changedAt: 0,
  };
}

/** Adds a response to the call, which refutes the crashes before it; returns whether that is news. */
function mergeAnswer(
  known: KnownCall,
  record: CrashRecord,
  nowMs: Milliseconds,
): boolean {
  if (record.answeredAgeMs === null) return false;
  // A response that is known already seems later by the time that its report was under way.
  const isRepeated = record.answeredAgeMs > 0 && known.answeredMs !== -Infinity;
  if (isRepeated && record.refuted !== undefined) return false;
  const answeredMs = nowMs - record.answeredAgeMs;
  if (answeredMs <= known.answeredMs) return false;
  // Also without crashes to drop: reports of some that it refutes may still be under way.
  let changed = known.answeredMs === -Infinity;
  known.answeredMs = answeredMs;
  for (const [incarnation, observedMs] of known.crashes) {
    if (observedMs > answeredMs) continue;
    if (refute(known, incarnation)) changed = true;
  }
  return changed;
}

/** Adds a crash; returns whether that is news. */
function mergeCrash(
  known: KnownCall,
  incarnation: string,
  observedMs: Milliseconds,
): boolean {
  if (known.refuted.has(incarnation) || known.crashes.has(incarnation)) {
    return false;
  }
  if (observedMs <= known.answeredMs) return refute(known, incarnation);
  known.crashes.set(incarnation, observedMs);
  return true;
}

/** Drops the crash of an incarnation for good; returns whether that is news. */
function refute(known: KnownCall, incarnation: string): boolean {
  known.crashes.delete(incarnation);
  if (known.refuted.has(incarnation)) return false;
  known.refuted.add(incarnation);
  const [oldest] = known.refuted;
  if (known.refuted.size > MAXIMUM_REFUTED && oldest !== undefined) {
    known.refuted.delete(oldest);
  }
  return true;
}

function compareImportance(a: KnownCall, b: KnownCall): number {
  return a.crashes.size - b.crashes.size || lastChangeMs(a) - lastChangeMs(b);
}

function lastChangeMs(call: KnownCall): Milliseconds {
  return Math.max(call.answeredMs, ...call.crashes.values());
}

function retentionMs(call: KnownCall): Milliseconds {
  if (call.crashes.size >= BLOCKING_CRASHES) return BLOCKED_RETENTION_MS;
  return call.crashes.size > 0 ? SUSPECT_RETENTION_MS : CLEARED_RETENTION_MS;
}
