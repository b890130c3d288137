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

/** Most time without a chunk of a stream before it goes on elsewhere. */
export const STREAM_STALL_MS: Milliseconds = 15_000;
/** Most time that an engine has to hand over its cached keys and values. */
export const EXPORT_TIMEOUT_MS: Milliseconds = 500;

const exportSchema = z.object({ kv: z.string(), tokens: z.number() });

/** How an attempt ended, and all that has been received so far. */
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

/** What an attempt is made from. */
export interface EngineCallOptions {
  readonly client: UpstreamCaller;
  readonly clock: Clock;
  readonly record: UpstreamRecord;
  readonly call: CompletionCall;
  readonly received: ReceivedCompletion;
  /** Keys and values exported by the engine before, or null. */
  readonly keyValues: string | null;
  readonly maximumBytes: Bytes;
  readonly onStage: (stage: "sent" | "first_byte" | "whole") => void;
  readonly onChunk: (chunk: CompletionChunk) => void;
  readonly signal?: AbortSignal;
}

/** What an export is made from. */
export interface ExportOptions {
  readonly client: UpstreamCaller;
  readonly clock: Clock;
  readonly record: UpstreamRecord;
  readonly requestId: string;
}

/** One attempt. */
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

  /** Asks an engine for its cached keys and values of a request; null if it gives none in time. */
  static async exportKeyValues(options: ExportOptions): Promise<string | null> {
    const answer = await options.client.call({
      address: options.record.address,
      method: "POST",
      path: "/v1/kv/export",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ request_id: options.requestId }),
      deadlineMs: options.clock.nowMs() + EXPORT_TIMEOUT_MS,
      maximumBytes: MEBIBYTE,
    });
    if (!answer.ok || answer.val.status !== 200) return null;
    try {
      const text = new TextDecoder().decode(answer.val.body);
      const parsed = exportSchema.safeParse(JSON.parse(text));
      return parsed.success ? parsed.data.kv : null;
    } catch {
      return null;
    }
  }

  /** Runs the attempt to its end. */
  async result(): Promise<EngineResult> {
    const { call, client, clock, record, signal } = this.#options;
    const startedMs = clock.nowMs();
    const onAbort = (): void => this.#abortController.abort();
    signal?.addEventListener("abort", onAbort);
    if (signal?.aborted === true) this.#abortController.abort();
    const answer = await client.call({
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
      onStage: (reach) => {
        if (reach === "first_byte") {
          this.#firstByteMs = clock.nowMs() - startedMs;
        }
        if (reach === "sent" || reach === "first_byte") {
          this.#options.onStage(reach);
        }
      },
      onData: (bytes) => this.#receive(bytes),
    });
    signal?.removeEventListener("abort", onAbort);
    if (answer.ok) return this.#resultForStatus(answer.val.status);
    return this.#resultForFailure(answer.val);
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
