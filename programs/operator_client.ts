/**
 * HTTP client of the operator commands, which tries one entry VM after the other until one responds.
 *
 * @module
 */
import { request as httpRequest } from "node:http";
import {
  type Address,
  Err,
  fail,
  type Failure,
  hasMarkedEnd,
  isFailure,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";

/** A request to an entry VM. It must be idempotent, since it can reach several VMs. */
export interface OperatorRequest {
  readonly method: "GET" | "PUT";
  readonly path: string;
  readonly body?: unknown;
  /** Whether to try the next entry VM also after a `not_found` response. */
  readonly continueOnNotFound?: boolean;
}

/** Sends requests to entry VMs; fails with the error of the VM, or with `outcome_unknown` if none responds. */
export class OperatorClient {
  readonly #entries: readonly Address[];
  readonly #timeoutMs: Milliseconds;

  constructor(entries: readonly Address[], timeoutMs: Milliseconds) {
    this.#entries = entries;
    this.#timeoutMs = timeoutMs;
  }

  /**
   * Sends the request to each entry VM in turn until one responds.
   *
   * @example
   * ```ts
   * const status = await client.send({ method: "GET", path: "/v1/status" });
   * ```
   */
  async send(request: OperatorRequest): Promise<Result<unknown, Failure>> {
    const errors: string[] = [];
    let notFound: Result<unknown, Failure> | undefined;
    for (const entry of this.#entries) {
      const response = await this.#sendTo(entry, request);
      if (response.ok) {
        notFound = response.val;
        if (!shouldTryNext(request, response.val)) return response.val;
        continue;
      }
      errors.push(`${entry.host}:${entry.port}: ${response.val}`);
    }
    if (notFound !== undefined) return notFound;
    return Err(
      fail("outcome_unknown", `no entry VM responded (${errors.join("; ")})`),
    );
  }

  #sendTo(
    entry: Address,
    request: OperatorRequest,
  ): Promise<Result<Result<unknown, Failure>, string>> {
    return new Promise((resolve) => {
      const body = request.body === undefined
        ? undefined
        : JSON.stringify(request.body);
      const outgoing = httpRequest({
        host: entry.host,
        port: entry.port,
        method: request.method,
        path: request.path,
        headers: body === undefined ? {} : {
          "Content-Type": "application/json",
          "Content-Length": Buffer.byteLength(body),
        },
        timeout: this.#timeoutMs,
        agent: false,
      }, (incoming) => {
        const chunks: Uint8Array[] = [];
        incoming.on("data", (chunk: Uint8Array) => chunks.push(chunk));
        incoming.on("error", (error) => resolve(Err(error.message)));
        incoming.on("end", () => {
          if (!hasMarkedEnd(incoming, request.method)) {
            return resolve(Err("the response does not mark its end"));
          }
          const text = Buffer.concat(chunks).toString();
          resolve(parseResponse(incoming.statusCode ?? 0, text));
        });
      });
      outgoing.on(
        "timeout",
        () => outgoing.destroy(new Error("timed out waiting for the response")),
      );
      outgoing.on("error", (error) => resolve(Err(error.message)));
      outgoing.end(body);
    });
  }
}

function shouldTryNext(
  request: OperatorRequest,
  response: Result<unknown, Failure>,
): boolean {
  return request.continueOnNotFound === true && response.err &&
    response.val.kind === "not_found";
}

function parseResponse(
  status: number,
  text: string,
): Result<Result<unknown, Failure>, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Err(`the response with status ${status} is not JSON`);
  }
  if (status >= 200 && status < 300) return Ok(Ok(value));
  if (isFailure(value)) return Ok(Err(value));
  return Err(`the response with status ${status} has no error kind`);
}
