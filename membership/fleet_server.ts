/**
 * The part of a control VM that receives the heartbeats of upstreams, observes the other VMs and distributes the
 * active state to all VMs. Heartbeats are soft state: each control VM forwards them to the others, and one that
 * has just started requests theirs.
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
  type RoutingConfiguration,
  type StoredConfiguration,
} from "#core";
import type { PeerNetwork } from "#wire";
import { ChangeWaiters } from "./change_waiters.ts";
import { CrashLedger } from "./crash_ledger.ts";
import type { Departure, KnownDepartures } from "./departures_machine.ts";
import type { CrashRecord } from "./crash_records.ts";
import {
  type FleetNotice,
  type LimitObservation,
  parseFleetNotice,
  parseFollowRequest,
  type UpstreamIncarnation,
} from "./fleet_messages.ts";
import { FleetGossip } from "./fleet_gossip.ts";
import { FleetTable, type NamedServices } from "./fleet_table.ts";
import { FollowReplies, hasUpdates } from "./follow_replies.ts";
import { HeardDepartures } from "./heard_departures.ts";
import type { VersionedPlacement } from "./placement_machine.ts";
import type { ObservedNode } from "./placement_plan.ts";
import { problemOf } from "./upstream_check.ts";
import { VmObservations } from "./vm_observations.ts";

const GOSSIP_INTERVAL_MS: Milliseconds = 500;
/** Time for which the table remembers that an upstream is gone. */
const GONE_RETENTION_MS: Milliseconds = 60_000;

/** Options of `FleetServer`. */
export interface FleetServerOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** Returns the current state of this VM. */
  readonly self: () => FleetNode;
  /** Identifies this incarnation of the control VM. */
  readonly epoch: string;
  /** Time without a heartbeat after which an upstream receives no work. */
  readonly heartbeatTimeoutMs: Milliseconds;
  /** Control VMs to notify; this one may be among them. */
  readonly peers: () => readonly string[];
  readonly configuration: () => StoredConfiguration | null;
  readonly placement: () => VersionedPlacement;
  /** Departures that the control log holds. */
  readonly departures: KnownDepartures;
  /** Called with upstreams that are known to leave although their heartbeats do not say so, once on one control VM. */
  readonly onLeaving?: (upstreams: readonly UpstreamIncarnation[]) => void;
  /** Whether this VM leads under a lease or receives heartbeats of a leader. */
  readonly reachesQuorum: () => boolean;
  /** Succeeds if the configuration of this VM is certain to be the newest; fails if that cannot be determined. */
  readonly confirm: () => Promise<Result<unknown, Failure>>;
}

/** Collects the state of the fleet and serves it to the VMs that follow it. */
export class FleetServer {
  readonly #options: FleetServerOptions;
  readonly #table: FleetTable;
  readonly #departures: HeardDepartures;
  /** Revision of the departures that this VM told the others last. */
  #toldDepartures = 0;
  /** The configuration whose services the table knows. */
  #appliedRules: RoutingConfiguration | undefined;
  readonly #replies: FollowReplies;
  readonly #vms: VmObservations;
  readonly #crashes = new CrashLedger();
  readonly #gossip: FleetGossip;
  readonly #waiters: ChangeWaiters;
  readonly #startedMs: Milliseconds;
  /** Whether another control VM has sent its heartbeats, so that they need not be requested again. */
  #receivedHeartbeats = false;

