/**
 * One HTTP exchange of the soak, on a new connection.
 *
 * @module
 */
import { request as startRequest } from "node:http";
import { type Address, hasMarkedEnd, type Milliseconds } from "#core";

const EXCHANGE_TIMEOUT_MS: Milliseconds = 4_000;

/** A request. */
export interface SoakRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Its response; the status is 0 if there was no complete one. */
export interface SoakResponse {
  readonly status: number;
  readonly text: string;
  readonly stamp: string | null;
}

/** Sends a request and returns its response. */
export function exchange(
  to: Address,
  call: SoakRequest,
): Promise<SoakResponse> {
  const none = { status: 0, text: "", stamp: null };
  return new Promise((resolve) => {
    const sent = startRequest({
      host: to.host,
      port: to.port,
      path: call.path,
      method: call.method,
      agent: false,
      headers: call.headers,
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += String(chunk));
      response.on("error", () => resolve(none));
      response.on("end", () => {
        const stamp = response.headers["response-stamp"];
        const isWhole = response.complete &&
          hasMarkedEnd(response, call.method);
        const status = isWhole ? response.statusCode ?? 0 : 0;
        resolve({
          status,
          text,
          stamp: stamp === undefined ? null : String(stamp),
        });
      });
    });
    sent.setTimeout(EXCHANGE_TIMEOUT_MS, () => sent.destroy());
    sent.on("error", () => resolve(none));
    sent.on("close", () => resolve(none));
    sent.end(call.body);
  });
}
