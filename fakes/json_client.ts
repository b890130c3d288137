/**
 * An HTTP client for the JSON calls of the fakes to entry VMs and the weight store.
 *
 * @module
 */
import { Agent, request } from "node:http";
import { hasMarkedEnd, type Milliseconds } from "#core";

/** An HTTP request with a JSON body. */
export interface JsonCall {
  readonly method: "GET" | "PUT" | "POST";
  /** Base URL, such as `http://127.0.1.1:8000`. */
  readonly baseUrl: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs: Milliseconds;
}

/** A complete response; status 0 if none was received. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
  readonly text: string;
}

const NO_RESPONSE: JsonResponse = { status: 0, headers: {}, text: "" };

/** Sends calls over persistent connections. */
export class JsonClient {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  /** Sends a call; resolves with status 0 if no complete response is received. */
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
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", () => resolve(NO_RESPONSE));
        response.on("close", () => {
          const isWhole = response.complete &&
            hasMarkedEnd(response, call.method);
          if (!isWhole) return resolve(NO_RESPONSE);
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            text: Buffer.concat(chunks).toString("utf8"),
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
