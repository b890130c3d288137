/**
 * A cluster of `cicadafield_node` processes on loopback addresses, one VM of each role in each zone.
 *
 * @module
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath, pathToFileURL } from "node:url";
import type { Address, FleetRole, Milliseconds } from "#core";
import { SETTINGS_VARIABLE } from "#platform";
import { ManagedProcess } from "./managed_process.ts";
import { lockNetwork, type NetworkLock } from "./network_lock.ts";

const BUILD = join(dirname(fileURLToPath(import.meta.url)), "..");
const PROGRAMS = join(BUILD, "programs");
const PROGRAM = "cicadafield_node.js";
/** Names the file that a preloaded module reads. */
const CLOCK_VARIABLE = "CICADAFIELD_SOAK_CLOCK";
const ZONES = ["z1", "z2", "z3"];
const PORTS = { callers: 8161, ready: 8167, control: 8166, peer: 7720 };
const HOST_TENS: Readonly<Record<FleetRole, number>> = {
  entry: 1,
  control: 2,
  store: 3,
};

/** Addresses and programs of a `NodeCluster`. */
export interface NodeClusterOptions {
  readonly block: string;
  readonly network: number;
  /** Folder of the built programs; the programs of this build by default. */
  readonly programs?: string;
  /** Module that is loaded into each process before its program; none if absent. */
  readonly preload?: string;
  /** Flags of the runtime, as in a deploy file; none if absent. */
  readonly nodeFlags?: string;
  /** Memory of each process at which the platform ends it, in megabytes; no limit if absent. */
  readonly memoryMegabytes?: number;
  /** Further lines of the settings of each process, which take precedence; none if absent. */
  readonly settings?: readonly string[];
}

/** One VM of each role in each of three zones. */
export class NodeCluster {
  readonly #options: NodeClusterOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "cicadafield-"));
  readonly #processes = new Map<string, ManagedProcess>();
  #lock: NetworkLock | undefined;

  constructor(options: NodeClusterOptions) {
    this.#options = options;
  }

  /** Starts all VMs with empty data folders. */
  async start(): Promise<void> {
    this.#lock = await lockNetwork(this.#options);
    for (const role of ["control", "store", "entry"] as const) {
      for (const zone of ZONES.keys()) this.#startVm(role, zone);
    }
  }

  /** Kills all processes and removes their folders. */
  async close(): Promise<void> {
    for (const each of this.#processes.values()) await each.cleanUp();
    rmSync(this.#folder, { recursive: true, force: true });
    await this.#lock?.release();
  }

  /** Returns the process of a role in a zone; zones are numbered from 0. */
  vm(role: FleetRole, zone: number): ManagedProcess {
    const found = this.#processes.get(vmName(role, zone));
    if (found === undefined) throw new Error(`no ${role} in zone ${zone}`);
    return found;
  }

  /** Returns the address at which callers reach the entry VM of a zone. */
  callerAddress(zone: number): Address {
    return { host: this.host("entry", zone), port: PORTS.callers };
  }

  /** Returns the address at which upstreams and operators reach the control VM of a zone. */
  controlAddress(zone: number): Address {
    return { host: this.host("control", zone), port: PORTS.control };
  }

  /** Returns an address in the network of the cluster for a fake. */
  fakeAddress(number: number): Address {
    const { block, network } = this.#options;
    return { host: `${block}.${network}.${100 + number}`, port: 8080 };
  }

  /** Returns the IP address of the VM of a role in a zone. */
  host(role: FleetRole, zone: number): string {
    const { block, network } = this.#options;
    return `${block}.${network}.${HOST_TENS[role] * 10 + zone}`;
  }

  #startVm(role: FleetRole, zone: number): void {
    const name = vmName(role, zone);
    const folder = join(this.#folder, name);
    mkdirSync(folder);
    const settings = join(folder, "node.conf");
    writeFileSync(settings, this.#settingsText(role, zone));
    const host = this.host(role, zone);
    const port = role === "control" ? PORTS.control : PORTS.ready;
    const path = role === "control" ? "healthz" : "readyz";
    const managed = new ManagedProcess({
      name,
      program: join(this.#options.programs ?? PROGRAMS, PROGRAM),
      arguments: [role],
      environment: {
        [SETTINGS_VARIABLE]: settings,
        ...this.#preloadEnvironment(name),
      },
      logFile: join(folder, "log"),
      readyUrl: `http://${host}:${port}/${path}`,
    });
    this.#processes.set(name, managed);
  }

  /** Shifts the time of day of a VM, if the preloaded module reads it. */
  shiftClock(role: FleetRole, zone: number, byMs: Milliseconds): void {
    writeFileSync(this.#clockFile(vmName(role, zone)), String(byMs));
  }

  #preloadEnvironment(name: string): Readonly<Record<string, string>> {
    const { preload, nodeFlags = "" } = this.#options;
    if (preload === undefined) return { NODE_OPTIONS: nodeFlags };
    const file = this.#clockFile(name);
    writeFileSync(file, "0");
    return {
      [CLOCK_VARIABLE]: file,
      NODE_OPTIONS: `--import=${pathToFileURL(preload)} ${nodeFlags}`,
    };
  }

  #clockFile(name: string): string {
    return join(this.#folder, name, "clock");
  }

  #settingsText(role: FleetRole, zone: number): string {
    const host = this.host(role, zone);
    const seeds = [...ZONES.keys()].map((each) =>
      `${this.host("control", each)}:${PORTS.control}`
    );
    const lines = [
      `node_name=${vmName(role, zone)}`,
      `ip=${host}`,
      `zone=${ZONES[zone]}`,
      `internal_ports=${PORTS.peer},${PORTS.peer + 9}`,
      `seeds=${seeds.join(",")}`,
      "bootstrap=true",
      "heartbeat_ms=300",
      "fault_tolerance.machines=1",
      "bounds.grace_s=8",
      "bounds.lease_ms=500",
    ];
    const { memoryMegabytes } = this.#options;
    if (memoryMegabytes !== undefined) {
      lines.push(`limits.memory_mb=${memoryMegabytes}`);
    }
    if (role === "entry") {
      lines.push(`listen.front=${host}:${PORTS.callers}`);
      lines.push(`listen.ready=${host}:${PORTS.ready}`);
    }
    if (role === "control") {
      lines.push(`listen.control=${host}:${PORTS.control}`);
    }
    if (role !== "entry") {
      lines.push(`data_dir=${join(this.#folder, vmName(role, zone), "data")}`);
    }
    return [...lines, ...this.#options.settings ?? []].join("\n");
  }
}

function vmName(role: FleetRole, zone: number): string {
  return `${role}-${zone}`;
}
