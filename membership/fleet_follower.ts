/**
 * Follows what is in force at a control VM: one request waits there, and is answered when something changes.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type FleetNode,
  type FleetUpstream,
  type Milliseconds,
  type Placement,
  type RandomSource,
  type RoutingConfiguration,
} from "#core";
import type { PeerNetwork } from "#wire";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import type { FleetRevision, FollowAnswer } from "./fleet_messages.ts";

const WAIT_MS: Milliseconds = 1_500;
const ANSWER_MARGIN_MS: Milliseconds = 700;
/** Time that the control VMs usually need to have a leader again. */
const ELECTION_MS: Milliseconds = 800;
const PAUSE_MS: Milliseconds = 100;
/** After so long without a quorum a starting VM serves with what its zone's control VM has. */
const UNCONFIRMED_MS: Milliseconds = 3_000;

/** What a follower is built from. */
export interface FleetFollowerOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly self: () => FleetNode;
  /** Control VMs that the settings name. */
  readonly seeds: () => readonly string[];
  /** Called after each change of what is known here. */
  readonly onChange: () => void;
}

/** What a VM knows of the system. */
export class FleetFollower {
  readonly #options: FleetFollowerOptions;
  readonly #startedMs: Milliseconds;
  #configuration: RoutingConfiguration | null = null;
  #confirmed = false;
  #upstreams = new Map<string, FleetUpstream>();
  #fleet: FleetRevision | null = null;
  #placement: Placement = { controls: [], stores: [], retiring: [] };
  #placementRevision = 0;
  #nodes: readonly FleetNode[] = [];
  #server: string | undefined;
  #turn = 0;
  #quorumMissing = false;
  /** Whether the last answer was one to rely on. */
  #following = true;
  #stopped = false;

  constructor(options: FleetFollowerOptions) {
    this.#options = options;
    this.#startedMs = options.clock.nowMs();
    this.#turn = options.random.below(1_000);
  }

  /** The configuration in force here; null before the first. */
  get configuration(): RoutingConfiguration | null {
    return this.#configuration;
  }

  /** Whether the configuration here was the newest at a moment after the start of this VM. */
  get confirmed(): boolean {
    return this.#confirmed;
  }

  /** Whether the quorum has been out of reach for so long that an unconfirmed configuration is better than none. */
  mayServeUnconfirmed(): boolean {
    return this.#options.clock.nowMs() - this.#startedMs >= UNCONFIRMED_MS;
  }

  /** When a caller that is refused here may find this VM ready. */
  readyInMs(): Milliseconds {
    return this.#quorumMissing ? ELECTION_MS : PAUSE_MS;
  }

  /** Upstreams that have not left. */
  get upstreams(): readonly FleetUpstream[] {
    return [...this.#upstreams.values()];
  }

  get placement(): Placement {
    return this.#placement;
  }

  /** Control and store VMs. */
  get nodes(): readonly FleetNode[] {
    return this.#nodes;
  }

  /** Control VMs to ask, those of the own zone first. */
  controls(): readonly string[] {
    const { self, seeds } = this.#options;
    const zone = self().zone;
    const near: string[] = [];
    const far: string[] = [];
    for (const node of this.#nodes) {
      if (node.role !== "control") continue;
      (node.zone === zone ? near : far).push(node.vm);
    }
    const known = [...near, ...far, ...this.#placement.controls, ...seeds()];
    return [...new Set(known)];
  }

  /** Follows until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const followed = await this.#ask();
      if (!followed) await this.#options.clock.sleep(PAUSE_MS);
    }
  }

  /** Ends following after the request that waits. */
  stop(): void {
    this.#stopped = true;
  }

  async #ask(): Promise<boolean> {
    const server = this.#choose();
    if (server === undefined) return false;
    const { network, self } = this.#options;
    const timeoutMs = WAIT_MS + ANSWER_MARGIN_MS;
    const answer = await network.request(
      { to: server, channel: "fleet", timeoutMs },
      {
        kind: "follow",
        node: self(),
        configurationVersion: this.#configuration?.version ?? 0,
        fleet: this.#fleet,
        placementRevision: this.#placementRevision,
        confirm: this.#wantsConfirmation(),
        waitMs: WAIT_MS,
      },
    );
    if (answer.ok) {
      this.#quorumMissing = false;
      const followed = answer.val as FollowAnswer;
      this.#take(followed);
      if (followed.current) this.#find(server);
      else this.#lose(server, "it hears no quorum");
      return followed.current;
    }
    this.#quorumMissing = answer.val.kind !== "not_leader" ||
      answer.val.detail === undefined;
    this.#lose(server, answer.val.message);
    return false;
  }

  #wantsConfirmation(): boolean {
    if (this.#confirmed) return false;
    const waitedMs = this.#options.clock.nowMs() - this.#startedMs;
    return waitedMs < UNCONFIRMED_MS || this.#turn % 2 === 0;
  }

  /** Keeps to one control VM while it answers; else goes round. */
  #choose(): string | undefined {
    const controls = this.controls();
    if (controls.length === 0) return undefined;
    this.#server ??= controls[this.#turn % controls.length];
    return this.#server;
  }

