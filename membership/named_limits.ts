/**
 * The requests per second that upstreams accept from all VMs together, as this VM read them in responses or learned them
 * from a control VM. A limit belongs to one incarnation of an upstream and holds until a later response names another
 * one or none.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
} from "#core";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import type { LimitObservation } from "./fleet_messages.ts";

/** Time that a report needs to reach all VMs; until then, what this VM read itself is newer than what others say. */
const REPORT_TRAVEL_MS: Milliseconds = 500;

interface NamedLimit {
  perSecond: number | null;
  /** When a response last named it, on this VM's clock. */
  observedMs: Milliseconds;
}

/** Options of `NamedLimits`. */
export interface NamedLimitsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Stores the newest limit of each incarnation. */
export class NamedLimits {
  readonly #options: NamedLimitsOptions;
  readonly #byIncarnation = new Map<string, NamedLimit>();

  constructor(options: NamedLimitsOptions) {
    this.#options = options;
  }

  /** Records what a response named, null for no limit; returns whether that is news. */
  observe(upstream: FleetUpstream, perSecond: number | null): boolean {
    const nowMs = this.#options.clock.nowMs();
    const incarnation = incarnationOf(upstream);
    const known = this.#byIncarnation.get(incarnation);
    if (known === undefined && perSecond === null) return false;
    this.#byIncarnation.set(incarnation, { perSecond, observedMs: nowMs });
    if (known?.perSecond === perSecond) return false;
    this.#log(upstream, { perSecond, before: known, source: "response" });
    return true;
  }

  /** Adopts the limit that a control VM states, unless this VM has just read another one itself. */
  adopt(upstream: FleetUpstream): void {
    const { requestLimit } = upstream;
    if (requestLimit === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const incarnation = incarnationOf(upstream);
    const known = this.#byIncarnation.get(incarnation);
    if (known?.perSecond === requestLimit) return;
    if (known !== undefined && nowMs - known.observedMs < REPORT_TRAVEL_MS) {
      return;
    }
    if (known === undefined && requestLimit === null) return;
    this.#byIncarnation.set(incarnation, {
      perSecond: requestLimit,
      observedMs: nowMs,
    });
    const change = { perSecond: requestLimit, before: known };
    this.#log(upstream, { ...change, source: "control" });
  }

  /** Returns the upstream with the limit that it names, if this VM knows one. */
  mark(upstream: FleetUpstream): FleetUpstream {
    if (this.#byIncarnation.size === 0) return upstream;
    const known = this.#byIncarnation.get(incarnationOf(upstream));
    if (known === undefined || known.perSecond === upstream.requestLimit) {
      return upstream;
    }
    return { ...upstream, requestLimit: known.perSecond };
  }

  /** Returns the limits that differ from what a control VM states of these upstreams. */
  unknownTo(
    upstreams: Iterable<FleetUpstream>,
  ): readonly LimitObservation[] {
    const unknown: LimitObservation[] = [];
    if (this.#byIncarnation.size === 0) return unknown;
    for (const upstream of upstreams) {
      if (this.mark(upstream) === upstream) continue;
      const observation = this.observationOf(upstream);
      if (observation !== undefined) unknown.push(observation);
    }
    return unknown;
  }

  /** Returns what is known of an upstream, with its age. */
  observationOf(upstream: FleetUpstream): LimitObservation | undefined {
    const known = this.#byIncarnation.get(incarnationOf(upstream));
    if (known === undefined) return undefined;
    const { id, bornMs } = upstream;
    const ageMs = this.#options.clock.nowMs() - known.observedMs;
    return { id, bornMs, perSecond: known.perSecond, ageMs };
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

  #log(upstream: FleetUpstream, change: {
    readonly perSecond: number | null;
    readonly before: NamedLimit | undefined;
    readonly source: "response" | "control";
  }): void {
    const { perSecond, before, source } = change;
    const beforeAgeMs = before === undefined
      ? null
      : Math.round(this.#options.clock.nowMs() - before.observedMs);
    this.#options.events.emit(MEMBERSHIP_EVENTS.requestLimitChanged, {
      upstream: upstream.id,
      service: upstream.service,
      perSecond,
      before: before?.perSecond ?? null,
      beforeAgeMs,
      source,
    });
  }
}
