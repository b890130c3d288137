/**
 * What the programs of a node on the platform have in common.
 *
 * @module
 */
import { FileFolder } from "#agreement";
import {
  type Address,
  BoundedEventLog,
  type Clock,
  type EventLog,
  type FleetNode,
  type FleetRole,
  hostOf,
  Metrics,
  type Milliseconds,
  PinoEventLog,
  type RandomSource,
  type ServedVersion,
  SuspensionClock,
  SystemRandom,
} from "#core";
import { HTTP_EVENTS } from "./events.ts";
import { DEFAULT_HTTP_LIMITS, type HttpLimits } from "./http_limits.ts";
import type { NodeSettings } from "#platform";
import { TcpNetwork } from "#wire";

const DEFAULT_FOLDER = "data";
const KEEP_ALIVE_MS: Milliseconds = 300_000;
const BODY_BYTES = 33_554_432;
const HEADER_BYTES = 65_536;

/** Peer ports of the roles, so that a control and a store process can share a machine. */
const PORT_OFFSETS: Readonly<Record<FleetRole, number>> = {
  control: 0,
  store: 1,
  entry: 2,
};

/** Limits of the servers that the platform's callers use. */
export const NODE_HTTP_LIMITS: HttpLimits = {
  ...DEFAULT_HTTP_LIMITS,
  maximumBodyBytes: BODY_BYTES,
  maximumHeaderBytes: HEADER_BYTES,
  keepAliveMs: KEEP_ALIVE_MS,
};

/** The common parts of a node. */
export interface NodeBase {
  readonly settings: NodeSettings;
  /** Peer address of this process. */
  readonly vm: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly network: TcpNetwork;
  readonly startedMs: Milliseconds;
  /** Addresses of control VMs that the settings name now. */
  readonly seeds: () => readonly string[];
}

/** Says that a node has started, with what it was told. */
export function logStart(base: NodeBase): void {
  const { name, zone, seeds, firstStart } = base.settings;
  base.events.emit(HTTP_EVENTS.nodeStarted, {
    vm: name,
    zone,
    seeds: seeds.map((seed) => seed.host),
    firstStart,
  });
}

/** Says that the settings have changed. */
export function logReload(base: NodeBase, settings: NodeSettings): void {
  const seeds = settings.seeds.map((seed) => seed.host);
  base.events.emit(HTTP_EVENTS.nodeReloaded, { seeds });
}

/** A node that the main program runs. */
export interface PlatformNode {
  /** Opens everything; rejects if that can't be done. */
  start(): Promise<void>;
  /** Finishes what was begun and closes. */
  drain(): Promise<void>;
  /** Takes settings that have changed. */
  reload(settings: NodeSettings): void;
}

/** Builds the common parts; opens nothing. */
export function buildNodeBase(
  settings: NodeSettings,
  options: {
    readonly role: FleetRole;
    /** The settings as they are now. */
    readonly current: () => NodeSettings;
  },
): NodeBase {
  const clock = new SuspensionClock();
  const lines = new PinoEventLog({
    program: `cicadafield-${options.role}`,
    level: "info",
    writes: "queued",
  });
  const events = new BoundedEventLog(lines, clock);
  const port = settings.firstPeerPort + PORT_OFFSETS[options.role];
  const vm = `${settings.ip}:${port}`;
  const network = new TcpNetwork({
    cluster: "cicadafield",
    self: vm,
    listen: { host: settings.ip, port },
    clock,
    events,
    resolve: peerAddress,
  });
  const controlPort = settings.firstPeerPort + PORT_OFFSETS.control;
  return {
    settings,
    vm,
    clock,
    random: new SystemRandom(),
    events,
    metrics: new Metrics(),
    network,
    startedMs: clock.wallMs(),
    seeds: () =>
      options.current().seeds.map((seed) => `${seed.host}:${controlPort}`),
  };
}

/** A node as it tells of itself. */
export function describeNode(
  base: NodeBase,
  role: FleetRole,
  group: {
    readonly leads: boolean;
    readonly term: number;
    readonly voters: readonly string[];
    readonly asked?: readonly ServedVersion[];
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

/** Replicas of which a majority stays when the tolerated losses happen at once. */
export function replicaCountFor(toleratedLosses: number): number {
  return 2 * toleratedLosses + 1;
}

function peerAddress(vm: string): Address {
  const host = hostOf(vm);
  return { host, port: Number(vm.slice(host.length + 1)) };
}

/** The files of a role in the data folder of its machine. */
export function openDataFolder(
  settings: NodeSettings,
  role: FleetRole,
): FileFolder {
  return new FileFolder(settings.dataFolder ?? DEFAULT_FOLDER, {
    lock: "none",
    prefix: `${role}-`,
  });
}
