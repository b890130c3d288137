/**
 * Stores on the disk of a control VM which calls are blocked, so that a loss of power of all VMs does not let them crash
 * as many upstreams again. Suspects are not stored: each of them becomes known again with its next crash.
 *
 * @module
 */
import { z } from "zod";
import type { DataFolder } from "#agreement";
import type { Clock, EventLog, Milliseconds } from "#core";
import type { CrashLedger } from "./crash_ledger.ts";
import type { CrashRecord } from "./crash_records.ts";
import { MEMBERSHIP_EVENTS } from "./events.ts";

const FILE_NAME = "blocked-calls.json";

const fileSchema = z.object({
  /** Wall-clock time to which the ages refer. */
  writtenMs: z.number(),
  records: z.array(z.object({
    digest: z.string(),
    bodyBytes: z.number(),
    crashes: z.array(z.object({
      incarnation: z.string(),
      ageMs: z.number(),
    })),
    answeredAgeMs: z.number().nullable(),
  })),
});

/** Options of `BlockedCallStore`. */
export interface BlockedCallStoreOptions {
  readonly folder: DataFolder;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly ledger: CrashLedger;
}

/** Synchronises a file with the blocked calls of a ledger. */
export class BlockedCallStore {
  readonly #options: BlockedCallStoreOptions;
  /** Digests in the file, as one text. */
  #stored = "";
  #isWriting = false;

  constructor(options: BlockedCallStoreOptions) {
    this.#options = options;
  }

  /** Adds what the file contains to the ledger. */
  async load(): Promise<void> {
    const { folder, clock, ledger } = this.#options;
    try {
      const names = await folder.list();
      if (!names.includes(FILE_NAME)) return;
      const text = Buffer.from(await folder.read(FILE_NAME)).toString();
      const { writtenMs, records } = fileSchema.parse(JSON.parse(text));
      // The time of day may have stepped back since.
      const sinceMs = Math.max(0, clock.wallMs() - writtenMs);
      const aged = records.map((each) => age(each, sinceMs));
      ledger.merge(aged, clock.nowMs());
      this.#stored = digestsOf(ledger.blocked(clock.nowMs()));
    } catch (error) {
      this.#logFailure(error);
    }
  }

  /** Writes the file if other calls are blocked than it names. */
  async update(): Promise<void> {
    const { folder, clock, ledger } = this.#options;
    if (this.#isWriting) return;
    this.#isWriting = true;
    try {
      for (;;) {
        const records = ledger.blocked(clock.nowMs());
        const digests = digestsOf(records);
        if (digests === this.#stored) break;
        const file = { writtenMs: clock.wallMs(), records };
        await folder.replace(FILE_NAME, Buffer.from(JSON.stringify(file)));
        this.#stored = digests;
      }
    } catch (error) {
      this.#logFailure(error);
    } finally {
      this.#isWriting = false;
    }
  }

  #logFailure(error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.#options.events.emit(MEMBERSHIP_EVENTS.blockedCallsNotStored, {
      reason,
    });
  }
}

function digestsOf(records: readonly CrashRecord[]): string {
  return records.map((each) => each.digest).toSorted().join(" ");
}

function age(record: CrashRecord, byMs: Milliseconds): CrashRecord {
  const crashes = record.crashes.map(({ incarnation, ageMs }) => ({
    incarnation,
    ageMs: ageMs + byMs,
  }));
  const { answeredAgeMs } = record;
  return {
    ...record,
    crashes,
    answeredAgeMs: answeredAgeMs === null ? null : answeredAgeMs + byMs,
  };
}
