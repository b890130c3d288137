/**
 * State of one run of the ledger's fuzz model: the state machine, its oracle and the groups leased to entries.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { Failure, Result, TrainerEntry } from "#core";
import { type LeasedGroup, LedgerMachine, type LedgerReply } from "#samples";
import { decodeValue, encodeValue } from "#wire";
import { LedgerOracle, MAXIMUM_STALENESS, MODEL_OF } from "./ledger_oracle.ts";

/** The ledger under test, with its oracle. */
export class LedgerRun {
  readonly oracle = new LedgerOracle();
  readonly leasedGroups: LeasedGroup[] = [];
  readonly epochs = new Map<string, number>();
  readonly sequences = new Map<string, number>();
  readonly lastGiven = new Map<string, string>();
  machine = createLedger();
  logIndex = 0;
  nowMs = 1_000;
  commitCount = 0;

  /** Applies a command after encoding and decoding it, as for a command from another VM. */
  apply(command: unknown): Result<LedgerReply, Failure> {
    this.logIndex += 1;
    const wire = decodeValue(encodeValue(command));
    return this.machine.apply({
      index: this.logIndex,
      atMs: this.nowMs,
      command: wire,
    });
  }

  /** Applies a command that must be rejected and change no state except the time. */
  expectRejection(command: unknown, kind: string): void {
    const before = this.#encodeState();
    const reply = this.apply(command);
    assert.ok(reply.err, `${JSON.stringify(command)} was not rejected`);
    assert.equal(reply.val.kind, kind);
    assert.deepEqual(this.#encodeState(), before);
  }

  #encodeState(): Uint8Array {
    const state = this.machine.snapshot() as Readonly<Record<string, unknown>>;
    return encodeValue({ ...state, atMs: 0 });
  }
}

/** Creates an empty ledger. */
export function createLedger(): LedgerMachine {
  return new LedgerMachine({
    findTrainer: (name) => {
      const model = MODEL_OF.get(name);
      if (model === undefined) return null;
      return {
        name,
        tenant: "tana",
        class: "drafting",
        model,
        scorer: "scorer",
        weight: 1,
        maximumStaleness: MAXIMUM_STALENESS,
      } satisfies TrainerEntry;
    },
  });
}
