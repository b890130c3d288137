/**
 * Finds the route of a request by method and path.
 *
 * @module
 */
import {
  Err,
  fail,
  type Failure,
  type HttpRoute,
  Ok,
  type Result,
} from "#core";

/** A route that matches a request. */
export interface RouteMatch {
  readonly route: HttpRoute;
  /** Decoded `:name` parts; a last `*name` part stays as it was sent. */
  readonly parameters: Readonly<Record<string, string>>;
}

/** What is looked for. */
export interface RouteQuery {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
}

/** Why no route was found. */
export interface RouteMiss {
  readonly failure: Failure;
  /** Methods that the path has; empty if the path is unknown. */
  readonly allow: readonly string[];
}

interface CompiledRoute {
  readonly route: HttpRoute;
  readonly parts: readonly string[];
  /** Name of the last `*name` part, or null without one. */
  readonly rest: string | null;
}

/**
 * Routes in the order in which they are tried: the first match wins.
 *
 * @example
 * ```ts
 * const table = new RouteTable(routes);
 * const found = table.find({ method: "GET", path: "/healthz" });
 * ```
 */
export class RouteTable {
  readonly #routes: readonly CompiledRoute[];

  constructor(routes: readonly HttpRoute[]) {
    this.#routes = routes.map(compile);
  }

  /** Finds the route; fails with `unknown_route`, `method_not_allowed` or `malformed_request`. */
  find(query: RouteQuery): Result<RouteMatch, RouteMiss> {
    const parts = query.path.split("/").slice(1);
    const allow = new Set<string>();
    for (const compiled of this.#routes) {
      const raw = matchParts(compiled, parts);
      if (raw === undefined) continue;
      if (!takesMethod(compiled.route, query.method)) {
        allow.add(compiled.route.method);
        continue;
      }
      const parameters = decode(raw, compiled.rest);
      if (parameters === undefined) return Err(badEscape(query.path));
      return Ok({ route: compiled.route, parameters });
    }
    if (allow.size === 0) return Err(unknownPath(query.path));
    return Err(wrongMethod(query, [...allow].sort()));
  }
}

function compile(route: HttpRoute): CompiledRoute {
  const parts = route.pattern.split("/").slice(1);
  const last = parts.at(-1);
  if (last?.startsWith("*")) {
    return { route, parts: parts.slice(0, -1), rest: last.slice(1) };
  }
  return { route, parts, rest: null };
}

function takesMethod(route: HttpRoute, method: string): boolean {
  if (route.method === "ANY" || route.method === method) return true;
  return route.method === "GET" && method === "HEAD";
}

function matchParts(
  compiled: CompiledRoute,
  parts: readonly string[],
): ReadonlyMap<string, string> | undefined {
  const length = compiled.parts.length;
  if (parts.length < length) return undefined;
  if (compiled.rest === null && parts.length !== length) return undefined;
  const raw = new Map<string, string>();
  for (const [index, expected] of compiled.parts.entries()) {
    const part = parts[index] ?? "";
    if (!expected.startsWith(":")) {
      if (part !== expected) return undefined;
      continue;
    }
    if (part === "") return undefined;
    raw.set(expected.slice(1), part);
  }
  if (compiled.rest !== null) {
    raw.set(compiled.rest, parts.slice(length).join("/"));
  }
  return raw;
}

function decode(
  raw: ReadonlyMap<string, string>,
  rest: string | null,
): Readonly<Record<string, string>> | undefined {
  const decoded: Record<string, string> = {};
  for (const [name, value] of raw) {
    if (name === rest) {
      decoded[name] = value;
      continue;
    }
    try {
      decoded[name] = decodeURIComponent(value);
    } catch {
      return undefined;
    }
  }
  return decoded;
}

function badEscape(path: string): RouteMiss {
  const message = `the path ${path} has a bad percent escape`;
  return {
    failure: fail("malformed_request", message, { field: "path" }),
    allow: [],
  };
}

function unknownPath(path: string): RouteMiss {
  const message = `there is no route ${path}`;
  return { failure: fail("unknown_route", message), allow: [] };
}

function wrongMethod(query: RouteQuery, allow: readonly string[]): RouteMiss {
  const message = `${query.path} takes ${
    allow.join(", ")
  }, not ${query.method}`;
  return { failure: fail("method_not_allowed", message), allow };
}
