/**
 * Finds the route of a request as Node received it, and builds the call that the route is given.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import {
  Err,
  type HttpRequest,
  type HttpResponse,
  type HttpRoute,
  Ok,
  type Result,
} from "#core";
import { failureResponse } from "./failure_response.ts";
import { type CheckedRequest, checkRequest } from "./request_check.ts";
import { type RouteMatch, RouteTable } from "./route_table.ts";

/** The route of a request with the checked parts of the request. */
export type FoundRoute = RouteMatch & CheckedRequest;

/** Finds routes in a list that can change from request to request. */
export class RouteFinder {
  readonly #routes: () => readonly HttpRoute[];
  #tableRoutes: readonly HttpRoute[] = [];
  #table = new RouteTable([]);

  constructor(routes: () => readonly HttpRoute[]) {
    this.#routes = routes;
  }

  /** Checks a request and finds its route, or gives the answer that refuses it. */
  find(request: IncomingMessage): Result<FoundRoute, HttpResponse> {
    const checked = checkRequest(request);
    if (checked.err) return Err(failureResponse(checked.val));
    const found = this.#currentTable().find({
      method: request.method ?? "GET",
      path: checked.val.path,
    });
    if (found.ok) return Ok({ ...checked.val, ...found.val });
    const answer = failureResponse(found.val.failure);
    if (found.val.allow.length === 0) return Err(answer);
    const headers = { ...answer.headers, Allow: found.val.allow.join(", ") };
    return Err({ ...answer, headers });
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

/** Builds the call that a route is given. */
export function buildCall(
  request: IncomingMessage,
  parts: {
    readonly found: FoundRoute;
    readonly body: Uint8Array;
    readonly signal: AbortSignal;
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
    signal: parts.signal,
  };
}
