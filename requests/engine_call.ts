/**
 * One attempt of a completion at one engine.
 *
 * @module
 */
import { z } from "zod";
import {
  type Bytes,
  type Clock,
  type CompletionCall,
  type CompletionChunk,
  MEBIBYTE,
  type Milliseconds,
  type UpstreamRecord,
} from "#core";
import type { AttemptFailureCause } from "./attempt.ts";
import { EngineStream, type ReceivedCompletion } from "./engine_stream.ts";
import type { UpstreamCaller, UpstreamFailure } from "./upstream_client.ts";

/** Longest time without data on a stream before it is resumed on another engine. */
export const STREAM_STALL_MS: Milliseconds = 15_000;
/** Time limit for an engine to export its key-value cache. */
export const EXPORT_TIMEOUT_MS: Milliseconds = 500;

const exportSchema = z.object({ kv: z.string(), tokens: z.number() });

/** Outcome of an attempt, and the completion received so far over all attempts. */
export type EngineResult =
  | {
    readonly outcome: "whole";
    readonly received: ReceivedCompletion;
    readonly firstByteMs: Milliseconds | null;
  }
  | {
    readonly outcome: "failed";
    readonly cause: AttemptFailureCause;
    readonly received: ReceivedCompletion;
    readonly firstByteMs: Milliseconds | null;
  };

/** Options of `EngineCall`. */
export interface EngineCallOptions {
  readonly client: UpstreamCaller;
  readonly clock: Clock;
  readonly record: UpstreamRecord;
  readonly call: CompletionCall;
  readonly received: ReceivedCompletion;
  /** Key-value cache exported by the previous engine, or null. */
  readonly keyValues: string | null;
  readonly maximumBytes: Bytes;
  readonly onStage: (stage: "sent" | "first_byte" | "whole") => void;
  readonly onChunk: (chunk: CompletionChunk) => void;
  readonly signal?: AbortSignal;
}

/** Options of `EngineCall.exportKeyValues`. */
export interface ExportOptions {
  readonly client: UpstreamCaller;
  readonly clock: Clock;
  readonly record: UpstreamRecord;
  readonly requestId: string;
}

/** Sends one attempt to an engine and reads its stream. */
export class EngineCall {
  readonly #options: EngineCallOptions;
  readonly #stream: EngineStream;
  readonly #abortController = new AbortController();
  #firstByteMs: Milliseconds | null = null;

  constructor(options: EngineCallOptions) {
    this.#options = options;
    this.#stream = new EngineStream({
      requestId: options.call.requestId,
      upstream: options.record.id,
      initial: options.received,
      onChunk: options.onChunk,
    });
  }

  /** Requests an engine's key-value cache of a request; returns null if the engine sends none in time. */
  static async exportKeyValues(options: ExportOptions): Promise<string | null> {
    const response = await options.client.call({
      address: options.record.address,
      method: "POST",
      path: "/v1/kv/export",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ request_id: options.requestId }),
      deadlineMs: options.clock.nowMs() + EXPORT_TIMEOUT_MS,
      maximumBytes: MEBIBYTE,
    });
    if (!response.ok || response.val.status !== 200) return null;
    try {
      const text = new TextDecoder().decode(response.val.body);
      const parsed = exportSchema.safeParse(JSON.parse(text));
      return parsed.success ? parsed.data.kv : null;
    } catch {
      return null;
    }
  }

  /** Runs the attempt and returns its result. */
  async result(): Promise<EngineResult> {
    const { call, client, clock, record, signal } = this.#options;
    const startedMs = clock.nowMs();
    const onAbort = (): void => this.#abortController.abort();
    signal?.addEventListener("abort", onAbort);
    if (signal?.aborted === true) this.#abortController.abort();
    const response = await client.call({
      address: record.address,
      method: "POST",
      path: "/v1/completions",
      headers: {
        "content-type": "application/json",
        "cicadafield-request": call.requestId,
      },
      body: JSON.stringify(this.#requestBody()),
      deadlineMs: call.deadlineMs,
      maximumBytes: this.#options.maximumBytes,
      stallMs: STREAM_STALL_MS,
      reuseConnection: true,
      signal: this.#abortController.signal,
      onStage: (stage) => {
        if (stage === "first_byte") {
          this.#firstByteMs = clock.nowMs() - startedMs;
        }
        if (stage === "sent" || stage === "first_byte") {
          this.#options.onStage(stage);
        }
      },
      onData: (bytes) => this.#receive(bytes),
    });
    signal?.removeEventListener("abort", onAbort);
    if (response.ok) return this.#resultForStatus(response.val.status);
    return this.#resultForFailure(response.val);
  }

  #receive(bytes: Uint8Array): void {
    this.#stream.push(bytes);
    if (this.#stream.errorKind !== undefined) this.#abortController.abort();
  }

  #resultForStatus(status: number): EngineResult {
    if (status !== 200) return this.#failedResult("refused");
    if (this.#stream.errorKind !== undefined) {
      return this.#failedResult(this.#streamFailureCause());
    }
    if (!this.#stream.isComplete) return this.#failedResult("short_answer");
    this.#options.onStage("whole");
    return {
      outcome: "whole",
      received: this.#stream.received,
      firstByteMs: this.#firstByteMs,
    };
  }

  #resultForFailure(failure: UpstreamFailure): EngineResult {
    if (this.#stream.errorKind !== undefined) {
      return this.#failedResult(this.#streamFailureCause());
    }
    return this.#failedResult(failure.cause);
  }

  #streamFailureCause(): AttemptFailureCause {
    return this.#stream.errorKind === "foreign"
      ? "foreign_answer"
      : "short_answer";
  }

  #failedResult(cause: AttemptFailureCause): EngineResult {
    return {
      outcome: "failed",
      cause,
      received: this.#stream.received,
      firstByteMs: this.#firstByteMs,
    };
  }

  #requestBody(): unknown {
    const { call, received, keyValues } = this.#options;
    const resume = received.tokens === 0
      ? {}
      : { resume: { text: received.text, tokens: received.tokens } };
    return {
      request_id: call.requestId,
      model: call.model,
      prompt: call.prompt,
      max_tokens: call.maximumTokens,
      seed: call.seed,
      stream: true,
      ...resume,
      ...(keyValues === null ? {} : { kv: keyValues }),
    };
  }
}
