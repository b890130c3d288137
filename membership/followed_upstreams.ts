/**
 * The upstreams as one VM knows them: those that the control VM lists, with what their responses told this VM itself.
 *
 * @module
 */
import type { Clock, EventLog, FleetUpstream } from "#core";
import type {
  FleetRevision,
  FollowReply,
  FollowRequest,
  LimitObservation,
} from "./fleet_messages.ts";
import { LeavingUpstreams } from "./leaving_upstreams.ts";
import { NamedLimits } from "./named_limits.ts";
import { problemOf } from "./upstream_check.ts";

/** Options of `FollowedUpstreams`. */
export interface FollowedUpstreamsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Stores the listed upstreams. */
export class FollowedUpstreams {
  readonly #leaving: LeavingUpstreams;
  readonly #limits: NamedLimits;
  #listed = new Map<string, FleetUpstream>();
  #revision: FleetRevision | null = null;
  /** Whether these are exactly the upstreams of the control VM, so that a change can be applied to them. */
  #isExact = false;

  constructor(options: FollowedUpstreamsOptions) {
    this.#leaving = new LeavingUpstreams(options.events);
    this.#limits = new NamedLimits(options);
  }

  /** Returns the upstreams that are not gone. */
  list(): readonly FleetUpstream[] {
    const upstreams: FleetUpstream[] = [];
    for (const upstream of this.#listed.values()) {
      upstreams.push(this.#limits.mark(this.#leaving.mark(upstream)));
    }
    return upstreams;
  }

  /** Records that an upstream is leaving; returns whether that is news. */
  recordLeaving(upstream: FleetUpstream): boolean {
    return this.#leaving.record(upstream);
  }

  /** Records the limit that an upstream names, null for none; returns what is to be told of it if it changed. */
  recordLimit(
    upstream: FleetUpstream,
    perSecond: number | null,
  ): LimitObservation | undefined {
    if (!this.#limits.observe(upstream, perSecond)) return undefined;
    return this.#limits.observationOf(upstream);
  }

  /** Returns what a control VM has to know of them to reply with its news. */
  describe(): Pick<
    FollowRequest,
    "fleet" | "acceptsDeltas" | "leaving" | "limits"
  > {
    return {
      fleet: this.#revision,
      acceptsDeltas: this.#isExact,
      leaving: this.#leaving.unknownTo(this.#listed.values()),
      limits: this.#limits.unknownTo(this.#listed.values()),
    };
  }

  /**
   * Replaces the known upstreams if the control VM knows all of them. Merges them if it has just started or does
   * not reach a quorum, since it may then not know all.
   */
  apply(
    fleet: NonNullable<FollowReply["fleet"]>,
    isCurrent: boolean,
  ): void {
    const isDelta = fleet.since !== undefined;
    const replaces = fleet.complete && isCurrent;
    if (replaces && !isDelta) this.#listed = new Map();
    for (const id of fleet.removed ?? []) this.#listed.delete(id);
    for (const upstream of fleet.upstreams) {
      const known = this.#listed.get(upstream.id);
      const isOlder = known !== undefined && known.bornMs > upstream.bornMs;
      if (isOlder && !replaces) continue;
      // Control VMs of earlier builds accept entries that name no upstream to use.
      if (problemOf(upstream) !== undefined) continue;
      this.#listed.set(upstream.id, upstream);
      this.#limits.adopt(upstream);
    }
    this.#revision = fleet.revision;
    this.#isExact = replaces;
    this.#leaving.retainOnly(this.#listed.values());
    this.#limits.retainOnly(this.#listed.values());
  }
}
