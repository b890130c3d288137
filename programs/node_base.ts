/**
 * Components that the programs of all roles on the users' platform share.
 *
 * @module
 */
import { FileFolder, type LogSizes } from "#agreement";
import {
  type Address,
  BoundedEventLog,
  ByteBudget,
  type Clock,
  type EventLog,
  type FleetNode,
  type FleetRole,
  GARBAGE_METER,
  type HeldSizes,
  hostOf,
  Metrics,
  type Milliseconds,
  PinoEventLog,
  type RandomSource,
  type ServedVersion,
  type ServiceLoad,
  SuspensionClock,
  SystemRandom,
} from "#core";
import { HTTP_EVENTS } from "./events.ts";
import { DEFAULT_HTTP_LIMITS, type HttpLimits } from "./http_limits.ts";
import { ControlLeader, type FleetFollower } from "#membership";
import type { NodeSettings } from "#platform";
import { httpBudget } from "./process_limits.ts";
import { LeaderPermitPort, PermitClient } from "#quotas";
import type { UpstreamNotices } from "#requests";
import { TcpNetwork } from "#wire";

const DEFAULT_DATA_FOLDER = "data";
const KEEP_ALIVE_MS: Milliseconds = 300_000;
const BODY_BYTES = 33_554_432;
const HEADER_BYTES = 65_536;
/** Share of the memory of the VM for responses; the largest response is always accepted while there is no other. */
const RESPONSE_MEMORY_RATIO = 0.15;

/** Offset of each role's peer port, so that a control and a store process can share a machine. */
const PEER_PORT_OFFSETS: Readonly<Record<FleetRole, number>> = {
  control: 0,
  store: 1,
  entry: 2,
};

/** HTTP limits of the servers on the users' platform. */
export const NODE_HTTP_LIMITS: HttpLimits = {
  ...DEFAULT_HTTP_LIMITS,
  maximumBodyBytes: BODY_BYTES,
  maximumHeaderBytes: HEADER_BYTES,
  keepAliveMs: KEEP_ALIVE_MS,
};

/** Components that all roles share. */
export interface NodeBase {
  readonly settings: NodeSettings;
  /** Peer address of this process. */
  readonly vm: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly network: TcpNetwork;
  /** Memory of all responses that the process reads from upstreams and writes to callers. */
  readonly responseBudget: ByteBudget;
  /** Memory of all requests and responses of the process; undefined if it has no memory limit. */
  readonly httpBudget: ByteBudget | undefined;
  /** Start of this process, in Unix milliseconds. */
  readonly startedMs: Milliseconds;
  /** Returns the peer addresses of the control VMs in the current settings. */
  readonly seeds: () => readonly string[];
}

/** Logs the start of a node with its main settings. */
export function logStart(base: NodeBase): void {
  const { name, zone, seeds, firstStart } = base.settings;
  base.events.emit(HTTP_EVENTS.nodeStarted, {
    vm: name,
    zone,
    seeds: seeds.map((seed) => seed.host),
    firstStart,
  });
}

/** Logs that the settings have changed. */
export function logReload(base: NodeBase, settings: NodeSettings): void {
  const seeds = settings.seeds.map((seed) => seed.host);
  base.events.emit(HTTP_EVENTS.nodeReloaded, { seeds });
}

/** The process of one role, run by the main program. */
export interface PlatformNode {
  /** Opens the listen addresses and starts all components; rejects on failure. */
  start(): Promise<void>;
  /** Finishes the work in progress and closes all connections. */
  drain(): Promise<void>;
  /** Applies changed settings. */
  reload(settings: NodeSettings): void;
}

