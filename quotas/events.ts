/**
 * Log events of the quotas.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Log events with codes 2200 to 2299. */
export const QUOTA_EVENTS = {
  permitsIssued: {
    code: 2201,
    level: "info",
    text:
      "permits that this control VM issued for an upstream with a limit, since the last such line",
    action:
      "None; `expired` asks got none in time. If that persists, the service has too little capacity.",
  },
  permitRejected: {
    code: 2202,
    level: "info",
    text: "a call got no permit for any upstream with a limit in time",
    action:
      "Compare `retryAfterMs` with 2201 on the leader of the control log; 2203 says that none replied.",
  },
  permitsUnavailable: {
    code: 2203,
    level: "warn",
    text:
      "no control VM replied to a request for permits; upstreams with a limit get no requests from this VM meanwhile",
    action: "Check the control VMs, and the network to them.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
