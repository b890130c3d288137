/**
 * Replies of a control VM to the VMs that follow it: of each part of the state what is news to the sender.
 *
 * @module
 */
import type { Clock, StoredConfiguration } from "#core";
import type { CrashLedger } from "./crash_ledger.ts";
import type { CrashRevision } from "./crash_records.ts";
import { FleetDeltas } from "./fleet_deltas.ts";
import type {
  FleetRevision,
  FollowReply,
  FollowRequest,
} from "./fleet_messages.ts";
import type { FleetTable } from "./fleet_table.ts";
import type { VersionedPlacement } from "./placement_machine.ts";
import { digestOf, type VmObservations } from "./vm_observations.ts";

/** Marks the epoch of revisions that were created before the table was complete. */
const PARTIAL_EPOCH_SUFFIX = "-partial";

/** Options of `FollowReplies`. */
export interface FollowRepliesOptions {
  readonly clock: Clock;
  /** Identifies this incarnation of the control VM. */
  readonly epoch: string;
  readonly table: FleetTable;
  readonly vms: VmObservations;
  readonly crashes: CrashLedger;
  readonly configuration: () => StoredConfiguration | null;
  readonly placement: () => VersionedPlacement;
  /** Whether this VM leads under a lease or receives heartbeats of a leader. */
  readonly reachesQuorum: () => boolean;
  /** Whether this VM has run long enough to have received a heartbeat of every live upstream. */
  readonly isComplete: () => boolean;
}

/** Creates replies. */
export class FollowReplies {
  readonly #options: FollowRepliesOptions;
  readonly #deltas: FleetDeltas;

  constructor(options: FollowRepliesOptions) {
    this.#options = options;
    this.#deltas = new FleetDeltas(options.table);
  }

  /** Returns what is news to the sender of a request. */
  create(request: FollowRequest, confirmed: boolean): FollowReply {
    const rules = this.#options.configuration()?.rules ?? null;
    const placement = this.#options.placement();
    const complete = this.#options.isComplete();
    const epoch = this.#options.epoch + (complete ? "" : PARTIAL_EPOCH_SUFFIX);
    const revision = { epoch, revision: this.#options.table.revision };
    const nodes = this.#options.vms.listed();
    const nodesDigest = digestOf(nodes);
    const sameFleet = request.fleet?.epoch === epoch &&
      request.fleet.revision === revision.revision;
    return {
      current: this.#options.reachesQuorum(),
      confirmed,
      configuration:
        rules !== null && rules.version > request.configurationVersion
          ? rules
          : null,
      fleet: sameFleet ? null : this.#fleetFor(request, revision),
      placement: placement.revision > request.placementRevision
        ? placement
        : null,
      nodes: nodesDigest === request.nodesDigest ? null : nodes,
      nodesDigest,
      ...this.#crashesFor(request.crashRevision),
    };
  }

  /** Returns the upstreams that a follower lacks, or all if it can't apply a change to those that it has. */
  #fleetFor(
    request: FollowRequest,
    revision: FleetRevision,
  ): NonNullable<FollowReply["fleet"]> {
    const complete = this.#options.isComplete();
    const known = request.fleet;
    const mayUseDelta = request.acceptsDeltas === true && complete &&
      this.#options.reachesQuorum() && known?.epoch === revision.epoch;
    const delta = mayUseDelta ? this.#deltas.since(known.revision) : undefined;
    if (delta === undefined) {
      return { revision, complete, upstreams: this.#options.table.listed() };
    }
    return { revision, complete, ...delta, since: known?.revision ?? 0 };
  }

  /** Returns the crashes under calls that are news to a follower; none to one of an earlier build. */
  #crashesFor(known: CrashRevision | undefined): Pick<FollowReply, "crashes"> {
    if (known === undefined) return {};
    const { clock, epoch, crashes } = this.#options;
    const sinceRevision = known.epoch === epoch ? known.revision : 0;
    const { revision } = crashes;
    if (sinceRevision === revision) return {};
    const records = crashes.since(sinceRevision, clock.nowMs());
    return { crashes: { revision: { epoch, revision }, records } };
  }
}

/** Whether a reply brings anything that its receiver lacks. */
export function hasUpdates(reply: FollowReply): boolean {
  return reply.configuration !== null || reply.fleet !== null ||
    reply.placement !== null || reply.nodes !== null ||
    reply.crashes !== undefined;
}
