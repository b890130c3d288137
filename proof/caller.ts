/**
 * A test caller, which sends its tenant and class in headers and reads complete or streamed completions.
 *
 * @module
 */
import type { JsonResponse } from "#fakes";
import type { ClusterCall, ProcessCluster } from "./process_cluster.ts";

/** Tenant and class of a caller. */
export interface CallerOptions {
  readonly tenant: string;
  readonly class: string;
}

/** A call to a plain service. */
export interface CallerServiceCall {
  readonly method: ClusterCall["method"];
  readonly service: string;
  /** Path below the service, starting with a slash. */
  readonly path: string;
  readonly body?: unknown;
  /** Idempotency key, under which the call runs at most once. */
  readonly key?: string;
}

/** Sends calls of one tenant and class to the entry VMs of a cluster. */
export class Caller {
  readonly #cluster: ProcessCluster;
  readonly #options: CallerOptions;

  constructor(cluster: ProcessCluster, options: CallerOptions) {
    this.#cluster = cluster;
    this.#options = options;
  }

  /** Calls a plain service through an entry VM. */
  service(vm: string, call: CallerServiceCall): Promise<JsonResponse> {
    const key = call.key === undefined ? {} : { "idempotency-key": call.key };
    return this.#cluster.call(vm, {
      method: call.method,
      path: `/services/${call.service}${call.path}`,
      headers: { ...this.#headers(), ...key },
      ...(call.body === undefined ? {} : { body: call.body }),
    });
  }

  /** Requests a completion through an entry VM. */
  completion(
    vm: string,
    body: Readonly<Record<string, unknown>>,
  ): Promise<JsonResponse> {
    return this.#cluster.call(vm, {
      method: "POST",
      path: "/v1/completions",
      headers: this.#headers(),
      body,
    });
  }

  #headers(): Readonly<Record<string, string>> {
    return {
      "cicadafield-tenant": this.#options.tenant,
      "cicadafield-class": this.#options.class,
    };
  }
}

/** Content of a streamed completion. */
export interface StreamSummary {
  readonly text: string;
  readonly tokens: number;
  readonly versions: readonly number[];
  readonly finishReason: string | null;
  /** Whether the stream ends with the end marker. */
  readonly isComplete: boolean;
}

interface StreamEvent {
  readonly model_version?: number;
  readonly choices: readonly {
    readonly text: string;
    readonly finish_reason: string | null;
  }[];
  readonly usage: { readonly completion_tokens: number };
}

/**
 * Combines the events of a streamed completion.
 *
 * @example
 * ```ts
 * streamSummary('data: {"choices":[{"index":0,"text":" a","finish_reason":"stop"}],"usage":{"completion_tokens":1}}\n\ndata: [DONE]\n\n');
 * ```
 */
export function streamSummary(stream: string): StreamSummary {
  const events = stream.split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice("data: ".length)) as StreamEvent);
  const versions = new Set<number>();
  let text = "";
  for (const event of events) {
    text += event.choices[0]?.text ?? "";
    if (event.model_version !== undefined) versions.add(event.model_version);
  }
  const last = events.at(-1);
  return {
    text,
    tokens: last?.usage.completion_tokens ?? 0,
    versions: [...versions],
    finishReason: last?.choices[0]?.finish_reason ?? null,
    isComplete: stream.endsWith("data: [DONE]\n\n"),
  };
}
