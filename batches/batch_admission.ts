/**
 * Decides whether the store VM that leads the batch log may accept a new batch, by the memory that the state of
 * the batches needs.
 *
 * @module
 */
import { type Bytes, type Clock, type Milliseconds, MINUTE_MS } from "#core";
import { expectedBatchBytes } from "./batch_state.ts";
import type { Batch } from "./batch_types.ts";
import type { BatchesMachine } from "./batches_machine.ts";

/** Time after which a proposal whose outcome is unknown is in the state if it ever will be. */
const UNKNOWN_OUTCOME_MS: Milliseconds = MINUTE_MS;

/** Options of `BatchAdmission`. */
export interface BatchAdmissionOptions {
  readonly machine: BatchesMachine;
  readonly clock: Clock;
  /** Returns the memory that the state of the batches may occupy. */
  readonly limitBytes: () => Bytes;
}

/** A batch that may be in the log but is not in the state yet. */
interface ProposedBatch {
  readonly bytes: Bytes;
  /** Number of proposals that wait for their outcome. */
  inFlight: number;
  /** Until when a proposal whose outcome is unknown counts. */
  untilMs: Milliseconds;
}

/** Compares the state of the batches, and the batches that are being proposed, with the limit. */
export class BatchAdmission {
  readonly #options: BatchAdmissionOptions;
  readonly #proposed = new Map<string, ProposedBatch>();

  constructor(options: BatchAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Returns whether the batch may be proposed: it is accepted already, or may be, or the state has room for it.
   * If so, the batch counts until `settle` is called, which follows each such call.
   */
  admit(batch: Batch): boolean {
    this.#removeSettled();
    const proposed = this.#proposed.get(batch.id);
    if (proposed !== undefined) {
      proposed.inFlight += 1;
      return true;
    }
    const bytes = expectedBatchBytes(batch.items);
    const isKnown = this.#options.machine.find(batch.id) !== undefined;
    if (!isKnown && !this.#hasRoomFor(bytes)) return false;
    this.#proposed.set(batch.id, { bytes, inFlight: 1, untilMs: 0 });
    return true;
  }

  /** Records the outcome of a proposal; a batch that may still be accepted counts for some time. */
  settle(id: string, outcome: "known" | "unknown"): void {
    const proposed = this.#proposed.get(id);
    if (proposed === undefined) return;
    proposed.inFlight -= 1;
    if (outcome === "known") return;
    proposed.untilMs = this.#options.clock.nowMs() + UNKNOWN_OUTCOME_MS;
  }

  #hasRoomFor(moreBytes: Bytes): boolean {
    const { machine, clock, limitBytes } = this.#options;
    let bytes = machine.bytesAt(clock.wallMs());
    for (const proposed of this.#proposed.values()) bytes += proposed.bytes;
    // The growth of a batch is estimated, so one alone is never rejected for it.
    return bytes === 0 || bytes + moreBytes <= limitBytes();
  }

  #removeSettled(): void {
    for (const [id, proposed] of this.#proposed) {
      if (this.#isSettled(id, proposed)) this.#proposed.delete(id);
    }
  }

  #isSettled(id: string, proposed: ProposedBatch): boolean {
    const { machine, clock } = this.#options;
    if (machine.find(id) !== undefined) return true;
    return proposed.inFlight <= 0 && proposed.untilMs <= clock.nowMs();
  }
}
