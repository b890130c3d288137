/**
 * Abstract classes through which the domains call each other. `requests` implements the completion and
 * service ports; `samples` and `weights` use them.
 *
 * @module
 */
import type { Failure } from "./error_kinds.ts";
import type { Result } from "./result.ts";
import type { Milliseconds } from "./units.ts";

/** A stretch of tokens made by one version. */
export interface VersionRun {
  readonly version: number;
  readonly tokens: number;
}

/** A completion to be made. */
export interface CompletionCall {
  /** Identifier on every hop. */
  readonly requestId: string;
  readonly tenant: string;
  readonly class: string;
  /** Trainer for whose share of the engines this counts, or null for callers. */
  readonly trainer: string | null;
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly seed: number;
  /** Requests with equal keys share a prompt prefix. */
  readonly prefixKey: string;
  /** On the monotonic clock of this VM. */
  readonly deadlineMs: Milliseconds;
  /** Lowest version that may make any token, or null without a bound. */
  readonly minimumVersion: number | null;
  /** Goes before other requests of its class and trainer: the tail of a step. */
  readonly urgent: boolean;
  /** Upstreams not to be used, such as the one that runs the twin. */
  readonly avoid: readonly string[];
}

/** Part of an answer. */
export interface CompletionChunk {
  readonly text: string;
  readonly tokens: number;
  /** Version that made it, or null if the engine can't tell. */
  readonly version: number | null;
  readonly upstream: string;
}

/** A whole answer. */
export interface CompletionResult {
  readonly text: string;
  readonly tokens: number;
  /** Versions in the order in which they made tokens, or null if they can't be known. */
  readonly runs: readonly VersionRun[] | null;
  /** Engine that made the last token. */
  readonly upstream: string;
  readonly finishReason: "stop" | "length";
}

/** The beginning of an answer, to be gone on with. */
export interface PartialCompletion {
  readonly text: string;
  readonly tokens: number;
  /** Versions that made the tokens, in order. */
  readonly runs: readonly VersionRun[];
}

/** Optional parts of a completion call. */
export interface CompletionOptions {
  /** Beginning made by an earlier run with the same seed; the whole answer includes it, the chunks don't. */
  readonly resume?: PartialCompletion;
  /** Called for each chunk, in order. */
  readonly onChunk?: (chunk: CompletionChunk) => void;
  /** Ends the call early; the engine is told. */
  readonly signal?: AbortSignal;
}

/** Makes completions on the engines that this entry may use. */
export abstract class CompletionPort {
  /** Queues, dispatches and resumes as the policy says; gives the whole answer or a failure. */
  abstract complete(
    call: CompletionCall,
    options?: CompletionOptions,
  ): Promise<Result<CompletionResult, Failure>>;
}

/** A call to a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly tenant: string;
  readonly class: string;
  readonly service: string;
  readonly method: string;
  /** Path and query below the service's name, starting with a slash. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Whether it may be run again. */
  readonly idempotent: boolean;
  /** Key under which the answer is stored, or null. */
  readonly idempotencyKey: string | null;
  readonly deadlineMs: Milliseconds;
}

/** A whole answer of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly upstream: string;
}

/** Calls plain services. */
export abstract class ServicePort {
  /** Gives the service's whole answer, whatever its status, or a failure. */
  abstract call(call: ServiceCall): Promise<Result<ServiceResponse, Failure>>;
}
