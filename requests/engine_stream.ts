/**
 * Parses the event stream of an engine and verifies that it is complete and belongs to its request.
 *
 * @module
 */
import { StringDecoder } from "node:string_decoder";
import { z } from "zod";
import type { CompletionChunk, VersionRun } from "#core";

const chunkSchema = z.object({
  id: z.string(),
  model_version: z.number().int().nonnegative().optional(),
  choices: z.array(z.object({
    text: z.string(),
    finish_reason: z.enum(["stop", "length"]).nullable(),
  })).min(1),
  usage: z.object({ completion_tokens: z.number().int().nonnegative() }),
});

const DATA_PREFIX = "data:";
const END_MARKER = "[DONE]";

/** Why a stream is invalid: `foreign` if it names another request. */
export type StreamErrorKind = "foreign" | "malformed";

/** The part of a completion received so far, over all engines that generated it. */
export interface ReceivedCompletion {
  readonly text: string;
  readonly tokens: number;
  readonly runs: readonly VersionRun[] | null;
  readonly finishReason: "stop" | "length" | null;
}

/** Initial state: nothing has been received. */
export const EMPTY_COMPLETION: ReceivedCompletion = {
  text: "",
  tokens: 0,
  runs: [],
  finishReason: null,
};

/** Options of `EngineStream`. */
export interface EngineStreamOptions {
  readonly requestId: string;
  readonly upstream: string;
  /** The part of the completion received from earlier engines. */
  readonly initial: ReceivedCompletion;
  readonly onChunk: (chunk: CompletionChunk) => void;
}

/** Incremental parser of one engine's stream. */
export class EngineStream {
  readonly #options: EngineStreamOptions;
  readonly #decoder = new StringDecoder("utf8");
  #partialLine = "";
  #received: ReceivedCompletion;
  #hasEndMarker = false;
  #errorKind: StreamErrorKind | undefined;

  constructor(options: EngineStreamOptions) {
    this.#options = options;
    this.#received = options.initial;
  }

  /** The completion received so far, including the part of earlier engines. */
  get received(): ReceivedCompletion {
    return this.#received;
  }

  /** Whether the last chunk and the end marker have been received. */
  get isComplete(): boolean {
    return this.#hasEndMarker && this.#errorKind === undefined &&
      this.#received.finishReason !== null;
  }

  /** The first error of the stream, if any; data after it is ignored. */
  get errorKind(): StreamErrorKind | undefined {
    return this.#errorKind;
  }

  /** Parses the next bytes. */
  push(bytes: Uint8Array): void {
    this.#partialLine += this.#decoder.write(bytes as never);
    let end = this.#partialLine.indexOf("\n");
    while (end >= 0 && this.#errorKind === undefined) {
      this.#parseLine(this.#partialLine.slice(0, end).trim());
      this.#partialLine = this.#partialLine.slice(end + 1);
      end = this.#partialLine.indexOf("\n");
    }
  }

  #parseLine(line: string): void {
    if (!line.startsWith(DATA_PREFIX)) return;
    const data = line.slice(DATA_PREFIX.length).trim();
    if (data === END_MARKER) {
      this.#hasEndMarker = true;
      return;
    }
    if (this.#hasEndMarker || this.#received.finishReason !== null) {
      this.#errorKind = "malformed";
      return;
    }
    const parsed = chunkSchema.safeParse(parseJson(data));
    if (!parsed.success) {
      this.#errorKind = "malformed";
      return;
    }
    if (parsed.data.id !== this.#options.requestId) {
      this.#errorKind = "foreign";
      return;
    }
    this.#appendChunk(parsed.data);
  }

  #appendChunk(data: z.infer<typeof chunkSchema>): void {
    const tokens = data.usage.completion_tokens - this.#received.tokens;
    const choice = data.choices[0];
    if (tokens < 0 || choice === undefined) {
      this.#errorKind = "malformed";
      return;
    }
    const version = data.model_version ?? null;
    this.#received = {
      text: this.#received.text + choice.text,
      tokens: data.usage.completion_tokens,
      runs: extendRuns(this.#received.runs, { version, tokens }),
      finishReason: choice.finish_reason,
    };
    this.#options.onChunk({
      text: choice.text,
      tokens,
      version,
      upstream: this.#options.upstream,
    });
  }
}

/** Adds tokens to the runs of versions; returns null once the version of any token is unknown. */
function extendRuns(
  runs: readonly VersionRun[] | null,
  generated: { readonly version: number | null; readonly tokens: number },
): readonly VersionRun[] | null {
  if (generated.tokens === 0) return runs;
  if (runs === null || generated.version === null) return null;
  const last = runs.at(-1);
  if (last?.version !== generated.version) {
    return [...runs, { version: generated.version, tokens: generated.tokens }];
  }
  const extended = {
    version: last.version,
    tokens: last.tokens + generated.tokens,
  };
  return [...runs.slice(0, -1), extended];
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
