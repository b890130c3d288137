/**
 * The part of a control VM that hears upstreams and VMs and tells everyone what is in force. Heartbeats are
 * soft state: each control VM passes them on to the others, and one that has just started asks for theirs.
 *
 * @module
 */
import {
  type Clock,
  Err,
  fail,
  type Failure,
  type FleetNode,
  type FleetUpstream,
  type Milliseconds,
  Ok,
  type Result,
  type StoredConfiguration,
} from "#core";
import type { PeerNetwork } from "#wire";
import {
  type FleetNotice,
  type FollowReply,
  type FollowRequest,
  parseFleetNotice,
  parseFollowRequest,
} from "./fleet_messages.ts";
import { FleetTable } from "./fleet_table.ts";
import type { VersionedPlacement } from "./placement_machine.ts";
import type { ObservedNode } from "./placement_plan.ts";

const GOSSIP_INTERVAL_MS: Milliseconds = 500;
const NODE_RETENTION_MS: Milliseconds = 60_000;
const MAXIMUM_LISTED_NODE_AGE_MS: Milliseconds = 5_000;
/** Sets the revisions of a table apart from those before it was complete. */
const PARTIAL_EPOCH_SUFFIX = "-partial";
const DEPARTURE_RETENTION_MS: Milliseconds = 60_000;

/** What a server is built from. */
export interface FleetServerOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** This VM as it is now. */
  readonly self: () => FleetNode;
  /** Differs from life to life. */
  readonly epoch: string;
  /** Silence after which an upstream gets no work. */
  readonly heartbeatTimeoutMs: Milliseconds;
  /** Control VMs to tell, this one included or not. */
  readonly peers: () => readonly string[];
  readonly configuration: () => StoredConfiguration | null;
  readonly placement: () => VersionedPlacement;
  /** Whether this VM leads under a lease or hears a leader. */
  readonly reachesQuorum: () => boolean;
  /** Version of the newest configuration, sure to be the newest; fails where that can't be told. */
  readonly confirm: () => Promise<Result<unknown, Failure>>;
}

/** Hears and tells. */
export class FleetServer {
  readonly #options: FleetServerOptions;
  readonly #table: FleetTable;
  readonly #nodes = new Map<string, { node: FleetNode; heardMs: number }>();
  readonly #waiters = new Set<() => void>();
  readonly #startedMs: Milliseconds;
  #receivedHeartbeats = false;