  constructor(options: FleetServerOptions) {
    this.#options = options;
    this.#waiters = new ChangeWaiters(options.clock);
    this.#departures = new HeardDepartures(options.departures);
    this.#table = new FleetTable({
      heartbeatTimeoutMs: options.heartbeatTimeoutMs,
      retentionMs: GONE_RETENTION_MS,
      departures: this.#departures,
    });
    this.#vms = new VmObservations(options);
    this.#gossip = new FleetGossip({
      ...options,
      vms: this.#vms,
      crashes: this.#crashes,
    });
    this.#replies = new FollowReplies({
      ...options,
      table: this.#table,
      vms: this.#vms,
      crashes: this.#crashes,
      isComplete: () => this.isComplete(),
    });
    this.#startedMs = options.clock.nowMs();
  }

  /** Starts to handle requests and to notify the other control VMs. */
  start(): void {
    const { network, clock } = this.#options;
    network.onNotice("fleet", (from, body) => this.#handleNotice(from, body));
    network.onRequest("fleet", (_from, body) => this.#handleFollow(body));
    clock.every(GOSSIP_INTERVAL_MS, () => this.#expireAndGossip());
    this.#expireAndGossip();
  }

  /** Records a heartbeat of an upstream and forwards it; returns whether it may be acknowledged. */
  recordHeartbeat(record: FleetUpstream): boolean {
    this.applyConfiguration();
    const heartbeat = { record, ageMs: 0 };
    const outcome = this.#table.recordHeartbeat(
      heartbeat,
      this.#options.clock.nowMs(),
    );
    if (outcome !== "outdated") {
      this.#gossip.notify({ kind: "beats", beats: [heartbeat] });
    }
    if (outcome === "changed") this.wakeWaiters();
    return this.#options.reachesQuorum();
  }

  /** Records that an upstream leaves and notifies the others; returns whether that may be acknowledged. */
  deregister(id: string, bornMs: Milliseconds | null): boolean {
    this.#table.markGone(id, bornMs, this.#options.clock.nowMs());
    if (bornMs !== null) this.#hear([{ id, bornMs, phase: "gone" }]);
    this.#gossip.notify({ kind: "leave", id, bornMs });
    this.wakeWaiters();
    return this.#options.reachesQuorum();
  }

  /** Records upstreams that are known to leave although their heartbeats do not say so, and notifies the others. */
  recordLeaving(upstreams: readonly UpstreamIncarnation[]): void {
    const news = this.#markDraining(upstreams);
    if (news.length > 0) this.#options.onLeaving?.(news);
  }

  #markDraining(
    upstreams: readonly UpstreamIncarnation[],
  ): readonly UpstreamIncarnation[] {
    const news = upstreams.filter(({ id, bornMs }) =>
      this.#table.markDraining(id, bornMs)
    );
    if (news.length === 0) return news;
    this.#gossip.notify({ kind: "draining", upstreams: news });
    this.wakeWaiters();
    return news;
  }

  #hear(departures: Iterable<Departure>): void {
    this.#departures.add(departures, this.#options.clock.nowMs());
    this.applyDepartures();
  }

  /**
   * Tells all departures to the control VMs after a change. Those that have no replica of the log and have just started
   * learn in no other way what late heartbeats to ignore.
   */
  #tellDepartures(): void {
    const { revision } = this.#departures;
    if (revision === this.#toldDepartures) return;
    if (!this.#options.self().leads) return;
    this.#toldDepartures = revision;
    const departures = [...this.#departures.all()];
    this.#gossip.notify({ kind: "departures", departures });
  }

  /** Takes notice of departures that the control log has stored. */
  applyDepartures(): void {
    const { clock } = this.#options;
    if (this.#table.applyDepartures(clock.nowMs())) this.wakeWaiters();
  }

  /** Takes notice of the services that the configuration names. */
  applyConfiguration(): void {
    const rules = this.#options.configuration()?.rules;
    if (rules === undefined || rules === this.#appliedRules) return;
    this.#appliedRules = rules;
    const services: NamedServices = new Map(
      rules.services.map(({ name, engine }) => [
        name,
        engine === null ? "plain" : "models",
      ]),
    );
    if (this.#table.nameServices(services)) this.wakeWaiters();
  }

  /** Whether an upstream of this service may be used, now or once there is a configuration. */
  isNamed(service: string): boolean {
    return this.#table.isNamed(service);
  }

  /** Returns the start time of the newest known incarnation of an upstream. */
  bornMsOf(id: string): Milliseconds | undefined {
    return this.#table.bornMsOf(id);
  }

  /** Records limits that upstreams named in responses, and notifies the others. */
  recordLimits(limits: readonly LimitObservation[]): void {
    const news = this.#mergeLimits(limits);
    if (news.length > 0) this.#gossip.notify({ kind: "limits", limits: news });
  }

  #mergeLimits(
    limits: readonly LimitObservation[],
  ): readonly LimitObservation[] {
    const nowMs = this.#options.clock.nowMs();
    const news = limits.filter((each) => this.#table.recordLimit(each, nowMs));
    if (news.length > 0) this.wakeWaiters();
    return news;
  }

  /** Records crashes of upstreams under calls, and notifies the others. */
  recordCrashes(records: readonly CrashRecord[]): void {
    const nowMs = this.#options.clock.nowMs();
    const news = this.#crashes.merge(records, nowMs);
    if (news.length === 0) return;
    this.#gossip.notify({ kind: "crashes", records: news });
    this.wakeWaiters();
  }

  /** What this VM knows of crashes of upstreams under calls. */
  get crashes(): CrashLedger {
    return this.#crashes;
  }

  /** Returns the upstreams that accept work or finish the work that they have. */
  upstreams(): readonly FleetUpstream[] {
    return this.#table.listed();
  }

  /** Returns the upstreams of a service that accept work by their heartbeats. */
  readyUpstreams(service: string): readonly FleetUpstream[] {
    return this.#table.listed().filter((each) =>
      each.service === service && each.phase === "ready"
    );
  }

  /** Returns the limits of the upstreams of a service, by incarnation; see `FleetTable.limitsOf`. */
  limitsOf(service: string): ReadonlyMap<string, number> {
    return this.#table.limitsOf(service);
  }

  /** Returns the control and store VMs, including this one. */
  nodes(): readonly ObservedNode[] {
    return this.#vms.all();
  }

  /** Whether this VM has run long enough to have received a heartbeat of every live upstream. */
  isComplete(): boolean {
    const { clock, heartbeatTimeoutMs } = this.#options;
    return clock.nowMs() - this.#startedMs >= heartbeatTimeoutMs;
  }

  /** Sets what is called when the state that VMs follow may have changed. */
  onChange(handler: () => void): void {
    this.#waiters.onChange(handler);
  }

  /** Wakes the follow requests that wait for newer state. */
  wakeWaiters(): void {
    this.#waiters.wake();
  }

  #expireAndGossip(): void {
    const nowMs = this.#options.clock.nowMs();
    const previousRevision = this.#table.revision;
    this.applyConfiguration();
    this.#table.expire(nowMs);
    const isolated = !this.#options.reachesQuorum();
    if (this.#table.revision !== previousRevision || isolated) {
      this.wakeWaiters();
    }
    this.#vms.expire();
    this.#tellDepartures();
    const askBeats = !this.#receivedHeartbeats && !this.isComplete();
    this.#gossip.sendRound(askBeats);
  }

  #handleNotice(from: string, body: unknown): void {
    const notice = parseFleetNotice(body);
    if (notice === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const previousRevision = this.#table.revision;
    if (notice.kind === "beats") {
      this.#receivedHeartbeats ||= notice.beats.length > 1;
      for (const heartbeat of notice.beats) {
        // Control VMs of earlier builds accept them.
        if (problemOf(heartbeat.record) !== undefined) continue;
        this.#table.recordHeartbeat(heartbeat, nowMs);
      }
    }
    if (notice.kind === "leave") this.#handleLeave(notice, nowMs);
    if (notice.kind === "departures") this.#hear(notice.departures);
    if (notice.kind === "draining") this.#markDraining(notice.upstreams);
    if (notice.kind === "limits") this.#handleLimits(from, notice.limits);
    if (notice.kind === "crashes") this.recordCrashes(notice.records);
    if (notice.kind === "nodes") this.#handleNodes(from, notice);
    if (this.#table.revision !== previousRevision) this.wakeWaiters();
  }

  #handleLeave(
    { id, bornMs }: Extract<FleetNotice, { kind: "leave" }>,
    nowMs: Milliseconds,
  ): void {
    this.#table.markGone(id, bornMs, nowMs);
    if (bornMs !== null) this.#hear([{ id, bornMs, phase: "gone" }]);
  }

  /**
   * The control VM that a limit is reported to tells all others. They tell it to nobody: which of two limits is the
   * newer one looks different at each VM, as times shift by the way of a notice.
   */
  #handleLimits(from: string, limits: readonly LimitObservation[]): void {
    if (this.#gossip.peers().includes(from)) this.#mergeLimits(limits);
    else this.recordLimits(limits);
  }

  #handleNodes(
    from: string,
    notice: Extract<FleetNotice, { kind: "nodes" }>,
  ): void {
    for (const observed of notice.nodes) {
      if (!this.#vms.recordObservation(observed)) continue;
      this.wakeWaiters();
      // A store VM says itself that it leads; the other control VMs learn it at once, as steps wait for it.
      const { node } = observed;
      if (node.role !== "store" || node.vm !== from) continue;
      this.#gossip.notify({
        kind: "nodes",
        nodes: [observed],
        askBeats: false,
      });
    }
    const sender = notice.nodes[0]?.node.vm;
    if (!notice.askBeats || sender === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const beats = this.#table.agedHeartbeats(nowMs);
    const records = this.#crashes.since(0, nowMs);
    const departures = [...this.#departures.all()];
    const replies: readonly FleetNotice[] = [
      { kind: "departures", departures },
      { kind: "beats", beats },
      { kind: "crashes", records },
    ];
    for (const reply of replies) {
      this.#options.network.notify({ to: sender, channel: "fleet" }, reply);
    }
  }

  async #handleFollow(body: unknown): Promise<Result<unknown, Failure>> {
    const request = parseFollowRequest(body);
    if (request === undefined) {
      return Err(fail("malformed_request", "not a well-formed follow request"));
    }
    if (this.#vms.recordReport(request.node)) this.wakeWaiters();
    this.recordLeaving(request.leaving ?? []);
    this.recordLimits(request.limits ?? []);
    this.recordCrashes(request.crashes ?? []);
    const confirmed = request.confirm
      ? await this.#options.confirm()
      : undefined;
    if (confirmed?.err) return Err(confirmed.val);
    const reply = this.#replies.create(request, confirmed !== undefined);
    const hasConfirmed = confirmed !== undefined &&
      this.#options.configuration() !== null;
    if (hasConfirmed || hasUpdates(reply) || !reply.current) return Ok(reply);
    await this.#waiters.wait(request.waitMs);
    return Ok(this.#replies.create(request, false));
  }
}
