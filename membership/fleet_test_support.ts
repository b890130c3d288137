/**
 * Control VMs and one entry VM that follows them, for tests of what goes round between them.
 *
 * @module
 */
import {
  Err,
  fail,
  type FleetNode,
  type FleetRole,
  type FleetUpstream,
  MemoryEventLog,
  Ok,
  type RoutingConfiguration,
  SeededRandom,
  VirtualClock,
} from "#core";
import { MemoryNetwork } from "#wire";
import { NO_DEPARTURES } from "./departures_machine.ts";
import { FleetFollower } from "./fleet_follower.ts";
import { FleetServer } from "./fleet_server.ts";

/** Peer addresses of the control VMs of a test. */
export const CONTROLS = ["c1:1", "c2:1", "c3:1"];

/** Returns a VM that leads nothing. */
export function createNode(
  vm: string,
  role: FleetRole,
  zone: string,
): FleetNode {
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

function createConfiguration(version: number): RoutingConfiguration {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

/** Returns a ready upstream. */
export function createUpstream(
  change: Partial<FleetUpstream> = {},
): FleetUpstream {
  return {
    id: "u",
    bornMs: 1,
    sequence: 1,
    service: "s",
    zone: "z1",
    address: { host: "10.0.0.1", port: 1 },
    slots: 1,
    phase: "ready",
    serves: [],
    ...change,
  };
}

/** A control VM whose state the test sets. */
export interface Control {
  readonly server: FleetServer;
  version: number;
  reachesQuorum: boolean;
  /** The control VM that it names as the leader; it leads itself if null. */
  leader: string | null;
}

/** Three control VMs and a follower on one virtual clock. */
export class TestCluster {
  readonly clock = new VirtualClock();
  readonly network = new MemoryNetwork({
    clock: this.clock,
    random: new SeededRandom(3),
  });
  readonly controls: readonly Control[];
  readonly follower: FleetFollower;
  /** Log events of the follower. */
  readonly events = new MemoryEventLog();

  constructor() {
    this.controls = CONTROLS.map((vm, index) => this.#createControl(vm, index));
    this.follower = new FleetFollower({
      network: this.network.join("e1:3"),
      clock: this.clock,
      random: new SeededRandom(4),
      events: this.events,
      self: () => createNode("e1:3", "entry", "z1"),
      seeds: () => CONTROLS,
      onChange: () => {},
    });
  }

  async start(): Promise<void> {
    for (const { server } of this.controls) server.start();
    this.follower.run();
    await this.clock.advanceAsync(5_000);
  }

  /** Returns a control VM by its index. */
  control(at: number): Control {
    const found = this.controls[at];
    if (found === undefined) throw new Error(`no control VM ${at}`);
    return found;
  }

  /** Creates another control VM, which is not part of the placement. */
  addControl(vm: string): Control {
    return this.#createControl(vm, 0);
  }

  #createControl(vm: string, at: number): Control {
    const control: { -readonly [Key in keyof Control]?: Control[Key] } = {
      version: 1,
      reachesQuorum: true,
      leader: null,
    };
    control.server = new FleetServer({
      network: this.network.join(vm),
      clock: this.clock,
      self: () => createNode(vm, "control", `z${at + 1}`),
      epoch: vm,
      heartbeatTimeoutMs: 4_000,
      peers: () => CONTROLS,
      configuration: () => ({
        document: "",
        rules: createConfiguration(control.version ?? 0),
      }),
      placement: () => ({
        revision: 1,
        placement: { controls: CONTROLS, stores: [], retiring: [] },
      }),
      departures: NO_DEPARTURES,
      reachesQuorum: () => control.reachesQuorum === true,
      confirm: () => {
        const detail = control.leader ?? null;
        if (detail === null) return Promise.resolve(Ok(null));
        const message = `${detail} is the leader`;
        return Promise.resolve(Err(fail("not_leader", message, { detail })));
      },
    });
    return control as Control;
  }
}
