/**
 * Completions: queued, dispatched, resumed on another engine after a break, cancelled with the caller.
 *
 * @module
 */
import {
  type CompletionAnswer,
  type CompletionCall,
  type CompletionOptions,
  CompletionPort,
  Err,
  fail,
  type Failure,
  MEBIBYTE,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import { CallProgress } from "./attempt.ts";
import { EngineCall, type EngineResult } from "./engine_call.ts";
import { EMPTY_COMPLETION, type ReceivedCompletion } from "./engine_stream.ts";
import { REQUEST_EVENTS } from "./events.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import type { WorkItem } from "./work_item.ts";
import type { Slot } from "./work_gate.ts";

/** Most attempts of one completion, resumed ones included. */
export const MAXIMUM_COMPLETION_ATTEMPTS = 5;

const PROMPT_CHARACTERS_PER_COST_UNIT = 32;
const RETRY_DELAY_MS: Milliseconds = 20;
const DEFAULT_MAXIMUM_RESPONSE_BYTES = 16 * MEBIBYTE;

/** Makes completions on engines. */
export class EngineCompletions extends CompletionPort {
  readonly #dependencies: RequestDependencies;
  #openCalls = 0;

  constructor(parts: RequestDependencies) {
    super();
    this.#dependencies = parts;
  }

  /** Calls not finished. */
  get openCalls(): number {
    return this.#openCalls;
  }

  override async complete(
    call: CompletionCall,
    options: CompletionOptions = {},
  ): Promise<Result<CompletionAnswer, Failure>> {
    this.#openCalls += 1;
    const arrivedMs = this.#dependencies.clock.nowMs();
    try {
      const run = new CompletionRun(this.#dependencies, {
        call,
        options,
        arrivedMs,
      });
      const result = await run.result();
      this.#recordResult(call, { result, arrivedMs });
      return result;
    } finally {
      this.#openCalls -= 1;
    }
  }

  #recordResult(
    call: CompletionCall,
    ended: {
      readonly result: Result<CompletionAnswer, Failure>;
      readonly arrivedMs: Milliseconds;
    },
  ): void {
    const { metrics, decisions, clock } = this.#dependencies;
    const { result, arrivedMs } = ended;
    const labels = { tenant: call.tenant, class: call.class };
    if (result.ok) {
      metrics.recordResponse(labels, clock.nowMs() - arrivedMs);
      decisions.record(call.requestId, "answered", {
        upstream: result.val.upstream,
        tokens: result.val.tokens,
      });
      return;
    }
    metrics.recordFailure(labels, result.val);
    decisions.record(call.requestId, "failed", { ...result.val });
  }
}

interface CompletionRunOptions {
  readonly call: CompletionCall;
  readonly options: CompletionOptions;
  readonly arrivedMs: Milliseconds;
}