  #lose(server: string, reason: string): void {
    this.#turn += 1;
    if (this.#server !== server) return;
    this.#server = undefined;
    if (!this.#following) return;
    this.#following = false;
    this.#options.events.emit(MEMBERSHIP_EVENTS.controlConnectionLost, {
      server,
      reason,
    });
  }

  #find(server: string): void {
    if (this.#following) return;
    this.#following = true;
    this.#options.events.emit(MEMBERSHIP_EVENTS.controlConnectionRestored, {
      server,
    });
  }

  #take(answer: FollowAnswer): void {
    const nodesChanged = leadersOf(answer.nodes) !== leadersOf(this.#nodes);
    this.#nodes = answer.nodes;
    const changed = this.#takeState(answer);
    if (changed || nodesChanged) this.#options.onChange();
  }

  #takeState(answer: FollowAnswer): boolean {
    let changed = false;
    const { configuration, fleet, placement } = answer;
    if (configuration !== null && this.#isNewer(configuration)) {
      this.#configuration = configuration;
      changed = true;
      this.#options.events.emit(MEMBERSHIP_EVENTS.configurationActivated, {
        version: configuration.version,
      });
    }
    if (answer.confirmed && this.#configuration !== null) {
      if (!this.#confirmed) this.#returnToOwnZone();
      changed ||= !this.#confirmed;
      this.#confirmed = true;
    }
    if (placement !== null && placement.revision > this.#placementRevision) {
      this.#placement = placement.placement;
      this.#placementRevision = placement.revision;
      changed = true;
    }
    if (fleet !== null) {
      this.#takeFleet(fleet, answer.current);
      changed = true;
    }
    return changed;
  }

  #returnToOwnZone(): void {
    this.#turn = 0;
    this.#server = undefined;
  }

  #isNewer(configuration: RoutingConfiguration): boolean {
    return configuration.version > (this.#configuration?.version ?? -1);
  }

  /** What is known stays if the control VM has just started or is cut off: it does not know all then. */
  #takeFleet(
    fleet: NonNullable<FollowAnswer["fleet"]>,
    current: boolean,
  ): void {
    if (fleet.complete && current) this.#upstreams = new Map();
    for (const upstream of fleet.upstreams) {
      const known = this.#upstreams.get(upstream.id);
      if (known !== undefined && known.bornMs > upstream.bornMs) continue;
      this.#upstreams.set(upstream.id, upstream);
    }
    this.#fleet = fleet.revision;
  }
}

function leadersOf(nodes: readonly FleetNode[]): string {
  const leading = nodes.filter((node) => node.leads);
  return leading.map((node) => `${node.vm}:${node.term}`).sort().join(" ");
}
