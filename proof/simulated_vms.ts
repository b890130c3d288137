/**
 * Control VMs and entry VMs in one process on virtual time, as far as calls need them: what they know of upstreams, and
 * the decisions of the leader of the control log.
 *
 * @module
 */
import {
  type Address,
  type EventLog,
  type FleetNode,
  type FleetRole,
  type FleetUpstream,
  MemoryEventLog,
  type Milliseconds,
  Ok,
  type RandomSource,
  type StoredConfiguration,
  type VirtualClock,
} from "#core";
import {
  CallerGuard,
  type ConnectionState,
  IsolationServer,
  LeaderIsolationPort,
  TrialsMachine,
} from "#crashes";
import {
  ControlLeader,
  FleetFollower,
  FleetServer,
  type Leadership,
  NO_DEPARTURES,
  serveControlRequests,
} from "#membership";
import { LeaderPermitPort, PermitClient, PermitServer } from "#quotas";
import type { MemoryNetwork } from "#wire";

/** Interval between the heartbeats of an upstream. */
export const HEARTBEAT_MS: Milliseconds = 1_000;

const CONTROL_VMS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
const MISSED_HEARTBEATS = 4;

/** What all simulated VMs share. */
export interface SimulationBase {
  readonly clock: VirtualClock;
  readonly network: MemoryNetwork;
  /** Returns the services that the configuration names; there is no configuration if absent. */
  readonly services?: () => readonly string[];
}

/** Three control VMs, of which one leads the control log. */
export class SimulatedControls {
  /** Time before which no control VM leads, as after the loss of a leader. */
  leaderlessUntilMs: Milliseconds = 0;
  readonly #base: SimulationBase;
  readonly #servers: FleetServer[] = [];
  readonly #trials = new TrialsMachine();
  #trialEntries = 0;
  #leader = 0;
  #term = 1;

  constructor(base: SimulationBase) {
    this.#base = base;
    for (const vm of CONTROL_VMS) this.#start(vm);
  }

  /** Lets one control VM receive a heartbeat; returns whether it may be acknowledged. */
  recordHeartbeat(at: number, heartbeat: FleetUpstream): boolean {
    const server = this.#servers[at % this.#servers.length];
    return server?.recordHeartbeat(heartbeat) === true;
  }

  /** Lets one control VM receive the leave call of an upstream; returns whether it may be acknowledged. */
  deregister(at: number, id: string, bornMs: Milliseconds | null): boolean {
    const server = this.#servers[at % this.#servers.length];
    return server?.deregister(id, bornMs) === true;
  }

  /** Lets another control VM lead, after a time in which none does. */
  changeLeader(at: number, leaderlessMs: Milliseconds): void {
    this.#leader = at % CONTROL_VMS.length;
    this.#term += 1;
    this.leaderlessUntilMs = this.#base.clock.nowMs() + leaderlessMs;
  }

  #leadershipOf(vm: string): Leadership {
    const leader = CONTROL_VMS[this.#leader] ?? null;
    const leads = vm === leader &&
      this.#base.clock.nowMs() >= this.leaderlessUntilMs;
    return { leads, term: this.#term, leader };
  }

  /** Counts a trial run as a committed entry of the control log does. */
  #countTrial(digest: string): Promise<boolean> {
    const index = ++this.#trialEntries;
    const atMs = this.#base.clock.wallMs();
    const counted = this.#trials.apply({ index, atMs, command: { digest } });
    return Promise.resolve(counted.ok);
  }

  #configuration(): StoredConfiguration | null {
    const { services } = this.#base;
    if (services === undefined) return null;
    const named = services().map((name) => ({
      name,
      maximumConnections: 10,
      engine: null,
    }));
    const rules = { version: 1 + named.length, routes: [], services: named };
    return { document: "", rules } as unknown as StoredConfiguration;
  }

  #start(vm: string): void {
    const { clock } = this.#base;
    const network = this.#base.network.join(vm);
    const server = new FleetServer({
      network,
      clock,
      self: () => {
        const { leads, term } = this.#leadershipOf(vm);
        return { ...describe(vm, "control", "z0"), leads, term };
      },
      epoch: vm,
      heartbeatTimeoutMs: MISSED_HEARTBEATS * HEARTBEAT_MS,
      peers: () => CONTROL_VMS,
      configuration: () => this.#configuration(),
      placement: () => ({
        revision: 1,
        placement: { controls: CONTROL_VMS, stores: [], retiring: [] },
      }),
      departures: NO_DEPARTURES,
      reachesQuorum: () => true,
      confirm: () => Promise.resolve(Ok(null)),
    });
    server.start();
    this.#servers.push(server);
    const decisions = {
      clock,
      events: new MemoryEventLog(),
      leadership: () => this.#leadershipOf(vm),
    };
    const permits = new PermitServer({
      ...decisions,
      limitsOf: (service) => server.limitsOf(service),
    });
    permits.start();
    const isolation = new IsolationServer({
      ...decisions,
      crashes: server.crashes,
      upstreamsOf: (service) => server.readyUpstreams(service),
      recordCrashes: (records) => server.recordCrashes(records),
      countTrial: (digest) => this.#countTrial(digest),
    });
    server.onChange(() => isolation.handleChange());
    serveControlRequests(network, [permits, isolation]);
  }
}

/** What an entry VM knows and asks. */
export interface SimulatedEntry {
  readonly zone: string;
  readonly follower: FleetFollower;
  readonly permits: PermitClient;
  readonly crashGuard: CallerGuard;
}

/** Options of `startEntry`. */
export interface SimulatedEntryOptions extends SimulationBase {
  readonly index: number;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly probe: (address: Address) => Promise<ConnectionState>;
}

/** Starts an entry VM; it replaces an earlier one with the same index. */
export function startEntry(options: SimulatedEntryOptions): SimulatedEntry {
  const { index, clock, random, events, probe } = options;
  const zone = `z${index % 3}`;
  const vm = `10.1.0.${index}:3`;
  const network = options.network.join(vm);
  const follower = new FleetFollower({
    network,
    clock,
    random,
    events,
    self: () => describe(vm, "entry", zone),
    seeds: () => CONTROL_VMS,
    onChange: () => {
      leader.handleVmChange();
      permits.handleFleetChange();
      crashGuard.handleFleetChange();
    },
  });
  const leader = new ControlLeader({
    network,
    clock,
    events,
    nodes: () => follower.nodes,
    controlVms: () => follower.controlVms(),
  });
  const upstreams = (): readonly FleetUpstream[] => follower.upstreams;
  const permits = new PermitClient({
    clock,
    random,
    events,
    port: new LeaderPermitPort(leader),
    upstreams,
    onBacklogPermits: () => {},
  });
  const crashGuard = new CallerGuard({
    zone,
    clock,
    events,
    crashes: follower.crashes,
    port: new LeaderIsolationPort(leader),
    upstreams,
    probe,
  });
  void follower.run();
  return { zone, follower, permits, crashGuard };
}

function describe(vm: string, role: FleetRole, zone: string): FleetNode {
  return {
    vm,
    name: vm,
    role,
    zone,
    startedMs: 0,
    firstStart: true,
    leads: false,
    term: 0,
    voters: [],
    asked: [],
  };
}
