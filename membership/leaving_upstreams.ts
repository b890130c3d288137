/**
 * Upstreams that told this VM in a response that they are leaving. This VM sends them nothing more from then on,
 * whether or not it reaches a control VM, until a later incarnation takes their place.
 *
 * @module
 */
import { type EventLog, type FleetUpstream, incarnationOf } from "#core";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import type { UpstreamIncarnation } from "./fleet_messages.ts";

/** Stores which incarnations are leaving. */
export class LeavingUpstreams {
  readonly #events: EventLog;
  readonly #byIncarnation = new Map<string, FleetUpstream>();

  constructor(events: EventLog) {
    this.#events = events;
  }

  /** Records that an upstream is leaving; returns whether that is news. */
  record(upstream: FleetUpstream): boolean {
    const incarnation = incarnationOf(upstream);
    if (this.#byIncarnation.has(incarnation)) return false;
    this.#byIncarnation.set(incarnation, upstream);
    this.#events.emit(MEMBERSHIP_EVENTS.departureNoticed, {
      upstream: upstream.id,
      service: upstream.service,
    });
    return true;
  }

  /** Returns the upstream, as draining if it is leaving. */
  mark(upstream: FleetUpstream): FleetUpstream {
    if (upstream.phase !== "ready" || this.#byIncarnation.size === 0) {
      return upstream;
    }
    const leaves = this.#byIncarnation.has(incarnationOf(upstream));
    return leaves ? { ...upstream, phase: "draining" } : upstream;
  }

  /** Returns the leaving ones of these upstreams that still count as ready. */
  unknownTo(
    upstreams: Iterable<FleetUpstream>,
  ): readonly UpstreamIncarnation[] {
    const unknown: UpstreamIncarnation[] = [];
    if (this.#byIncarnation.size === 0) return unknown;
    for (const upstream of upstreams) {
      if (this.mark(upstream) === upstream) continue;
      unknown.push({ id: upstream.id, bornMs: upstream.bornMs });
    }
    return unknown;
  }

  /** Forgets incarnations that are not among these upstreams. */
  retainOnly(upstreams: Iterable<FleetUpstream>): void {
    if (this.#byIncarnation.size === 0) return;
    const present = new Set<string>();
    for (const upstream of upstreams) present.add(incarnationOf(upstream));
    for (const incarnation of this.#byIncarnation.keys()) {
      if (!present.has(incarnation)) this.#byIncarnation.delete(incarnation);
    }
  }
}
