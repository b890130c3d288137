/**
 * Types of the routing configuration, which operators send: the service for each call, and the limits of calls.
 *
 * @module
 */
import type { Bytes, Milliseconds } from "./units.ts";

/**
 * Kind of a route, which decides whether its calls may be retried: `idempotent` calls may run any number of times, `once` calls at
 * most once, `stream` calls at most once unless the route is resumable; `batch` accepts many items, which run
 * later.
 */
export type RouteKind = "idempotent" | "once" | "stream" | "batch";

/** A service with the weight of its share of a route's calls. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route, its matching rule and its limits. */
export interface RouteRule {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum duration of a call, also if the deadline of its caller is later. */
  readonly timeoutMs: Milliseconds;
  /** Latency objective: time within which a response should arrive. */
  readonly objectiveMs: Milliseconds;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly split: readonly WeightedService[];
  /** Maximum number of upstreams that a call is sent to. */
  readonly maximumAttempts: number;
  /** Whether a stream may resume on another upstream. */
  readonly resumable: boolean;
  /** Whether a single model version must generate the complete text. */
  readonly singleVersion: boolean;
  /** Age from which a queued item of a batch may be abandoned; null for no limit. */
  readonly maximumQueueMs: Milliseconds | null;
  /** Time after submission within which all results of a batch are due; null for none. */
  readonly dueMs: Milliseconds | null;
  /** Whether its calls need no API key; absent in configurations without tenants. */
  readonly isPublic?: boolean;
}

/** A tenant and the API keys of its callers. */
export interface TenantRule {
  readonly name: string;
  /** Digests of its keys; see `digestApiKey`. */
  readonly keyDigests: readonly string[];
  /** Takes precedence over the priority of a route; null if the tenant has none. */
  readonly priority: number | null;
}

/** How many upstreams of a service may be ordered, and what they cost. */
export interface ScalingRule {
  /** Fewest upstreams in a zone. */
  readonly minimum: number;
  /** Most upstreams in a zone, spot upstreams included. */
  readonly maximum: number;
  /** Time from an order until a new upstream serves. */
  readonly bootMs: Milliseconds;
  /** Price of a spot upstream as a share of that of others; null if there are none. */
  readonly spotPriceRatio: number | null;
  /** Relative price of an upstream by zone. */
  readonly zonePrices: Readonly<Record<string, number>>;
}

/** Capacity and models of the engines of a service. */
export interface EngineRule {
  /** Number of requests that one engine runs concurrently. */
  readonly slots: number;
  /** Size of the key-value cache of one engine, in tokens. */
  readonly cacheTokens: number;
  readonly models: readonly string[];
}

/** A service and its limits. */
export interface ServiceRule {
  readonly name: string;
  /** Maximum number of connections to one upstream, over all callers. */
  readonly maximumConnections: number;
  /** Rule of its model engines; null for a plain service. */
  readonly engine: EngineRule | null;
  /** Absent if its upstreams can't be ordered. */
  readonly scaling?: ScalingRule;
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
  readonly headerBytes: Bytes;
  readonly bodyBytes: Bytes;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/** One version of the configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  readonly services: readonly ServiceRule[];
  readonly limits: CallerLimits;
  /** Absent if callers need no API keys. */
  readonly tenants?: readonly TenantRule[];
}

/** A parsed configuration with the text that the operator sent. */
export interface StoredConfiguration {
  readonly document: string;
  readonly rules: RoutingConfiguration;
}
