/**
 * Finds the route of a request of Node's HTTP server and builds the call for its handler.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import {
  type ByteReservation,
  Err,
  type HttpRequest,
  type HttpResponse,
  type HttpRoute,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import { failureResponse } from "./failure_response.ts";
import { type CheckedRequest, checkRequest } from "./request_check.ts";
import { type RouteMatch, RouteTable } from "./route_table.ts";

/** A matched route with the validated target and headers of the request. */
export type FoundRoute = RouteMatch & CheckedRequest;

/** Finds routes in a list that may change between requests. */
export class RouteFinder {
  readonly #routes: () => readonly HttpRoute[];
  #tableRoutes: readonly HttpRoute[] = [];
  #table = new RouteTable([]);

  constructor(routes: () => readonly HttpRoute[]) {
    this.#routes = routes;
  }

  /** Validates a request and finds its route, or returns the response that rejects the request. */
  find(request: IncomingMessage): Result<FoundRoute, HttpResponse> {
    const checked = checkRequest(request);
    if (checked.err) return Err(failureResponse(checked.val));
    const found = this.#currentTable().find({
      method: request.method ?? "GET",
      path: checked.val.path,
    });
    if (found.ok) return Ok({ ...checked.val, ...found.val });
    const response = failureResponse(found.val.failure);
    if (found.val.allow.length === 0) return Err(response);
    const headers = { ...response.headers, Allow: found.val.allow.join(", ") };
    return Err({ ...response, headers });
  }

  #currentTable(): RouteTable {
    const routes = this.#routes();
    if (routes !== this.#tableRoutes) {
      this.#tableRoutes = routes;
      this.#table = new RouteTable(routes);
    }
    return this.#table;
  }
}

/** Builds the call that is passed to the handler of a route. */
export function buildCall(
  request: IncomingMessage,
  parts: {
    readonly found: FoundRoute;
    readonly body: Uint8Array;
    readonly memory: ByteReservation;
    readonly signal: AbortSignal;
    readonly endsByMs: Milliseconds | undefined;
  },
): HttpRequest {
  const { path, query, headers, parameters } = parts.found;
  return {
    method: request.method ?? "GET",
    path,
    target: request.url ?? path,
    rawHeaders: request.rawHeaders,
    parameters,
    query,
    headers,
    body: parts.body,
    memory: parts.memory,
    signal: parts.signal,
    endsByMs: parts.endsByMs,
  };
}