  constructor(options: FleetServerOptions) {
    this.#options = options;
    this.#table = new FleetTable({
      heartbeatTimeoutMs: options.heartbeatTimeoutMs,
      retentionMs: DEPARTURE_RETENTION_MS,
    });
    this.#startedMs = options.clock.nowMs();
  }

  /** Starts to answer and to tell the other control VMs. */
  start(): void {
    const { network, clock } = this.#options;
    network.onNotice("fleet", (_from, body) => this.#handleNotice(body));
    network.onRequest("fleet", (_from, body) => this.#handleFollow(body));
    clock.every(GOSSIP_INTERVAL_MS, () => this.#gossip());
    this.#gossip();
  }

  /** Takes an upstream's heartbeat and passes it on; whether that may be acknowledged. */
  recordHeartbeat(record: FleetUpstream): boolean {
    const heartbeat = { record, ageMs: 0 };
    const outcome = this.#table.recordHeartbeat(
      heartbeat,
      this.#options.clock.nowMs(),
    );
    if (outcome !== "outdated") {
      this.#notifyPeers({ kind: "beats", beats: [heartbeat] });
    }
    if (outcome === "changed") this.wakeWaiters();
    return this.#options.reachesQuorum();
  }

  /** Takes an upstream's word that it leaves, and passes it on; whether that may be acknowledged. */
  deregister(id: string, bornMs: Milliseconds | null): boolean {
    this.#table.markGone(id, bornMs, this.#options.clock.nowMs());
    this.#notifyPeers({ kind: "leave", id, bornMs });
    this.wakeWaiters();
    return this.#options.reachesQuorum();
  }

  /** Upstreams that take or finish work. */
  upstreams(): readonly FleetUpstream[] {
    return this.#table.listed();
  }

  /** Control and store VMs, this one included. */
  nodes(): readonly ObservedNode[] {
    const nowMs = this.#options.clock.nowMs();
    const observed: ObservedNode[] = [{ node: this.#options.self(), ageMs: 0 }];
    for (const { node, heardMs } of this.#nodes.values()) {
      if (node.vm === this.#options.network.self) continue;
      observed.push({ node, ageMs: nowMs - heardMs });
    }
    return observed;
  }

  /** Whether every upstream that lives has had the time to be heard. */
  isComplete(): boolean {
    const { clock, heartbeatTimeoutMs } = this.#options;
    return clock.nowMs() - this.#startedMs >= heartbeatTimeoutMs;
  }

  /** Wakes those who wait for something new. */
  wakeWaiters(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
  }

  #gossip(): void {
    const nowMs = this.#options.clock.nowMs();
    const previousRevision = this.#table.revision;
    this.#table.expire(nowMs);
    const isolated = !this.#options.reachesQuorum();
    if (this.#table.revision !== previousRevision || isolated) {
      this.wakeWaiters();
    }
    this.#expireNodes(nowMs);
    this.#notifyPeers({
      kind: "nodes",
      nodes: this.nodes(),
      askBeats: !this.#receivedHeartbeats && !this.isComplete(),
    });
  }

  #expireNodes(nowMs: Milliseconds): void {
    for (const [vm, { heardMs }] of this.#nodes) {
      if (nowMs - heardMs > NODE_RETENTION_MS) this.#nodes.delete(vm);
    }
  }

  #notifyPeers(notice: FleetNotice): void {
    const { network, peers } = this.#options;
    const others = new Set([...peers(), ...this.#recentControls()]);
    others.delete(network.self);
    for (const to of others) network.notify({ to, channel: "fleet" }, notice);
  }

  /** Control VMs without a seat are told too: they may get one. */
  #recentControls(): readonly string[] {
    const controls: string[] = [];
    for (const { node, ageMs } of this.nodes()) {
      if (node.role !== "control" || ageMs > MAXIMUM_LISTED_NODE_AGE_MS) {
        continue;
      }
      controls.push(node.vm);
    }
    return controls;
  }

  #handleNotice(body: unknown): void {
    const notice = parseFleetNotice(body);
    if (notice === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const previousRevision = this.#table.revision;
    if (notice.kind === "beats") {
      this.#receivedHeartbeats ||= notice.beats.length > 1;
      for (const heartbeat of notice.beats) {
        this.#table.recordHeartbeat(heartbeat, nowMs);
      }
    }
    if (notice.kind === "leave") {
      this.#table.markGone(notice.id, notice.bornMs, nowMs);
    }
    if (notice.kind === "nodes") this.#handleNodes(notice, nowMs);
    if (this.#table.revision !== previousRevision) this.wakeWaiters();
  }

  #handleNodes(
    notice: Extract<FleetNotice, { kind: "nodes" }>,
    nowMs: Milliseconds,
  ): void {
    for (const { node, ageMs } of notice.nodes) {
      this.#recordNode(node, nowMs - ageMs);
    }
    const sender = notice.nodes[0]?.node.vm;
    if (!notice.askBeats || sender === undefined) return;
    const beats = this.#table.agedHeartbeats(nowMs);
    const reply: FleetNotice = { kind: "beats", beats };
    this.#options.network.notify({ to: sender, channel: "fleet" }, reply);
  }

  #recordNode(node: FleetNode, heardMs: Milliseconds): void {
    if (node.role === "entry") return;
    const known = this.#nodes.get(node.vm);
    if (known !== undefined && known.heardMs >= heardMs) return;
    this.#nodes.set(node.vm, { node, heardMs });
    if (known?.node.leads !== node.leads) this.wakeWaiters();
  }

  async #handleFollow(body: unknown): Promise<Result<unknown, Failure>> {
    const request = parseFollowRequest(body);
    if (request === undefined) {
      return Err(fail("malformed_request", "a malformed follow request"));
    }
    this.#recordNode(request.node, this.#options.clock.nowMs());
    const confirmed = request.confirm
      ? await this.#options.confirm()
      : undefined;
    if (confirmed?.err) return Err(confirmed.val);
    const reply = this.#createReply(request, confirmed !== undefined);
    const hasConfirmed = confirmed !== undefined &&
      this.#options.configuration() !== null;
    if (hasConfirmed || hasUpdates(reply) || !reply.current) return Ok(reply);
    await this.#waitForChange(request.waitMs);
    return Ok(this.#createReply(request, false));
  }

  #waitForChange(waitMs: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = this.#options.clock.after(waitMs, wake);
      this.#waiters.add(wake);
    });
  }

  #createReply(request: FollowRequest, confirmed: boolean): FollowReply {
    const rules = this.#options.configuration()?.rules ?? null;
    const placement = this.#options.placement();
    const complete = this.isComplete();
    const epoch = this.#options.epoch + (complete ? "" : PARTIAL_EPOCH_SUFFIX);
    const revision = { epoch, revision: this.#table.revision };
    const sameFleet = request.fleet?.epoch === epoch &&
      request.fleet.revision === revision.revision;
    return {
      current: this.#options.reachesQuorum(),
      confirmed,
      configuration:
        rules !== null && rules.version > request.configurationVersion
          ? rules
          : null,
      fleet: sameFleet ? null : {
        revision,
        complete,
        upstreams: this.#table.listed(),
      },
      placement: placement.revision > request.placementRevision
        ? placement
        : null,
      nodes: this.#listedNodes(),
    };
  }

  #listedNodes(): readonly FleetNode[] {
    const listed: FleetNode[] = [];
    for (const { node, ageMs } of this.nodes()) {
      if (ageMs <= MAXIMUM_LISTED_NODE_AGE_MS) listed.push(node);
    }
    return listed;
  }
}

function hasUpdates(answer: FollowReply): boolean {
  return answer.configuration !== null || answer.fleet !== null ||
    answer.placement !== null;
}
