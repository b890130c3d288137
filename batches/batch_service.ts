/**
 * Handles batch requests of entry VMs on a store VM. Only the leader serves them, and reads only from a state
 * that includes every change acknowledged before; the other replicas name the leader.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import {
  type Bytes,
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import type { PeerNetwork } from "#wire";
import { match } from "ts-pattern";
import { BatchAdmission } from "./batch_admission.ts";
import { type BatchRequest, parseBatchRequest } from "./batch_messages.ts";
import {
  type Batch,
  type BatchReader,
  type BatchResult,
  isVisibleTo,
  readResult,
  type ResultPage,
} from "./batch_types.ts";
import type { BatchState } from "./batch_state.ts";
import type { BatchesMachine } from "./batches_machine.ts";
import { BATCHES_EVENTS } from "./events.ts";
import { PageBudget } from "./page_budget.ts";

const MAXIMUM_PAGE_BYTES: Bytes = 900_000;
const RESULT_OVERHEAD_BYTES: Bytes = 200;
/** Time after which a batch that did not fit into memory may be sent again; batches end every few seconds. */
const FULL_RETRY_AFTER_MS: Milliseconds = 1_000;

/** Options of `BatchService`. */
export interface BatchServiceOptions {
  readonly log: ReplicatedLog;
  readonly machine: BatchesMachine;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Returns the memory that the state of the batches may occupy. */
  readonly limitBytes: () => Bytes;
}

type AcceptRequest = Extract<BatchRequest, { kind: "accept" }>;

/** Accepts, reads and ends batches on behalf of entry VMs. */
export class BatchService {
  readonly #options: BatchServiceOptions;
  readonly #admission: BatchAdmission;
  readonly #pages: PageBudget;
  readonly #waitingReaders = new Set<() => void>();

  constructor(options: BatchServiceOptions) {
    this.#options = options;
    this.#admission = new BatchAdmission(options);
    this.#pages = new PageBudget(options.clock);
  }

