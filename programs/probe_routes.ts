/**
 * Routes for liveness and readiness probes and for metrics.
 *
 * @module
 */
import {
  fail,
  type HttpRoute,
  jsonResponse,
  type Metrics,
  type Milliseconds,
} from "#core";

const RETRY_AFTER_MS: Milliseconds = 1_000;

/** Options of `probeRoutes`. */
export interface ProbeRouteOptions {
  /** Returns the reason why this VM is not ready, or undefined if it is ready. */
  readonly notReadyReason: () => string | undefined;
  readonly metrics: Metrics;
}

/** Returns the probe and metrics routes. */
export function probeRoutes(options: ProbeRouteOptions): readonly HttpRoute[] {
  return [
    {
      method: "GET",
      pattern: "/healthz",
      name: "healthz",
      handle: () => Promise.resolve(jsonResponse(200, { alive: true })),
    },
    {
      method: "GET",
      pattern: "/readyz",
      name: "readyz",
      handle: () => {
        const reason = options.notReadyReason();
        return Promise.resolve(
          reason === undefined
            ? jsonResponse(200, { ready: true })
            : fail("not_ready", reason, { retryAfterMs: RETRY_AFTER_MS }),
        );
      },
    },
    metricsRoute(options.metrics),
  ];
}

/** Returns the metrics route. */
export function metricsRoute(metrics: Metrics): HttpRoute {
  return {
    method: "GET",
    pattern: "/metrics",
    name: "metrics",
    handle: async () => ({
      status: 200,
      headers: { "content-type": "text/plain; version=0.0.4" },
      body: await metrics.render(),
    }),
  };
}
