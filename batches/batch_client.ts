/**
 * Client of the batch service, used by entry VMs to reach the leading store VM.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type Failure,
  type FleetNode,
  type Milliseconds,
  type Placement,
  type Result,
} from "#core";
import { LeaderClient, leaderOf, type RequestTimeouts } from "#membership";
import type { PeerNetwork } from "#wire";
import type { Batch, BatchReader, ResultPage } from "./batch_types.ts";

const ATTEMPT_TIMEOUT_MS: Milliseconds = 1_500;
/** Time that a leader under load may take to reply. */
const SILENCE_MS: Milliseconds = 400;
/** Longest time that a call takes, beside the time for which a read may wait for results. */
export const BATCH_CALL_LIMIT_MS: Milliseconds = 3_000;
const DEFAULT_PATIENCE: RequestTimeouts = {
  attemptMs: ATTEMPT_TIMEOUT_MS,
  totalMs: BATCH_CALL_LIMIT_MS,
  silenceMs: SILENCE_MS,
};

/** Options of `BatchClient`. */
export interface BatchClientOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly nodes: () => readonly FleetNode[];
  readonly placement: () => Placement;
}

/** Submits, reads and ends batches through the leading store VM. */
export class BatchClient {
  readonly #options: BatchClientOptions;
  readonly #requests: LeaderClient;

  constructor(options: BatchClientOptions) {
    this.#options = options;
    this.#requests = new LeaderClient({
      network: options.network,
      clock: options.clock,
      events: options.events,
      channel: "batches",
      probe: { kind: "leader" },
      candidates: () =>
        leaderCandidates(options.nodes(), options.placement().stores),
    });
  }

  /** Takes notice of changed VMs: requests to a store VM that no longer leads are sent to its successor. */
  handleVmChange(): void {
    this.#requests.preferLeaderOf(this.#options.nodes(), "store");
  }

  /**
   * Submits a batch; resolves once the log has stored all of it, at the latest after `withinMs`. Submitting a batch again
   * is idempotent.
   */
  accept(
    batch: Batch,
    keepMs: Milliseconds,
    withinMs: Milliseconds = BATCH_CALL_LIMIT_MS,
  ): Promise<Result<unknown, Failure>> {
    const totalMs = Math.min(withinMs, BATCH_CALL_LIMIT_MS);
    return this.#requests.send(
      { kind: "accept", batch, keepMs },
      { ...DEFAULT_PATIENCE, totalMs },
    );
  }

  /** Returns results from a position on; waits up to `waitMs` if there are none yet. */
  async read(
    id: string,
    options: {
      readonly after: number;
      readonly waitMs: Milliseconds;
    } & BatchReader,
  ): Promise<Result<ResultPage, Failure>> {
    const { waitMs } = options;
    const patience = {
      attemptMs: waitMs + ATTEMPT_TIMEOUT_MS,
      totalMs: waitMs + ATTEMPT_TIMEOUT_MS,
      silenceMs: waitMs + SILENCE_MS,
    };
    const request = { kind: "read", id, ...options };
    const reply = await this.#requests.send(request, patience);
    return reply as Result<ResultPage, Failure>;
  }

  /** Returns the request body of an item. */
  async readItemBody(
    id: string,
    item: string,
    reader: BatchReader = {},
  ): Promise<Result<Uint8Array, Failure>> {
    const request = { kind: "body", id, item, ...reader };
    const reply = await this.#requests.send(request, DEFAULT_PATIENCE);
    return reply as Result<Uint8Array, Failure>;
  }

  /** Ends a batch; ending it again is idempotent. */
  end(
    id: string,
    reader: BatchReader = {},
  ): Promise<Result<unknown, Failure>> {
    const request = { kind: "end", id, ...reader };
    return this.#requests.send(request, DEFAULT_PATIENCE);
  }
}

/**
 * Returns the replicas of the batch log, starting with the VM that reports leadership in the highest term. Other store
 * VMs, which may be many, are asked only while there is no placement.
 */
export function leaderCandidates(
  nodes: readonly FleetNode[],
  stores: readonly string[],
): readonly string[] {
  const leader = leaderOf(nodes, "store");
  const first = leader === undefined ? [] : [leader.vm];
  if (stores.length > 0) return [...new Set([...first, ...stores])];
  const others = nodes.filter((node) => node.role === "store");
  return [...new Set([...first, ...others.map((node) => node.vm)])];
}
