/**
 * Log events of the scaling of services.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Log events with codes 2400 to 2499. */
export const SCALING_EVENTS = {
  baselineRecorded: {
    code: 2401,
    level: "info",
    text:
      "the upstreams of a service that exist at the start were counted; their number is kept from now on",
    action: "None, if `counts` are the upstreams that should exist.",
  },
  countsChanged: {
    code: 2402,
    level: "warn",
    text:
      "upstreams of a service were lost for good, or appeared without an order; `counts` lists the new numbers",
    action:
      "None; lost ones are replaced, see 2404. If it repeats, look for the reason in the logs of the upstreams.",
  },
  targetChanged: {
    code: 2403,
    level: "info",
    text:
      "the number of upstreams that a service is to have was changed to suit its load",
    action:
      "None. If it rises again and again, compare the speed of the upstreams with the load.",
  },
  orderSent: {
    code: 2404,
    level: "info",
    text:
      "upstreams were ordered; `count` is the number of this kind that is to exist in the zone",
    action:
      "`unavailable`: none; another zone is tried. `unknown`: check the platform's API; the order is repeated.",
  },
  noRoom: {
    code: 2405,
    level: "warn",
    text:
      "a service lacks upstreams, and there is no zone in which some can be ordered now",
    action:
      "Compare `max` of the service with the upstreams that exist, and look for partitioned zones.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
