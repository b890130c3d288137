/**
 * Matches requests to routes by method and path.
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
  /** Values of the `:name` segments, decoded, and of a last `*name` segment, as sent. */
  readonly parameters: Readonly<Record<string, string>>;
}

/** Method and path to look up. */
export interface RouteQuery {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
}

/** Why no route matched. */
export interface RouteMiss {
  readonly failure: Failure;
  /** Methods allowed for the path; empty if the path is unknown. */
  readonly allow: readonly string[];
}

interface CompiledRoute {
  readonly route: HttpRoute;
  readonly segments: readonly string[];
  /** Name of the last `*name` segment, or null if there is none. */
  readonly wildcardName: string | null;
}

/**
 * An ordered list of routes; the first match wins.
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
    this.#routes = routes.map(compileRoute);
  }

  /** Finds the route for a method and path; fails with `unknown_route`, `method_not_allowed` or `malformed_request`. */
  find(query: RouteQuery): Result<RouteMatch, RouteMiss> {
    const segments = query.path.split("/").slice(1);
    const allow = new Set<string>();
    for (const compiled of this.#routes) {
      const rawParameters = matchSegments(compiled, segments);
      if (rawParameters === undefined) continue;
      if (!acceptsMethod(compiled.route, query.method)) {
        allow.add(compiled.route.method);
        continue;
      }
      const parameters = decodeParameters(rawParameters, compiled.wildcardName);
      if (parameters === undefined) return Err(invalidEscapeMiss(query.path));
      return Ok({ route: compiled.route, parameters });
    }
    if (allow.size === 0) return Err(unknownPathMiss(query.path));
    return Err(wrongMethodMiss(query, [...allow].sort()));
  }
}

function compileRoute(route: HttpRoute): CompiledRoute {
  const segments = route.pattern.split("/").slice(1);
  const lastSegment = segments.at(-1);
  if (lastSegment?.startsWith("*")) {
    return {
      route,
      segments: segments.slice(0, -1),
      wildcardName: lastSegment.slice(1),
    };
  }
  return { route, segments, wildcardName: null };
}

function acceptsMethod(route: HttpRoute, method: string): boolean {
  if (route.method === "ANY" || route.method === method) return true;
  return route.method === "GET" && method === "HEAD";
}

function matchSegments(
  compiled: CompiledRoute,
  segments: readonly string[],
): ReadonlyMap<string, string> | undefined {
  const length = compiled.segments.length;
  if (segments.length < length) return undefined;
  if (compiled.wildcardName === null && segments.length !== length) {
    return undefined;
  }
  const raw = new Map<string, string>();
  for (const [index, expected] of compiled.segments.entries()) {
    const segment = segments[index] ?? "";
    if (!expected.startsWith(":")) {
      if (segment !== expected) return undefined;
      continue;
    }
    if (segment === "") return undefined;
    raw.set(expected.slice(1), segment);
  }
  if (compiled.wildcardName !== null) {
    raw.set(compiled.wildcardName, segments.slice(length).join("/"));
  }
  return raw;
}

function decodeParameters(
  raw: ReadonlyMap<string, string>,
  wildcardName: string | null,
): Readonly<Record<string, string>> | undefined {
  const decoded: Record<string, string> = {};
  for (const [name, value] of raw) {
    if (name === wildcardName) {
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

function invalidEscapeMiss(path: string): RouteMiss {
  const message = `the path ${path} has an invalid percent escape`;
  return {
    failure: fail("malformed_request", message, { field: "path" }),
    allow: [],
  };
}

function unknownPathMiss(path: string): RouteMiss {
  const message = `no route matches ${path}`;
  return { failure: fail("unknown_route", message), allow: [] };
}

function wrongMethodMiss(
  query: RouteQuery,
  allow: readonly string[],
): RouteMiss {
  const message = `${query.path} allows ${
    allow.join(", ")
  }, not ${query.method}`;
  return { failure: fail("method_not_allowed", message), allow };
}
