/**
 * The routing configuration that operators send: which calls go to which service, and their limits.
 *
 * @module
 */
import type { Bytes, Milliseconds } from "./units.ts";

/**
 * What may be repeated: `idempotent` calls run any number of times, `once` at most once, `stream` at most
 * once unless the route is resumable; `batch` takes many items that are run later.
 */
export type RouteKind = "idempotent" | "once" | "stream" | "batch";

/** A service with its share of a route's calls. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** One route. */
export interface RouteRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time a call may be kept waiting. */
  readonly timeoutMs: Milliseconds;
  /** Time within which an answer is wanted. */
  readonly objectiveMs: Milliseconds;
  /** 0 goes first. */
  readonly priority: number;
  readonly split: readonly WeightedService[];
  /** Most upstreams that one call may be sent to. */
  readonly maximumAttempts: number;
  /** Whether a stream may go on at another upstream. */
  readonly resumable: boolean;
  /** Whether one version must make the whole of a text. */
  readonly singleVersion: boolean;
  /** Age at which an item of a batch may be given up, or null without a limit. */
  readonly maximumQueueMs: Milliseconds | null;
  /** Time from submission until every result of a batch is wanted, or null. */
  readonly dueMs: Milliseconds | null;
}

/** What the model engines of a service hold. */
export interface EngineRule {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  /** Tokens that fit into the memory of one engine. */
  readonly cacheTokens: number;
  readonly models: readonly string[];
}

/** One service. */
export interface ServiceRule {
  readonly name: string;
  /** Connections that one upstream takes from all callers together. */
  readonly maximumConnections: number;
  /** Null for plain services. */
  readonly engine: EngineRule | null;
}

/** What callers may send. */
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
}

/** A configuration with the text that the operator sent. */
export interface StoredConfiguration {
  readonly document: string;
  readonly rules: RoutingConfiguration;
}
