/**
 * Routes for the platform: liveness, readiness and metrics.
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

/** What the probes answer from. */
export interface ProbeRouteOptions {
  /** Why this VM is not ready, or undefined if it is. */
  readonly notReadyReason: () => string | undefined;
  readonly metrics: Metrics;
}

/** Makes the routes. */
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
    {
      method: "GET",
      pattern: "/metrics",
      name: "metrics",
      handle: async () => ({
        status: 200,
        headers: { "content-type": "text/plain; version=0.0.4" },
        body: await options.metrics.render(),
      }),
    },
  ];
}
