/**
 * The smallest site that serves calls, for tests with misbehaving clients: one control VM, one store VM, one entry VM and
 * one worker, each VM a process of its own with the memory and descriptors of the test.
 *
 * @module
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import {
  Agent,
  type ClientRequest,
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  type Address,
  type Bytes,
  type FleetRole,
  MEBIBYTE,
  type Milliseconds,
} from "#core";
import {
  FakeWorker,
  METRICS_PORT_VARIABLE,
  SETTINGS_VARIABLE,
} from "#platform";
import { ManagedProcess, waitUntil } from "../../proof/managed_process.ts";
import { lockNetwork, type NetworkLock } from "../../proof/network_lock.ts";

const BUILD = join(dirname(fileURLToPath(import.meta.url)), "../..");
const PROGRAM = join(BUILD, "programs/cicadafield_node.js");
/** The flag of the deploy files. */
const NODE_FLAGS = "--max-semi-space-size=4";
const BLOCK = "127.25";
const NETWORK = 1;
const HOSTS: Readonly<Record<FleetRole, string>> = {
  entry: `${BLOCK}.${NETWORK}.10`,
  control: `${BLOCK}.${NETWORK}.20`,
  store: `${BLOCK}.${NETWORK}.30`,
};
const WORKER: Address = { host: `${BLOCK}.${NETWORK}.100`, port: 8_080 };
const PORTS = {
  callers: 8_161,
  readiness: 8_167,
  control: 8_166,
  metrics: 8_165,
  peer: 7_720,
};
const HEARTBEAT_MS: Milliseconds = 300;
const CALL_TIMEOUT_MS: Milliseconds = 5_000;
/** Body of the worker's response to a call whose path ends with `/large`. */
const LARGE_RESPONSE = Buffer.alloc(2 * MEBIBYTE, "x");

/** Name of the host that the routes serve. */
export const SITE_HOST = "site.example";
/** Time limit of everything that a test waits for. */
export const WAIT_LIMIT_MS: Milliseconds = 60_000;

const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: "cards",
      hostname: SITE_HOST,
      path_prefix: "/cards/",
      kind: "idempotent",
      timeout_ms: 10_000,
      target_latency_ms: 2_000,
      service: "cards",
      max_attempts: 2,
    },
    {
      name: "tuning",
      hostname: SITE_HOST,
      path_prefix: "/tuning/",
      kind: "rollout",
      timeout_ms: 10_000,
      target_latency_ms: 400,
      service: "models",
      max_attempts: 3,
      max_queue_s: 60,
      due_ms: 7_500,
    },
  ],
  services: [
    { name: "cards", max_conns: 50 },
    {
      name: "models",
      max_conns: 50,
      engine: { slots: 8, kv_capacity_tokens: 50_000, models: [{ name: "m" }] },
    },
  ],
};

/** Address at which a crowd appears. */
export type CrowdTarget = "callers" | "readiness" | "control" | "metrics";

/** Limits in the settings of the process under test. */
export interface ProcessLimits {
  readonly memoryMegabytes: number;
  readonly maximumDescriptors: number;
}

/** A running site. Other VMs than the one under test have ample memory. */
export class CrowdSite {
  readonly #folder = mkdtempSync(join(tmpdir(), "cicadafield-crowds-"));
  readonly #processes = new Map<FleetRole, ManagedProcess>();
  readonly #worker: FakeWorker;
  readonly #service: Server;
  #heartbeats: NodeJS.Timeout | undefined;
  #lock: NetworkLock | undefined;
  #restarts = 0;

