/**
 * A fake model engine with continuous batching that admits every request and has no priorities.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Milliseconds, Timer, UpstreamAnnouncement } from "#core";
import type { FakeLoad } from "./announcer.ts";
import {
  type CompletionRequest,
  parseCompletionRequest,
} from "./completion_request.ts";
import {
  EngineBatch,
  type EnginePerformance,
  type SequenceChunk,
} from "./engine_batch.ts";
import { EngineRecord } from "./engine_record.ts";
import { EngineWeights } from "./engine_weights.ts";
import { FAKES_EVENTS } from "./events.ts";
import { type FakeCall, parseJsonObject, sendJson } from "./fake_server.ts";
import { hashFraction } from "./token_text.ts";
import {
  UPSTREAM_DEFAULTS,
  UpstreamServer,
  type UpstreamServerOptions,
} from "./upstream_server.ts";

/** Options of `FakeEngine`. */
export interface FakeEngineOptions extends UpstreamServerOptions {
  readonly model: string;
  /** Version served after the start. */
  readonly version: number;
  /** Base URL of the weight store, or null to load without a transfer. */
  readonly weightStoreUrl: string | null;
  readonly swapMs: Milliseconds;
  readonly enforcesFences: boolean;
  readonly reportsVersions: boolean;
  readonly performance: Omit<EnginePerformance, "capacity">;
  /** Minimum and maximum natural length of a completion, in tokens. */
  readonly naturalTokens: {
    readonly shortest: number;
    readonly longest: number;
  };
  /** Fraction of the requests that are slow on this engine, 0 to 1. */
  readonly slowFraction: number;
  /** Factor by which a slow request takes longer. */
  readonly slowFactor: number;
  /** Interval between two chunks of a stream. */
  readonly chunkIntervalMs: Milliseconds;
}

/** Default options. */
export const ENGINE_DEFAULTS = {
  ...UPSTREAM_DEFAULTS,
  version: 1,
  weightStoreUrl: null,
  swapMs: 50,
  enforcesFences: true,
  reportsVersions: true,
  performance: {
    tokenMs: 2,
    slowdownAtCapacity: 1,
    prefillTokenMs: 0.1,
    cacheTokens: 8_192,
  },
  naturalTokens: { shortest: 8, longest: 64 },
  slowFraction: 0,
  slowFactor: 20,
  chunkIntervalMs: 10,
} as const satisfies Partial<FakeEngineOptions>;

interface Stream {
  readonly request: CompletionRequest;
  readonly response: ServerResponse;
  sentTokens: number;
}

/** A fake model engine that generates text from its version, the prompt and the seed. */
export class FakeEngine extends UpstreamServer {
  readonly #engineOptions: FakeEngineOptions;
  readonly #batch: EngineBatch;
  readonly #weights: EngineWeights;
  readonly #record = new EngineRecord();
  readonly #streams = new Map<string, Stream>();
  #chunkTimer: Timer | undefined;

