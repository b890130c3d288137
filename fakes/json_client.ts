/**
 * JSON calls by the stand-ins to entry VMs and to the weight store.
 *
 * @module
 */
import { Agent, request } from "node:http";
import type { Milliseconds } from "#core";

/** One call. */
export interface JsonCall {
  readonly method: "GET" | "PUT" | "POST";
  /** Base, such as `http://127.0.1.1:8000`. */
  readonly baseUrl: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs: Milliseconds;
}

/** A whole answer; status 0 if none came. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
  readonly text: string;
}

const NO_RESPONSE: JsonResponse = { status: 0, headers: {}, text: "" };

/** Sends calls over connections that are used again. */
export class JsonClient {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  /** Sends a call; a call without a whole answer gives status 0. */
  send(call: JsonCall): Promise<JsonResponse> {
    const text = call.body === undefined ? "" : JSON.stringify(call.body);
    return new Promise((resolve) => {
      const outgoing = request(new URL(call.path, call.baseUrl), {
        method: call.method,
        agent: this.#agent,
        timeout: call.timeoutMs,
        headers: {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
          ...call.headers,
        },
      }, (response) => {
        const parts: Buffer[] = [];
        response.on("data", (part: Buffer) => parts.push(part));
        response.on("error", () => resolve(NO_RESPONSE));
        response.on("close", () => {
          if (!response.complete) return resolve(NO_RESPONSE);
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            text: Buffer.concat(parts).toString("utf8"),
          });
        });
      });
      outgoing.on("timeout", () => outgoing.destroy());
      outgoing.on("error", () => resolve(NO_RESPONSE));
      outgoing.end(text);
    });
  }

  /** Closes the idle connections. */
  close(): void {
    this.#agent.destroy();
  }
}