/** One completion over all its attempts. */
class CompletionRun {
  readonly #dependencies: RequestDependencies;
  readonly #call: CompletionCall;
  readonly #options: CompletionOptions;
  readonly #arrivedMs: Milliseconds;
  readonly #progress = new CallProgress({
    repeatable: true,
    maximumAttempts: MAXIMUM_COMPLETION_ATTEMPTS,
  });
  #received: ReceivedCompletion = EMPTY_COMPLETION;
  #keyValues: string | null = null;

  constructor(parts: RequestDependencies, options: CompletionRunOptions) {
    this.#dependencies = parts;
    this.#call = options.call;
    this.#options = options.options;
    this.#arrivedMs = options.arrivedMs;
    const { resume } = options.options;
    if (resume === undefined) return;
    this.#received = { ...resume, finishReason: null };
  }

  async result(): Promise<Result<CompletionAnswer, Failure>> {
    this.#dependencies.budget.deposit(this.#call.class);
    while (true) {
      const slot = await this.#acquire();
      if (!slot.ok) return Err(this.#rejectionAfterAttempts(slot.val));
      const ended = await this.#attempt(slot.val);
      if (ended.outcome === "whole") {
        return Ok(this.#completionAnswer(slot.val));
      }
      const failure = this.#failureUnlessRetried(ended, slot.val);
      if (failure !== undefined) return Err(failure);
      await this.#backOff();
      await this.#exportKeyValues(slot.val);
    }
  }

  #acquire(): Promise<Result<Slot, Failure>> {
    return this.#dependencies.gate.acquire(
      this.#workItem(),
      this.#options.signal,
    );
  }

  async #attempt(slot: Slot): Promise<EngineResult> {
    const { clock, metrics, client } = this.#dependencies;
    const call = this.#call;
    this.#progress.startAttempt();
    metrics.recordDispatch(
      { tenant: call.tenant, class: call.class },
      clock.nowMs() - this.#arrivedMs,
    );
    const { signal, onChunk } = this.#options;
    const engineCall = new EngineCall({
      client,
      clock,
      record: slot.upstream.record,
      call,
      received: this.#received,
      keyValues: this.#keyValues,
      maximumBytes: this.#maximumResponseBytes(),
      onStage: (stage) => this.#progress.recordStage(stage),
      onChunk: (chunk) => onChunk?.(chunk),
      ...(signal === undefined ? {} : { signal }),
    });
    const ended = await engineCall.result();
    const made = ended.received.tokens - this.#received.tokens;
    this.#received = ended.received;
    this.#keyValues = null;
    slot.release({
      result: slotResult(ended),
      totalMs: clock.nowMs() - slot.grantedAtMs,
      firstByteMs: ended.firstByteMs,
      units: Math.max(1, made),
    });
    return ended;
  }

  /** A failure, or undefined if another attempt follows. */
  #failureUnlessRetried(
    ended: EngineResult & { readonly outcome: "failed" },
    slot: Slot,
  ): Failure | undefined {
    const { budget, metrics, decisions, events } = this.#dependencies;
    const { requestId } = this.#call;
    const upstream = slot.upstream.id;
    if (ended.cause === "foreign_answer") {
      metrics.recordForeignResponse(upstream);
      events.emit(REQUEST_EVENTS.foreignResponse, { upstream, requestId });
    }
    decisions.record(requestId, "attempt_failed", {
      upstream,
      cause: ended.cause,
      tokens: this.#received.tokens,
    });
    const verdict = this.#progress.failAttempt(ended.cause, RETRY_DELAY_MS);
    if (verdict.next === "fail") return verdict.failure;
    const isFree = this.#received.tokens > 0 || ended.cause === "not_connected";
    if (isFree || budget.spend(this.#call.class)) return undefined;
    return this.#progress.failureFor(ended.cause, RETRY_DELAY_MS);
  }

  /** What an engine that leaves in good order can hand to the next one. */
  async #exportKeyValues(slot: Slot): Promise<void> {
    const record = slot.upstream.record;
    if (!record.leaving || this.#received.tokens === 0) return;
    this.#keyValues = await EngineCall.exportKeyValues({
      client: this.#dependencies.client,
      clock: this.#dependencies.clock,
      record,
      requestId: this.#call.requestId,
    });
    this.#dependencies.events.emit(REQUEST_EVENTS.streamResumed, {
      requestId: this.#call.requestId,
      from: record.id,
      keyValues: this.#keyValues !== null,
    });
  }

  #backOff(): Promise<void> {
    const { clock, random } = this.#dependencies;
    const longest = RETRY_DELAY_MS * 2 ** this.#progress.attempts;
    return clock.sleep(longest * random.fraction());
  }

  /** A refusal in the queue of a later attempt does not undo what ran before. */
  #rejectionAfterAttempts(refusal: Failure): Failure {
    const ran = this.#progress.ran;
    if (ran === "no" || refusal.ran !== "no") return refusal;
    return fail(refusal.kind, refusal.message, { ...refusal, ran });
  }

  #completionAnswer(slot: Slot): CompletionAnswer {
    const { text, tokens, runs, finishReason } = this.#received;
    return {
      text,
      tokens,
      runs,
      upstream: slot.upstream.id,
      finishReason: finishReason ?? "stop",
    };
  }

  #maximumResponseBytes(): number {
    const bundle = this.#dependencies.board.read("bundle")?.signed.bundle;
    return bundle?.limits.answerBytes ?? DEFAULT_MAXIMUM_RESPONSE_BYTES;
  }

  #workItem(): WorkItem {
    const call = this.#call;
    const promptUnits = call.prompt.length / PROMPT_CHARACTERS_PER_COST_UNIT;
    const isLater = this.#progress.attempts > 0;
    const left = Math.max(1, call.maximumTokens - this.#received.tokens);
    return {
      id: call.requestId,
      tenant: call.tenant,
      class: call.class,
      trainer: call.trainer,
      target: { kind: "model", name: call.model },
      prefixKey: call.prefixKey,
      minimumVersion: call.minimumVersion,
      urgent: call.urgent || isLater,
      avoid: call.avoid,
      admitted: isLater,
      arrivedMs: this.#arrivedMs,
      deadlineMs: call.deadlineMs,
      cost: left + promptUnits,
    };
  }
}

function slotResult(ended: EngineResult): "whole" | "failed" | "cancelled" {
  if (ended.outcome === "whole") return "whole";
  const { cause } = ended;
  return cause === "cancelled" || cause === "deadline" ? "cancelled" : "failed";
}