/** Builds the shared components without opening any address or file. */
export function buildNodeBase(
  settings: NodeSettings,
  options: {
    readonly role: FleetRole;
    /** Returns the current settings. */
    readonly current: () => NodeSettings;
  },
): NodeBase {
  const clock = new SuspensionClock();
  const pinoLog = new PinoEventLog({
    program: `cicadafield-${options.role}`,
    level: "info",
    writes: "queued",
  });
  const events = new BoundedEventLog(pinoLog, clock);
  const port = settings.firstPeerPort + PEER_PORT_OFFSETS[options.role];
  const vm = `${settings.ip}:${port}`;
  const network = new TcpNetwork({
    cluster: "cicadafield",
    self: vm,
    listen: { host: settings.ip, port },
    clock,
    events,
    resolve: parsePeerAddress,
  });
  // A store VM uses its memory for batches up to the limit, and reads events of engines all the time: collecting often
  // would cost it the processor, and no client reaches it.
  if (settings.memoryLimitBytes !== null && options.role !== "store") {
    GARBAGE_METER.setMemoryLimit(settings.memoryLimitBytes);
  }
  const sharedBudget = httpBudget(settings, BODY_BYTES);
  const controlPort = settings.firstPeerPort + PEER_PORT_OFFSETS.control;
  return {
    settings,
    vm,
    clock,
    random: new SystemRandom(),
    events,
    metrics: new Metrics(),
    network,
    responseBudget: new ByteBudget({
      maximumBytes: Math.min(
        NODE_HTTP_LIMITS.maximumHeldResponseBytes,
        (settings.memoryLimitBytes ?? Infinity) * RESPONSE_MEMORY_RATIO,
      ),
      maximumBodyBytes: BODY_BYTES,
      ...(sharedBudget === undefined ? {} : { parent: sharedBudget }),
    }),
    httpBudget: sharedBudget,
    startedMs: clock.wallMs(),
    seeds: () =>
      options.current().seeds.map((seed) => `${seed.host}:${controlPort}`),
  };
}

/** Returns the description of a node that it reports to other VMs. */
export function describeNode(
  base: NodeBase,
  role: FleetRole,
  group: {
    readonly leads: boolean;
    readonly term: number;
    readonly voters: readonly string[];
    readonly asked?: readonly ServedVersion[];
    readonly load?: readonly ServiceLoad[];
  },
): FleetNode {
  const { settings } = base;
  return {
    vm: base.vm,
    name: settings.name,
    role,
    zone: settings.zone,
    startedMs: base.startedMs,
    firstStart: settings.firstStart,
    asked: [],
    ...group,
  };
}

/** Passes what upstreams state in responses on to the follower of the fleet, which acts on it and tells the other VMs. */
export function upstreamNotices(follower: FleetFollower): UpstreamNotices {
  return {
    onLeaving: (upstream) => follower.reportLeaving(upstream),
    onRequestLimit: (upstream, perSecond) =>
      follower.reportRequestLimit(upstream, perSecond),
  };
}

/** Returns the leader of the control log, as a VM that follows the fleet asks it. */
export function buildControlLeader(
  base: NodeBase,
  follower: FleetFollower,
): ControlLeader {
  return new ControlLeader({
    ...base,
    nodes: () => follower.nodes,
    controlVms: () => follower.controlVms(),
  });
}

/** Connects the permits of a VM to the control VM that issues them. */
export function buildPermits(
  base: NodeBase,
  options: {
    readonly follower: FleetFollower;
    readonly leader: ControlLeader;
    readonly onBacklogPermits: () => void;
  },
): PermitClient {
  const { follower, leader, onBacklogPermits } = options;
  return new PermitClient({
    ...base,
    port: new LeaderPermitPort(leader),
    upstreams: () => follower.upstreams,
    onBacklogPermits,
  });
}

/** Returns what a replica of a log holds, under the names of memory events and metrics. */
export function logBytes(log: LogSizes | undefined): HeldSizes["bytes"] {
  return {
    log: log?.logBytes ?? 0,
    snapshot: log?.snapshotBytes ?? 0,
    state: log?.stateBytes ?? 0,
  };
}

/** Returns the number of replicas of which a majority survives the tolerated losses at the same time. */
export function replicaCountFor(toleratedLosses: number): number {
  return 2 * toleratedLosses + 1;
}

function parsePeerAddress(vm: string): Address {
  const host = hostOf(vm);
  return { host, port: Number(vm.slice(host.length + 1)) };
}

/** Returns the files of a role, or of a part of it, in the data folder of its machine. */
export function openDataFolder(
  settings: NodeSettings,
  part: FleetRole | "crashes",
): FileFolder {
  return new FileFolder(settings.dataFolder ?? DEFAULT_DATA_FOLDER, {
    lock: "none",
    prefix: `${part}-`,
  });
}
