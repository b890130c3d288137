/**
 * Follows the active state at a control VM with one long-polling request, to which the control VM replies when
 * the state changes.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type Failure,
  type FleetNode,
  type FleetUpstream,
  type Milliseconds,
  type Placement,
  type RandomSource,
  type RoutingConfiguration,
} from "#core";
import type { PeerNetwork } from "#wire";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import type { FleetNotice, FollowReply } from "./fleet_messages.ts";
import { FollowedUpstreams } from "./followed_upstreams.ts";
import { KnownCrashes } from "./known_crashes.ts";

const FOLLOW_WAIT_MS: Milliseconds = 1_500;
const REPLY_MARGIN_MS: Milliseconds = 700;
/** Time that the control VMs usually need to elect a new leader. */
const TYPICAL_ELECTION_MS: Milliseconds = 800;
const RETRY_DELAY_MS: Milliseconds = 100;
/** Time without a quorum after which a starting VM serves with the state of its zone's control VM. */
const CONFIRMATION_TIMEOUT_MS: Milliseconds = 3_000;

/** Options of `FleetFollower`. */
export interface FleetFollowerOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /** Returns the current state of this VM. */
  readonly self: () => FleetNode;
  /** Returns the control VMs named in the settings. */
  readonly seeds: () => readonly string[];
  /** Called after each change of the followed state. */
  readonly onChange: () => void;
}

/** The state of the cluster as known to one VM. */
export class FleetFollower {
  /** Crashes of upstreams under calls. */
  readonly crashes: KnownCrashes;
  readonly #options: FleetFollowerOptions;
  readonly #startedMs: Milliseconds;
  readonly #upstreams: FollowedUpstreams;
  #configuration: RoutingConfiguration | null = null;
  #confirmed = false;
  #placement: Placement = { controls: [], stores: [], retiring: [] };
  #placementRevision = 0;
  #nodes: readonly FleetNode[] = [];
  #nodesDigest: string | undefined;
  #server: string | undefined;
  #switchCount = 0;
  /** The leader that the control VM asked last has named, so that two VMs that name each other are not asked forever. */
  #namedLeader: string | undefined;
  #quorumUnavailable = false;
  /** Whether the last reply came from a control VM that reaches a quorum. */
  #following = true;
  /** Since when there has been no such reply; null while a control VM is followed. */
  #silentSinceMs: Milliseconds | null = null;
  #stopped = false;

  constructor(options: FleetFollowerOptions) {
    this.#options = options;
    this.#startedMs = options.clock.nowMs();
    this.#upstreams = new FollowedUpstreams(options);
    this.crashes = new KnownCrashes({
      ...options,
      send: (record) => this.#notify({ kind: "crashes", records: [record] }),
    });
    this.#switchCount = options.random.below(1_000);
  }

  /** The active configuration of this VM; null before the first. */
  get configuration(): RoutingConfiguration | null {
    return this.#configuration;
  }

  /** Whether the configuration of this VM was the newest at some time after the start of this VM. */
  get confirmed(): boolean {
    return this.#confirmed;
  }

  /** Whether this VM has waited so long for a quorum that an unconfirmed configuration is better than none. */
  mayServeUnconfirmed(): boolean {
    return this.#options.clock.nowMs() - this.#startedMs >=
      CONFIRMATION_TIMEOUT_MS;
  }

  /** Time after which a caller that this VM rejects should retry. */
  retryDelayMs(): Milliseconds {
    return this.#quorumUnavailable ? TYPICAL_ELECTION_MS : RETRY_DELAY_MS;
  }

