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
import type { AttemptCause } from "./attempt.ts";
import { EngineStream, type ReceivedAnswer } from "./engine_stream.ts";
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
    readonly received: ReceivedAnswer;
    readonly firstByteMs: Milliseconds | null;
  }
  | {
    readonly outcome: "failed";
    readonly cause: AttemptCause;
    readonly received: ReceivedAnswer;
    readonly firstByteMs: Milliseconds | null;
  };

/** What an attempt is made from. */
export interface EngineCallOptions {
  readonly client: UpstreamCaller;
  readonly clock: Clock;
  readonly record: UpstreamRecord;
  readonly call: CompletionCall;
  readonly received: ReceivedAnswer;
  /** Keys and values exported by the engine before, or null. */
  readonly keyValues: string | null;
  readonly maximumBytes: Bytes;
  readonly onReach: (stage: "sent" | "first_byte" | "whole") => void;
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
  readonly #abort = new AbortController();
  #firstByteMs: Milliseconds | null = null;

  constructor(options: EngineCallOptions) {
    this.#options = options;
    this.#stream = new EngineStream({
      requestId: options.call.requestId,
      upstream: options.record.id,
      before: options.received,
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
    const onAbort = (): void => this.#abort.abort();
    signal?.addEventListener("abort", onAbort);
    if (signal?.aborted === true) this.#abort.abort();
    const answer = await client.call({
      address: record.address,
      method: "POST",
      path: "/v1/completions",
      headers: {
        "content-type": "application/json",
        "cicadafield-request": call.requestId,
      },
      body: JSON.stringify(this.#body()),
      deadlineMs: call.deadlineMs,
      maximumBytes: this.#options.maximumBytes,
      stallMs: STREAM_STALL_MS,
      reuseConnection: true,
      signal: this.#abort.signal,
      onStage: (reach) => {
        if (reach === "first_byte") {
          this.#firstByteMs = clock.nowMs() - startedMs;
        }
        if (reach === "sent" || reach === "first_byte") {
          this.#options.onReach(reach);
        }
      },
      onData: (bytes) => this.#take(bytes),
    });
    signal?.removeEventListener("abort", onAbort);
    if (answer.ok) return this.#ended(answer.val.status);
    return this.#broken(answer.val);
  }

  #take(bytes: Uint8Array): void {
    this.#stream.push(bytes);
    if (this.#stream.fault !== undefined) this.#abort.abort();
  }

  #ended(status: number): EngineResult {
    if (status !== 200) return this.#failed("refused");
    if (this.#stream.fault !== undefined) return this.#failed(this.#fault());
    if (!this.#stream.whole) return this.#failed("short_answer");
    this.#options.onReach("whole");
    return {
      outcome: "whole",
      received: this.#stream.received,
      firstByteMs: this.#firstByteMs,
    };
  }

  #broken(failure: UpstreamFailure): EngineResult {
    if (this.#stream.fault !== undefined) return this.#failed(this.#fault());
    return this.#failed(failure.cause);
  }

  #fault(): AttemptCause {
    return this.#stream.fault === "foreign" ? "foreign_answer" : "short_answer";
  }

  #failed(cause: AttemptCause): EngineResult {
    return {
      outcome: "failed",
      cause,
      received: this.#stream.received,
      firstByteMs: this.#firstByteMs,
    };
  }

  #body(): unknown {
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