  constructor(options: FakeEngineOptions) {
    super(options);
    this.#engineOptions = options;
    this.#batch = new EngineBatch({
      ...options.performance,
      capacity: options.capacity,
    });
    this.#weights = new EngineWeights({
      model: options.model,
      version: options.version,
      enforcesFences: options.enforcesFences,
      weightStoreUrl: options.weightStoreUrl,
      swapMs: options.swapMs,
      clock: options.clock,
      client: this.client,
      onChange: () => this.#handleWeightsChange(),
      onFailure: (order) => {
        this.options.events.emit(FAKES_EVENTS.swapFailed, { ...order });
        this.#abortStreams();
      },
    });
  }

  /** What the engine executed, for comparison with what it reported. */
  get record(): EngineRecord {
    return this.#record;
  }

  /** The served version, the accepted orders and the injected swap faults. */
  get weights(): EngineWeights {
    return this.#weights;
  }

  override currentAnnouncement(): UpstreamAnnouncement {
    const serving = this.#weights.state !== "failed";
    const served = {
      model: this.#engineOptions.model,
      version: this.#weights.version,
    };
    return {
      id: this.options.id,
      incarnation: this.options.incarnation,
      zone: this.options.zone,
      address: this.address,
      role: "engine",
      serves: serving ? [served] : [],
      services: [],
      capacity: this.options.capacity,
      enforcesFences: this.#engineOptions.enforcesFences,
      reportsVersions: this.#engineOptions.reportsVersions,
    };
  }

  protected override measureLoad(): FakeLoad {
    return {
      running: Math.min(this.#batch.running, this.options.capacity),
      waiting: this.#batch.waiting,
      cacheUse: this.#batch.cacheUse,
    };
  }

  protected override handleCall(call: FakeCall): void {
    const route = `${call.method} ${call.path}`;
    if (route === "POST /v1/completions") return this.#receiveCompletion(call);
    if (route === "GET /v1/state") return this.#sendState(call);
    if (route === "POST /v1/orders") return this.#receiveOrder(call);
    if (route === "POST /v1/kv/export") return this.#exportSequenceState(call);
    if (route === "GET /fakes/record") return this.#sendRecord(call);
    if (route === "POST /fakes/faults") return this.#receiveFaults(call);
    sendJson(call.response, 404, { error: "not found" });
  }

  #receiveCompletion(call: FakeCall): void {
    const request = parseCompletionRequest(call.body);
    if (request === undefined) {
      return sendJson(call.response, 400, {
        error: "malformed completion request",
      });
    }
    if (request.model !== this.#engineOptions.model) {
      return sendJson(call.response, 404, { error: "unknown model" });
    }
    if (this.#weights.state === "failed") {
      return sendJson(call.response, 503, { error: "no weights are loaded" });
    }
    if (this.#streams.has(request.request_id)) {
      return sendJson(call.response, 409, {
        error: "a request with this request_id is already running",
      });
    }
    this.#startStream(request, call.response);
  }

  #startStream(request: CompletionRequest, response: ServerResponse): void {
    const id = request.request_id;
    const resumedTokens = request.resume?.tokens ?? 0;
    const natural = this.#naturalTokensOf(request);
    const slow = hashFraction(`${this.options.id}/${id}`) <
      this.#engineOptions.slowFraction;
    this.#advanceBatch();
    this.#batch.add({
      requestId: id,
      source: request,
      totalTokens: Math.min(natural, request.max_tokens),
      finishReason: natural <= request.max_tokens ? "stop" : "length",
      resumedTokens,
      hasState: request.kv !== undefined,
      slowFactor: slow ? this.#engineOptions.slowFactor : 1,
    }, this.options.clock.nowMs());
    this.#record.startExecution(id, resumedTokens);
    this.#streams.set(id, { request, response, sentTokens: resumedTokens });
    response.on("close", () => this.#handleClose(id, response));
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    this.#scheduleNextChunk();
  }

  #naturalTokensOf(request: CompletionRequest): number {
    const { shortest, longest } = this.#engineOptions.naturalTokens;
    const fraction = hashFraction(`${request.seed}/${request.prompt}`);
    return shortest + Math.floor(fraction * (longest - shortest + 1));
  }

  #scheduleNextChunk(): void {
    if (this.#chunkTimer !== undefined) return;
    this.#chunkTimer = this.options.clock.after(
      this.#engineOptions.chunkIntervalMs,
      () => {
        this.#chunkTimer = undefined;
        this.#advanceBatch();
        if (this.#batch.running > 0) this.#scheduleNextChunk();
      },
    );
  }

  #advanceBatch(): void {
    const nowMs = this.options.clock.nowMs();
    for (const chunk of this.#batch.advance(nowMs, this.#weights.version)) {
      this.#sendChunk(chunk);
    }
  }

  #sendChunk(chunk: SequenceChunk): void {
    const stream = this.#streams.get(chunk.requestId);
    if (stream === undefined) return;
    const tokens = chunk.totalTokens - stream.sentTokens;
    stream.sentTokens = chunk.totalTokens;
    this.#record.addTokens(chunk, tokens);
    const version = this.#engineOptions.reportsVersions
      ? { model_version: chunk.version }
      : {};
    const event = {
      id: chunk.requestId,
      object: "text_completion",
      model: this.#engineOptions.model,
      ...version,
      choices: [
        { index: 0, text: chunk.text, finish_reason: chunk.finishReason },
      ],
      usage: { completion_tokens: chunk.totalTokens },
    };
    stream.response.write(`data: ${JSON.stringify(event)}\n\n`);
    if (chunk.finishReason === null) return;
    this.#streams.delete(chunk.requestId);
    this.#record.finishExecution(chunk.requestId, "whole");
    stream.response.end("data: [DONE]\n\n");
  }

  #handleClose(id: string, response: ServerResponse): void {
    if (this.#streams.get(id)?.response !== response) return;
    this.#streams.delete(id);
    this.#batch.remove(id);
    this.#record.finishExecution(id, "cancelled");
  }

  #abortStreams(): void {
    for (const [id, stream] of this.#streams) {
      this.#streams.delete(id);
      this.#batch.remove(id);
      this.#record.finishExecution(id, "cut");
      stream.response.destroy();
    }
  }

  #handleWeightsChange(): void {
    this.#batch.clearPrefixCache();
    void this.announcer.announce();
  }

  #sendState(call: FakeCall): void {
    sendJson(call.response, 200, {
      id: this.options.id,
      incarnation: this.options.incarnation,
      fence: this.#weights.fence,
      models: [{
        model: this.#engineOptions.model,
        version: this.#weights.version,
        state: this.#weights.state,
      }],
      running: this.#batch.running,
      waiting: this.#batch.waiting,
    });
  }

  #receiveOrder(call: FakeCall): void {
    const body = parseJsonObject(call.body) ?? {};
    const order = {
      fence: Number(body["fence"]),
      model: String(body["model"]),
      version: Number(body["version"]),
    };
    const valid = Number.isInteger(order.fence) &&
      Number.isInteger(order.version) &&
      order.model === this.#engineOptions.model;
    if (!valid) {
      return sendJson(call.response, 400, {
        error: "malformed order or unknown model",
      });
    }
    this.#advanceBatch();
    if (!this.#weights.applyOrder(order)) {
      return sendJson(call.response, 409, { fence: this.#weights.fence });
    }
    sendJson(call.response, 200, order);
  }

  #exportSequenceState(call: FakeCall): void {
    const id = String(parseJsonObject(call.body)?.["request_id"]);
    const tokens = this.#batch.tokenCount(id);
    if (tokens === undefined) {
      return sendJson(call.response, 404, {
        error: "no running request has this request_id",
      });
    }
    const kv = Buffer.from(JSON.stringify({ id, tokens })).toString("base64");
    sendJson(call.response, 200, { kv, tokens });
  }

  #sendRecord(call: FakeCall): void {
    sendJson(call.response, 200, {
      totals: this.#record.totals(),
      executions: this.#record.executions(),
      orders: this.#weights.orders(),
    });
  }

  #receiveFaults(call: FakeCall): void {
    const failSwaps = parseJsonObject(call.body)?.["failSwaps"];
    if (typeof failSwaps === "number") this.#weights.failNextSwaps(failSwaps);
    sendJson(call.response, 200, {});
  }
}