  /** Starts to serve requests. */
  start(): void {
    const { network, log } = this.#options;
    network.onRequest("batches", (_from, body) => this.#handleRequest(body));
    log.onApplied(() => this.#wakeReaders());
  }

  #wakeReaders(): void {
    const waiting = [...this.#waitingReaders];
    this.#waitingReaders.clear();
    for (const wake of waiting) wake();
  }

  #handleRequest(body: unknown): Promise<Result<unknown, Failure>> {
    const request = parseBatchRequest(body);
    if (request === undefined) {
      const failure = fail("malformed_request", "malformed batch request");
      return Promise.resolve(Err(failure));
    }
    return match(request)
      .with({ kind: "leader" }, () => this.#confirmLeadership())
      .with({ kind: "accept" }, (accept) => this.#accept(accept))
      .with({ kind: "end" }, (end) => this.#end(end))
      .with({ kind: "read" }, (read) => this.#readResults(read))
      .with({ kind: "body" }, (request) => this.#readItemBody(request))
      .exhaustive();
  }

  async #confirmLeadership(): Promise<Result<null, Failure>> {
    const { log } = this.#options;
    const barrier = await log.query({ machine: "batches", question: null });
    return barrier.err ? Err(barrier.val) : Ok(null);
  }

  /** The log records only that the batch ends, as builds before this one don't know who may end it. */
  async #end(
    { id, tenant }: Extract<BatchRequest, { kind: "end" }>,
  ): Promise<Result<unknown, Failure>> {
    if (tenant !== undefined) {
      const found = await this.#findCommitted(id, { tenant });
      if (found.err) return Err(found.val);
    }
    return await this.#propose({ kind: "end", id });
  }

  #propose(
    command: Extract<BatchRequest, { kind: "accept" | "end" }>,
  ): Promise<Result<unknown, Failure>> {
    return this.#options.log.propose({ machine: "batches", command });
  }

  async #accept(request: AcceptRequest): Promise<Result<unknown, Failure>> {
    const { batch } = request;
    const rejection = await this.#rejection(batch);
    const result = rejection === undefined
      ? await this.#proposeBatch(request)
      : Err(rejection);
    if (result.err) this.#reportRejection(batch.id, result.val);
    return result;
  }

  /** Admits the batch, or returns a failure if it is new and the state has no room for it. */
  async #rejection(batch: Batch): Promise<Failure | undefined> {
    if (this.#admission.admit(batch)) return undefined;
    // Only a state with every earlier change shows whether the batch is accepted already.
    const { log } = this.#options;
    const barrier = await log.query({ machine: "batches", question: null });
    if (barrier.err) return barrier.val;
    if (this.#admission.admit(batch)) return undefined;
    return fail("too_many_requests", "the store has no memory for the batch", {
      retryAfterMs: FULL_RETRY_AFTER_MS,
    });
  }

  async #proposeBatch(
    request: AcceptRequest,
  ): Promise<Result<unknown, Failure>> {
    const result = await this.#propose(request);
    const isUnknown = result.err && result.val.ran !== "no";
    const outcome = isUnknown ? "unknown" : "known";
    this.#admission.settle(request.batch.id, outcome);
    return result;
  }

  #reportRejection(batch: string, failure: Failure): void {
    this.#options.events.emit(BATCHES_EVENTS.batchRefused, {
      request: batch,
      failure: failure.kind,
      reason: failure.message,
    });
  }

  /**
   * Returns a batch if it exists for the caller; fails unless this VM leads and has applied every change acknowledged so
   * far.
   */
  async #findCommitted(
    id: string,
    reader: BatchReader,
  ): Promise<Result<BatchState, Failure>> {
    const { log, machine } = this.#options;
    const barrier = await log.query({ machine: "batches", question: null });
    if (barrier.err) return Err(barrier.val);
    const state = machine.find(id);
    if (state === undefined || !isVisibleTo(state.batch, reader)) {
      return Err(fail("not_found", `batch ${id} does not exist`));
    }
    return Ok(state);
  }

  async #readResults(
    read: Extract<BatchRequest, { kind: "read" }>,
  ): Promise<Result<ResultPage, Failure>> {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + read.waitMs;
    while (true) {
      const found = await this.#findCommitted(read.id, read);
      if (found.err) return Err(found.val);
      const state = found.val;
      const waits = state.results.length <= read.after && !state.ended &&
        state.results.length < state.items.size;
      const leftMs = untilMs - clock.nowMs();
      if (waits && leftMs > 0) await this.#waitForLogEntry(leftMs);
      else if (this.#pages.isSpent) await this.#pages.nextTurn();
      else return Ok(this.#makePage(state, read.after));
    }
  }

  #makePage(state: BatchState, after: number): ResultPage {
    const page = resultPage(state, after);
    let bytes = 0;
    for (const { text } of page.results) bytes += text.length;
    this.#pages.spend(bytes);
    return page;
  }

  #waitForLogEntry(waitMs: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.#waitingReaders.delete(wake);
        resolve();
      };
      const timer = this.#options.clock.after(waitMs, wake);
      this.#waitingReaders.add(wake);
    });
  }

  async #readItemBody(
    request: Extract<BatchRequest, { kind: "body" }>,
  ): Promise<Result<Uint8Array, Failure>> {
    const found = await this.#findCommitted(request.id, request);
    if (found.err) return Err(found.val);
    const state = found.val.items.get(request.item);
    // A listed item or an item of an ended batch has no request any more.
    if (state === undefined || state.listed || found.val.ended) {
      return Err(fail("not_found", `item ${request.item} is not open`));
    }
    return Ok(state.item.body);
  }
}

/** Returns the results from a position on that fit into a page, but at least one if there is any. */
export function resultPage(state: BatchState, after: number): ResultPage {
  const results: BatchResult[] = [];
  let bytes = 0;
  for (const result of state.results.slice(after)) {
    bytes += result.text.length + RESULT_OVERHEAD_BYTES;
    if (results.length > 0 && bytes > MAXIMUM_PAGE_BYTES) break;
    results.push(readResult(result));
  }
  return {
    total: state.items.size,
    next: after + results.length,
    results,
  };
}
