/**
 * Looks up the route of a call in the routing configuration.
 *
 * @module
 */
import type {
  RandomSource,
  RouteRule,
  RoutingConfiguration,
  WeightedService,
} from "#core";

/** Indexes the routes of a configuration by host, longest path prefix first. */
export class RouteRules {
  /** Version of the configuration. */
  readonly version: number;
  /** Whether a route serves calls without an API key. */
  readonly hasPublicRoute: boolean;
  readonly #byHost = new Map<string, RouteRule[]>();

  constructor(configuration: RoutingConfiguration) {
    this.version = configuration.version;
    this.hasPublicRoute = configuration.routes.some((route) =>
      route.isPublic === true
    );
    for (const route of configuration.routes) {
      const routes = this.#byHost.get(route.host) ?? [];
      routes.push(route);
      this.#byHost.set(route.host, routes);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** Returns the route with the longest path prefix that matches. */
  find(host: string, path: string): RouteRule | undefined {
    const routes = this.#byHost.get(withoutPort(host)) ?? [];
    return routes.find((route) => path.startsWith(route.pathPrefix));
  }
}

/** Keeps the index of a configuration until there is another one. */
export class CachedRouteRules {
  #configuration: RoutingConfiguration | null = null;
  #rules: RouteRules | null = null;

  /** Returns the index of a configuration, or null without one. */
  of(configuration: RoutingConfiguration | null): RouteRules | null {
    if (this.#configuration !== configuration) {
      this.#configuration = configuration;
      this.#rules = configuration === null
        ? null
        : new RouteRules(configuration);
    }
    return this.#rules;
  }
}

/** Returns a random service of a route's traffic split, by weight; undefined if all weights are 0. */
export function pickService(
  split: readonly WeightedService[],
  random: RandomSource,
): string | undefined {
  let total = 0;
  for (const { weight } of split) total += weight;
  let drawn = random.fraction() * total;
  for (const { service, weight } of split) {
    if (weight <= 0) continue;
    drawn -= weight;
    if (drawn < 0) return service;
  }
  return split.findLast((each) => each.weight > 0)?.service;
}

/** Returns the service with the greatest weight, or undefined if all weights are 0. */
export function heaviestService(
  split: readonly WeightedService[],
): string | undefined {
  let best: WeightedService | undefined;
  for (const each of split) {
    if (each.weight > (best?.weight ?? 0)) best = each;
  }
  return best?.service;
}

function withoutPort(host: string): string {
  const colon = host.indexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
