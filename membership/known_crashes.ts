/**
 * The crashes under calls that a VM has observed itself or learned from a control VM, with what it still has to report.
 *
 * @module
 */
import {
  type Bytes,
  type Clock,
  type EventLog,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
} from "#core";
import { type CallKey, CrashLedger } from "./crash_ledger.ts";
import type { CrashRecord, CrashRevision } from "./crash_records.ts";
import { MEMBERSHIP_EVENTS } from "./events.ts";

/** Most records in one message; the others follow with the next one. */
const MAXIMUM_REPORTED = 64;

/** How it became known that an upstream crashed. */
export type CrashEvidence = "connection_refused" | "incarnation_gone";

/** Records on their way to a control VM. */
export interface CrashReport {
  readonly records: readonly CrashRecord[];
  /** Revision of the own ledger when they were described. */
  readonly revision: number;
}

/** Options of `KnownCrashes`. */
export interface KnownCrashesOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Sends a record to the control VM that this VM follows, if there is one. */
  readonly send: (record: CrashRecord) => void;
}

/** What one VM knows of calls under which upstreams crash. */
export class KnownCrashes {
  readonly #options: KnownCrashesOptions;
  readonly #ledger = new CrashLedger();
  /** Calls whose records the followed control VM may lack, with the revision of their last change. */
  readonly #unreported = new Map<string, number>();
  #received: CrashRevision = { epoch: "", revision: 0 };

  constructor(options: KnownCrashesOptions) {
    this.#options = options;
  }

  /** The records that were received last. */
  get received(): CrashRevision {
    return this.#received;
  }

  crashesOf(digest: string): number {
    return this.#ledger.crashesOf(digest);
  }

  /** Returns when the last crash under a call was observed; `-Infinity` without any. */
  lastCrashMs(digest: string): Milliseconds {
    return this.#ledger.lastCrashMs(digest);
  }

  isBlocked(digest: string): boolean {
    return this.#ledger.isBlocked(digest);
  }

  incarnationsOf(digest: string): readonly string[] {
    return this.#ledger.incarnationsOf(digest);
  }

  hasSuspectOfLength(bodyBytes: Bytes): boolean {
    return this.#ledger.hasSuspectOfLength(bodyBytes);
  }

  hasCrashed(upstream: FleetUpstream): boolean {
    const nowMs = this.#options.clock.nowMs();
    return this.#ledger.hasCrashed(incarnationOf(upstream), nowMs);
  }

  /** Returns the record of a call, or undefined if nothing is known of it. */
  recordOf(digest: string): CrashRecord | undefined {
    return this.#ledger.recordOf(digest, this.#options.clock.nowMs());
  }

  /** Records a crash that this VM observed, and reports it. */
  recordCrash(
    call: CallKey,
    crash: {
      readonly incarnation: string;
      readonly evidence: CrashEvidence;
      /** Time from the end of the attempt to the evidence. */
      readonly evidenceAgeMs: number;
    },
  ): void {
    const { clock, events } = this.#options;
    const { incarnation, evidence, evidenceAgeMs } = crash;
    const wasBlocked = this.isBlocked(call.digest);
    if (!this.#ledger.recordCrash(call, incarnation, clock.nowMs())) return;
    events.emit(MEMBERSHIP_EVENTS.crashUnderCall, {
      digest: call.digest,
      incarnation,
      crashes: this.crashesOf(call.digest),
      evidence,
      evidenceAgeMs: Math.round(evidenceAgeMs),
    });
    this.#logIfBlocked(call.digest, wasBlocked);
    this.#report(call.digest);
  }

  /** Records that an upstream ran a call and responded completely, and reports it if that clears the call. */
  recordAnswer(call: CallKey): void {
    const { clock, events } = this.#options;
    const { digest } = call;
    const incarnations = this.incarnationsOf(digest);
    if (!this.#ledger.recordAnswer(call, clock.nowMs())) return;
    events.emit(MEMBERSHIP_EVENTS.callCleared, { digest, incarnations });
    this.#report(digest);
  }

  /** Adds the records of a control VM. */
  receive(revision: CrashRevision, records: readonly CrashRecord[]): void {
    this.#received = revision;
    const blocked = new Set(
      records.map(({ digest }) => digest).filter((digest) =>
        this.isBlocked(digest)
      ),
    );
    this.#ledger.merge(records, this.#options.clock.nowMs());
    for (const { digest } of records) {
      this.#logIfBlocked(digest, blocked.has(digest));
    }
  }

  /** Returns records that the followed control VM may lack, and the revision up to which that reports them. */
  unreported(): CrashReport {
    const records: CrashRecord[] = [];
    for (const digest of this.#unreported.keys()) {
      if (records.length === MAXIMUM_REPORTED) break;
      const record = this.recordOf(digest);
      if (record === undefined) this.#unreported.delete(digest);
      else records.push(record);
    }
    return { records, revision: this.#ledger.revision };
  }

  /** Records that a report has arrived. */
  confirmReported({ records, revision }: CrashReport): void {
    for (const { digest } of records) {
      const changedAt = this.#unreported.get(digest);
      if (changedAt !== undefined && changedAt <= revision) {
        this.#unreported.delete(digest);
      }
    }
  }

  /** Starts anew with a control VM, which may lack everything. */
  handleServerChange(): void {
    const { revision } = this.#ledger;
    const all = this.#ledger.since(0, this.#options.clock.nowMs());
    for (const { digest } of all) this.#unreported.set(digest, revision);
  }

  #report(digest: string): void {
    this.#unreported.set(digest, this.#ledger.revision);
    const record = this.recordOf(digest);
    if (record !== undefined) this.#options.send(record);
  }

  #logIfBlocked(digest: string, wasBlocked: boolean): void {
    if (wasBlocked || !this.isBlocked(digest)) return;
    this.#options.events.emit(MEMBERSHIP_EVENTS.callBlocked, {
      digest,
      incarnations: this.incarnationsOf(digest),
    });
  }
}