  constructor() {
    this.#worker = new FakeWorker({
      id: "w1",
      service: "cards",
      zone: "z1",
      address: WORKER,
      models: [],
      eventMs: 10,
      startedMs: Date.now(),
    });
    this.#service = createServer((received, response) => {
      answerCall(received, response);
    });
  }

  /** Starts all processes and waits until the control VM has a configuration. */
  async start(limits: ProcessLimits): Promise<void> {
    this.#lock = await lockNetwork({ block: BLOCK, network: NETWORK });
    await new Promise<void>((resolve) =>
      this.#service.listen(WORKER, () => resolve())
    );
    for (const role of ["control", "store", "entry"] as const) {
      this.#startVm(role, limits);
    }
    await waitUntil(
      "the configuration is accepted",
      WAIT_LIMIT_MS,
      () => this.replaceConfiguration(),
    );
    this.#heartbeats = setInterval(() => {
      void this.#worker.sendHeartbeat(this.address("control"));
    }, HEARTBEAT_MS);
  }

  /** Ends all processes and removes their folders. */
  async close(): Promise<void> {
    clearInterval(this.#heartbeats);
    for (const each of this.#processes.values()) await each.cleanUp();
    this.#service.closeAllConnections();
    this.#service.close();
    rmSync(this.#folder, { recursive: true, force: true });
    await this.#lock?.release();
  }

  /** Starts the process of a role anew with these limits, and waits until it is ready. */
  async restart(
    role: FleetRole,
    limits: ProcessLimits,
  ): Promise<ManagedProcess> {
    await this.process(role).cleanUp();
    this.#restarts += 1;
    const started = this.#startVm(role, limits);
    await started.waitUntilReady(WAIT_LIMIT_MS);
    return started;
  }

  /** Returns the process of a role. */
  process(role: FleetRole): ManagedProcess {
    const found = this.#processes.get(role);
    if (found === undefined) throw new Error(`no ${role}`);
    return found;
  }

  /** Returns the address of a kind; the metrics are those of the entry VM. */
  address(target: CrowdTarget): Address {
    const host = target === "control" ? HOSTS.control : HOSTS.entry;
    return { host, port: PORTS[target] };
  }

  /** Sends an ordinary request to an address, on a connection of its own; returns whether it was served. */
  async sendOrdinaryRequest(target: CrowdTarget): Promise<boolean> {
    if (target === "control") return await this.replaceConfiguration();
    const address = this.address(target);
    if (target === "readiness") return await isServed(address, "/readyz");
    if (target === "metrics") return await isServed(address, "/metrics");
    return await isServed(address, "/cards/ordinary", { body: "card" });
  }

  /** Stores the configuration of the site, again if it is stored already. */
  replaceConfiguration(): Promise<boolean> {
    const body = JSON.stringify(CONFIGURATION);
    return isServed(this.address("control"), "/config/replace", { body });
  }

  #startVm(role: FleetRole, limits: ProcessLimits): ManagedProcess {
    const folder = join(this.#folder, role);
    mkdirSync(folder, { recursive: true });
    const settings = join(folder, "node.conf");
    writeFileSync(settings, this.#settingsText(role, limits));
    const port = role === "control" ? PORTS.control : PORTS.readiness;
    const path = role === "control" ? "healthz" : "readyz";
    const managed = new ManagedProcess({
      name: role,
      program: PROGRAM,
      arguments: [role],
      environment: {
        [SETTINGS_VARIABLE]: settings,
        NODE_OPTIONS: NODE_FLAGS,
        ...(role === "entry"
          ? { [METRICS_PORT_VARIABLE]: String(PORTS.metrics) }
          : {}),
      },
      logFile: join(folder, `log-${this.#restarts}`),
      readyUrl: `http://${HOSTS[role]}:${port}/${path}`,
    });
    this.#processes.set(role, managed);
    return managed;
  }

  #settingsText(role: FleetRole, limits: ProcessLimits): string {
    const host = HOSTS[role];
    const lines = [
      `node_name=${role}-1`,
      `ip=${host}`,
      "zone=z1",
      `internal_ports=${PORTS.peer},${PORTS.peer + 9}`,
      `seeds=${HOSTS.control}:${PORTS.control}`,
      "bootstrap=true",
      `heartbeat_ms=${HEARTBEAT_MS}`,
      "fault_tolerance.machines=0",
      "bounds.grace_s=8",
      "bounds.lease_ms=500",
      `limits.memory_mb=${limits.memoryMegabytes}`,
      `limits.max_fds=${limits.maximumDescriptors}`,
    ];
    if (role === "entry") {
      lines.push(`listen.front=${host}:${PORTS.callers}`);
      lines.push(`listen.ready=${host}:${PORTS.readiness}`);
    }
    if (role === "control") {
      lines.push(`listen.control=${host}:${PORTS.control}`);
    }
    if (role !== "entry") {
      lines.push(`data_dir=${join(this.#folder, role, "data")}`);
    }
    return lines.join("\n");
  }
}

/** Responds like a worker of a plain service. */
function answerCall(received: IncomingMessage, response: ServerResponse): void {
  received.resume();
  received.on("end", () => {
    response.setHeader("Request-Id", String(received.headers["request-id"]));
    response.setHeader("Response-Stamp", "s");
    response.end(received.url?.endsWith("/large") ? LARGE_RESPONSE : "whole");
  });
}

/** What a request consists of besides its path. */
export interface RequestContent {
  /** Sent with POST; a request without it is a GET. */
  readonly body?: string | Uint8Array;
  /** Further header fields. */
  readonly fields?: Readonly<Record<string, string>>;
  /** Size of the chunks of the body; sent in one piece with its length if absent. */
  readonly chunkBytes?: Bytes;
}

/** Sends a request; returns whether the response is complete and has status 200. */
export function isServed(
  to: Address,
  path: string,
  content: RequestContent = {},
): Promise<boolean> {
  const { body, fields = {}, chunkBytes } = content;
  return new Promise((resolve) => {
    const agent = new Agent();
    const sent = request({
      ...to,
      path,
      method: body === undefined ? "GET" : "POST",
      agent,
      headers: {
        Host: SITE_HOST,
        "Request-Id": `r${performance.now()}`,
        ...fields,
        ...(body === undefined || chunkBytes !== undefined
          ? {}
          : { "Content-Length": Buffer.byteLength(body) }),
      },
    }, (response) => {
      response.resume();
      response.on("error", () => resolve(false));
      response.on("end", () => resolve(response.statusCode === 200));
    });
    sent.setTimeout(CALL_TIMEOUT_MS, () => sent.destroy());
    // The caller tries again.
    sent.on("error", () => resolve(false));
    sent.on("close", () => {
      agent.destroy();
      resolve(false);
    });
    if (body === undefined || chunkBytes === undefined) sent.end(body);
    else writeChunks(sent, Buffer.from(body), chunkBytes);
  });
}

function writeChunks(
  sent: ClientRequest,
  body: Uint8Array,
  chunkBytes: Bytes,
): void {
  for (let start = 0; start < body.length; start += chunkBytes) {
    sent.write(body.subarray(start, start + chunkBytes));
  }
  sent.end();
}
