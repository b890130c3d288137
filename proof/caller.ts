/**
 * Calls as callers make them: tenants and classes in headers, completions whole or streamed.
 *
 * @module
 */
import type { JsonAnswer } from "#fakes";
import type { ClusterCall, ProcessCluster } from "./process_cluster.ts";

/** Who calls. */
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
  /** Key under which the call runs at most once. */
  readonly key?: string;
}

/** A caller of one tenant. */
export class Caller {
  readonly #cluster: ProcessCluster;
  readonly #options: CallerOptions;

  constructor(cluster: ProcessCluster, options: CallerOptions) {
    this.#cluster = cluster;
    this.#options = options;
  }

  /** Calls a plain service through an entry VM. */
  service(vm: string, call: CallerServiceCall): Promise<JsonAnswer> {
    const key = call.key === undefined ? {} : { "idempotency-key": call.key };
    return this.#cluster.call(vm, {
      method: call.method,
      path: `/services/${call.service}${call.path}`,
      headers: { ...this.#headers(), ...key },
      ...(call.body === undefined ? {} : { body: call.body }),
    });
  }

  /** Asks for a completion through an entry VM. */
  completion(
    vm: string,
    body: Readonly<Record<string, unknown>>,
  ): Promise<JsonAnswer> {
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

/** What a streamed completion held. */
export interface StreamSummary {
  readonly text: string;
  readonly tokens: number;
  readonly versions: readonly number[];
  readonly finishReason: string | null;
  /** Whether the end marker came. */
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
 * Puts the chunks of a stream together.
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