  /** Time since the last control VM that reaches a quorum was lost, 0 while one is followed. */
  silentMs(): Milliseconds {
    if (this.#silentSinceMs === null) return 0;
    return this.#options.clock.nowMs() - this.#silentSinceMs;
  }

  /** Upstreams that are not gone, with what their responses told this VM: that they are leaving, and their limits. */
  get upstreams(): readonly FleetUpstream[] {
    return this.#upstreams.list();
  }

  /** Stops sending to an upstream whose response states that it is leaving, and tells the control VM. */
  reportLeaving(upstream: FleetUpstream): void {
    if (!this.#upstreams.recordLeaving(upstream)) return;
    this.#options.onChange();
    const { id, bornMs } = upstream;
    this.#notify({ kind: "draining", upstreams: [{ id, bornMs }] });
  }

  /** Records the limit that an upstream names in a response, null for none, and tells the control VM if it changed. */
  reportRequestLimit(upstream: FleetUpstream, perSecond: number | null): void {
    const observation = this.#upstreams.recordLimit(upstream, perSecond);
    if (observation === undefined) return;
    this.#options.onChange();
    this.#notify({ kind: "limits", limits: [observation] });
  }

  get placement(): Placement {
    return this.#placement;
  }

  /** Control and store VMs. */
  get nodes(): readonly FleetNode[] {
    return this.#nodes;
  }

  /**
   * Returns the control VMs that can be followed: the voters, those of the own zone first, then all others. A VM that is
   * no voter can't tell whether its state is the newest, and in a large fleet most of them are none.
   */
  controlVms(): readonly string[] {
    const { self, seeds } = this.#options;
    const controls = this.#nodes.filter((node) => node.role === "control");
    const { zone } = self();
    const near = controls.filter((node) => node.zone === zone)
      .map((node) => node.vm);
    const all = [
      ...this.controlVoters(),
      ...seeds(),
      ...near,
      ...controls.map((node) => node.vm),
    ];
    return [...new Set(all)];
  }

  /** Returns the control VMs that hold a replica of the control log, those of the own zone first; none before they are known. */
  controlVoters(): readonly string[] {
    const { zone } = this.#options.self();
    const zones = new Map(this.#nodes.map((node) => [node.vm, node.zone]));
    const isNear = (vm: string): boolean => zones.get(vm) === zone;
    const voters = this.#placement.controls;
    return [
      ...voters.filter(isNear),
      ...voters.filter((vm) => !isNear(vm)),
    ];
  }

  /** Tells the control VM the state of this VM now, as when it starts to lead, instead of with the next request. */
  reportSelf(): void {
    const nodes = [{ node: this.#options.self(), ageMs: 0 }];
    this.#notify({ kind: "nodes", nodes, askBeats: false });
  }

  /** Follows until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const isCurrent = await this.#followOnce();
      if (!isCurrent) await this.#options.clock.sleep(RETRY_DELAY_MS);
    }
  }

  /** Stops following after the current request. */
  stop(): void {
    this.#stopped = true;
  }

  /** Sends a notice to the control VM that this VM follows, if there is one. */
  #notify(notice: FleetNotice): void {
    const server = this.#server;
    if (server === undefined) return;
    this.#options.network.notify({ to: server, channel: "fleet" }, notice);
  }

  async #followOnce(): Promise<boolean> {
    const server = this.#chooseServer();
    if (server === undefined) return false;
    const { network, self } = this.#options;
    const timeoutMs = FOLLOW_WAIT_MS + REPLY_MARGIN_MS;
    const crashReport = this.crashes.unreported();
    const response = await network.request(
      { to: server, channel: "fleet", timeoutMs },
      {
        kind: "follow",
        node: self(),
        configurationVersion: this.#configuration?.version ?? 0,
        ...this.#upstreams.describe(),
        placementRevision: this.#placementRevision,
        confirm: this.#needsConfirmation(),
        waitMs: FOLLOW_WAIT_MS,
        ...(this.#nodesDigest === undefined
          ? {}
          : { nodesDigest: this.#nodesDigest }),
        crashes: crashReport.records,
        crashRevision: this.crashes.received,
      },
    );
    if (response.ok) {
      this.#quorumUnavailable = false;
      this.crashes.confirmReported(crashReport);
      const reply = response.val as FollowReply;
      this.#applyReply(reply);
      if (reply.current) this.#reportRecovery(server);
      else this.#abandonServer(server, "it does not reach a quorum");
      return reply.current;
    }
    this.#quorumUnavailable = response.val.kind !== "not_leader" ||
      response.val.detail === undefined;
    this.#abandonServer(server, response.val.message);
    return this.#followNamedLeader(server, response.val);
  }

  /** Follows the leader that a control VM names, which alone can confirm the configuration; returns whether it does. */
  #followNamedLeader(asked: string, failure: Failure): boolean {
    const leader = failure.kind === "not_leader" ? failure.detail : undefined;
    const isNews = leader !== undefined && leader !== asked &&
      leader !== this.#namedLeader;
    this.#namedLeader = isNews ? leader : undefined;
    if (!isNews) return false;
    this.#server = leader;
    this.crashes.handleServerChange();
    return true;
  }

  #needsConfirmation(): boolean {
    if (this.#confirmed) return false;
    const waitedMs = this.#options.clock.nowMs() - this.#startedMs;
    return waitedMs < CONFIRMATION_TIMEOUT_MS || this.#switchCount % 2 === 0;
  }

  /** Returns the current control VM, or the next one in turn after it was abandoned. */
  #chooseServer(): string | undefined {
    const controls = this.controlVms();
    if (controls.length === 0) return undefined;
    if (this.#server === undefined) {
      this.#server = controls[this.#switchCount % controls.length];
      this.crashes.handleServerChange();
    }
    return this.#server;
  }

  #abandonServer(server: string, reason: string): void {
    this.#switchCount += 1;
    if (this.#server !== server) return;
    this.#server = undefined;
    if (!this.#following) return;
    this.#following = false;
    this.#silentSinceMs = this.#options.clock.nowMs();
    this.#options.events.emit(MEMBERSHIP_EVENTS.controlConnectionLost, {
      server,
      reason,
    });
  }

  #reportRecovery(server: string): void {
    if (this.#following) return;
    this.#following = true;
    this.#silentSinceMs = null;
    this.#options.events.emit(MEMBERSHIP_EVENTS.controlConnectionRestored, {
      server,
    });
  }

