/**
 * HTTP route for completions in the common completions format, as one response or as a stream of server-sent
 * events.
 *
 * @module
 */
import { z } from "zod";
import {
  type CompletionCall,
  type CompletionChunk,
  CompletionPort,
  type CompletionResult,
  ERROR_TABLE,
  fail,
  type Failure,
  type HttpRequest,
  type HttpResponse,
  type HttpRoute,
  jsonResponse,
  type Result,
} from "#core";
import { readCallHeaders } from "./call_headers.ts";
import { ChunkQueue } from "./chunk_queue.ts";
import type { RequestDependencies } from "./request_dependencies.ts";

const NOT_READY_RETRY_MS = 1_000;
const PREFIX_KEY_CHARACTERS = 256;
const DEFAULT_MAXIMUM_TOKENS = 16;
const MAXIMUM_TOKENS = 1_048_576;
const UINT32_MAXIMUM = 0xffff_ffff;

const bodySchema = z.object({
  model: z.string().min(1).max(256),
  prompt: z.string(),
  max_tokens: z.number().int().min(1).max(MAXIMUM_TOKENS)
    .default(DEFAULT_MAXIMUM_TOKENS),
  seed: z.number().int().min(0).max(UINT32_MAXIMUM).optional(),
  stream: z.boolean().default(false),
});

interface RouteContext {
  readonly dependencies: RequestDependencies;
  readonly completions: CompletionPort;
}

interface ParsedCall {
  readonly call: CompletionCall;
  readonly isStreaming: boolean;
}

/** Returns the route `POST /v1/completions`. */
export function completionRoute(context: RouteContext): HttpRoute {
  return {
    method: "POST",
    pattern: "/v1/completions",
    name: "completions",
    handle: (call) => handleCompletion(call, context),
  };
}

async function handleCompletion(
  http: HttpRequest,
  context: RouteContext,
): Promise<HttpResponse | Failure> {
  const requestId = context.dependencies.random.identifier();
  const parsedCall = parseCall(http, { ...context, requestId });
  if ("kind" in parsedCall) return { ...parsedCall, requestId };
  if (parsedCall.isStreaming) {
    return await streamCompletion(parsedCall.call, { ...context, http });
  }
  const result = await context.completions.complete(parsedCall.call, {
    signal: http.signal,
  });
  if (!result.ok) return { ...result.val, requestId };
  return jsonResponse(
    200,
    completionBody(parsedCall.call, result.val),
    responseHeaders(requestId),
  );
}

