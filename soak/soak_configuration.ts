/**
 * The configuration of the soak.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Host of all routes. */
export const HOST = "site.example";
/** The plain service. */
export const SERVICE = "cards";
/** The engines of batches. */
export const ENGINE_SERVICE = "models";
/** Their model. */
export const MODEL = "m";
/** The engines of streams. */
export const ADVICE_SERVICE = "advisers";
/** Their model. */
export const ADVICE_MODEL = "advice";
/** Time that a call may take. */
export const CALL_TIMEOUT_MS: Milliseconds = 2_000;
/** Most workers that a call is sent to. */
export const MAXIMUM_ATTEMPTS = 2;

/** Path of the batches whose route is removed in the course of a run. */
export const REMOVED_PREFIX = "/spare/";

/**
 * Returns a configuration. Versions differ in the latency objective and in the names of routes: those of calls are new in
 * each, those of batches and streams are exchanged in each second one. The spare route for batches comes on demand.
 */
export function configurationText(
  version: number,
  options: { readonly hasSpareRoute: boolean },
): string {
  const routes = (["idempotent", "non_idempotent"] as const).map((kind) => ({
    name: `${kind}-${version}`,
    hostname: HOST,
    path_prefix: `/${kind}/`,
    kind,
    timeout_ms: CALL_TIMEOUT_MS,
    target_latency_ms: 400 + version,
    priority: kind === "idempotent" ? 2 : 1,
    service: SERVICE,
    max_attempts: MAXIMUM_ATTEMPTS,
  }));
  const names = version % 2 === 0
    ? { batches: "tuning", streams: "advice" }
    : { batches: "advice", streams: "tuning" };
  const batchesAt = (name: string, prefix: string): unknown => ({
    name,
    hostname: HOST,
    path_prefix: prefix,
    kind: "rollout",
    timeout_ms: 10_000,
    target_latency_ms: 400,
    priority: 1,
    service: ENGINE_SERVICE,
    max_attempts: 3,
    max_queue_s: 60,
    due_ms: 7_500,
    single_version: true,
  });
  const advice = {
    name: names.streams,
    hostname: HOST,
    path_prefix: "/advice/",
    kind: "streaming",
    resumable: true,
    timeout_ms: 10_000,
    target_latency_ms: 400,
    priority: 1,
    service: ADVICE_SERVICE,
    max_attempts: 3,
  };
  const services = [
    { name: SERVICE, max_conns: 100 },
    { name: ENGINE_SERVICE, max_conns: 100, engine: engineOf(MODEL) },
    { name: ADVICE_SERVICE, max_conns: 100, engine: engineOf(ADVICE_MODEL) },
  ];
  const spare = options.hasSpareRoute
    ? [batchesAt("spare", REMOVED_PREFIX)]
    : [];
  const batches = batchesAt(names.batches, "/tuning/");
  const all = [...routes, batches, advice, ...spare];
  return JSON.stringify({ version, routes: all, services });
}

function engineOf(model: string): unknown {
  return { slots: 8, kv_capacity_tokens: 50_000, models: [{ name: model }] };
}