  #applyReply(reply: FollowReply): void {
    const nodes = reply.nodes ?? this.#nodes;
    const nodesChanged = leadersOf(nodes) !== leadersOf(this.#nodes);
    this.#nodes = nodes;
    this.#nodesDigest = reply.nodesDigest;
    if (reply.crashes !== undefined) {
      this.crashes.receive(reply.crashes.revision, reply.crashes.records);
    }
    const changed = this.#applyState(reply);
    if (changed || nodesChanged) this.#options.onChange();
  }

  #applyState(reply: FollowReply): boolean {
    let changed = false;
    const { configuration, fleet, placement } = reply;
    if (configuration !== null && this.#isNewer(configuration)) {
      this.#configuration = configuration;
      changed = true;
      this.#options.events.emit(MEMBERSHIP_EVENTS.configurationActivated, {
        version: configuration.version,
      });
    }
    if (reply.confirmed && this.#configuration !== null) {
      if (!this.#confirmed) this.#preferOwnZone();
      changed ||= !this.#confirmed;
      this.#confirmed = true;
    }
    if (placement !== null && placement.revision > this.#placementRevision) {
      this.#placement = placement.placement;
      this.#placementRevision = placement.revision;
      changed = true;
    }
    if (fleet !== null) {
      this.#upstreams.apply(fleet, reply.current);
      changed = true;
    }
    return changed;
  }

  #preferOwnZone(): void {
    this.#switchCount = 0;
    this.#server = undefined;
  }

  #isNewer(configuration: RoutingConfiguration): boolean {
    return configuration.version > (this.#configuration?.version ?? -1);
  }
}

function leadersOf(nodes: readonly FleetNode[]): string {
  const leaders = nodes.filter((node) => node.leads);
  return leaders.map((node) => `${node.vm}:${node.term}`).sort().join(" ");
}