function parseCall(
  http: HttpRequest,
  context: RouteContext & { readonly requestId: string },
): ParsedCall | Failure {
  const { dependencies, requestId } = context;
  const bundle = dependencies.board.read("bundle")?.signed.bundle;
  if (bundle === undefined) {
    return fail("not_ready", "no bundle is active on this VM yet", {
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  }
  const headers = readCallHeaders(http, {
    policy: dependencies.gate.scheduler.policy,
    nowMs: dependencies.clock.nowMs(),
  });
  if (!headers.ok) return headers.val;
  const parsed = bodySchema.safeParse(parseJson(http.body));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const field = issue?.path.join(".") || "body";
    return fail("malformed_request", `${field}: ${issue?.message}`, { field });
  }
  const body = parsed.data;
  if (!bundle.models.some((model) => model.name === body.model)) {
    return fail("unknown_model", `there is no model ${body.model}`);
  }
  const call: CompletionCall = {
    requestId,
    tenant: headers.val.tenant,
    class: headers.val.class,
    trainer: null,
    model: body.model,
    prompt: body.prompt,
    maximumTokens: body.max_tokens,
    seed: body.seed ?? dependencies.random.uint32(),
    prefixKey: body.prompt.slice(0, PREFIX_KEY_CHARACTERS),
    deadlineMs: headers.val.deadlineMs,
    minimumVersion: null,
    urgent: false,
    avoid: [],
  };
  return { call, isStreaming: body.stream };
}

/** Responds once the first chunk has arrived, so that an earlier failure is sent with its own HTTP status. */
async function streamCompletion(
  call: CompletionCall,
  context: RouteContext & { readonly http: HttpRequest },
): Promise<HttpResponse | Failure> {
  const chunks = new ChunkQueue<CompletionChunk>();
  const abort = new AbortController();
  const onAbort = (): void => abort.abort();
  context.http.signal.addEventListener("abort", onAbort);
  const result = context.completions.complete(call, {
    signal: abort.signal,
    onChunk: (chunk) => chunks.push(chunk),
  });
  result.finally(() => {
    context.http.signal.removeEventListener("abort", onAbort);
    chunks.close();
  });
  if (!await chunks.hasFirst()) {
    const outcome = await result;
    if (!outcome.ok) return { ...outcome.val, requestId: call.requestId };
  }
  return {
    status: 200,
    headers: {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      ...responseHeaders(call.requestId),
    },
    body: streamEvents(call, { chunks, result, abort }),
  };
}

/** Yields the events of a stream; on a failure, yields an error event and then aborts the response. */
async function* streamEvents(
  call: CompletionCall,
  stream: {
    readonly chunks: ChunkQueue<CompletionChunk>;
    readonly result: Promise<Result<CompletionResult, Failure>>;
    readonly abort: AbortController;
  },
): AsyncIterable<string> {
  let isDone = false;
  try {
    let tokens = 0;
    for await (const chunk of stream.chunks.values()) {
      tokens += chunk.tokens;
      if (chunk.text === "") continue;
      yield formatEvent(chunkBody(call, { chunk, tokens }));
    }
    const outcome = await stream.result;
    isDone = true;
    if (!outcome.ok) {
      yield `event: error\n${formatEvent(errorBody(outcome.val))}`;
      throw new Error(outcome.val.message);
    }
    yield formatEvent(finalChunkBody(call, outcome.val));
    yield "data: [DONE]\n\n";
  } finally {
    if (!isDone) stream.abort.abort();
  }
}

function formatEvent(body: unknown): string {
  return `data: ${JSON.stringify(body)}\n\n`;
}

function chunkBody(
  call: CompletionCall,
  progress: { readonly chunk: CompletionChunk; readonly tokens: number },
): unknown {
  const { chunk, tokens } = progress;
  return {
    id: call.requestId,
    object: "text_completion",
    model: call.model,
    ...(chunk.version === null ? {} : { model_version: chunk.version }),
    choices: [{ index: 0, text: chunk.text, finish_reason: null }],
    usage: { completion_tokens: tokens },
  };
}

function finalChunkBody(
  call: CompletionCall,
  answer: CompletionResult,
): unknown {
  return {
    id: call.requestId,
    object: "text_completion",
    model: call.model,
    choices: [{ index: 0, text: "", finish_reason: answer.finishReason }],
    usage: { completion_tokens: answer.tokens },
  };
}

function completionBody(
  call: CompletionCall,
  answer: CompletionResult,
): unknown {
  return {
    id: call.requestId,
    object: "text_completion",
    model: call.model,
    model_versions: answer.runs,
    choices: [{
      index: 0,
      text: answer.text,
      finish_reason: answer.finishReason,
    }],
    usage: { completion_tokens: answer.tokens },
  };
}

function errorBody(failure: Failure): unknown {
  const { kind, message, ran, retryAfterMs } = failure;
  return {
    kind,
    message,
    hint: ERROR_TABLE[kind].hint,
    ran,
    ...(retryAfterMs === undefined ? {} : { retry_after_ms: retryAfterMs }),
  };
}

function responseHeaders(requestId: string): Readonly<Record<string, string>> {
  return { "cicadafield-ran": "yes", "cicadafield-request": requestId };
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(bytes));
  } catch {
    return undefined;
  }
}
