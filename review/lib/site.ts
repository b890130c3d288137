/**
 * A small deployment on loopback addresses: three store machines, each with a control and a store process, and one
 * entry machine in each of three zones. The processes are started with the commands of the deploy file. Workers are
 * stand-ins, each a process of its own.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, rmSync } from "node:fs";
import { readFileSync, writeFileSync } from "node:fs";
import { type IncomingHttpHeaders, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const HERE = dirname(fileURLToPath(import.meta.url));
const ROOT = join(HERE, "..", "..", "..");
const ZONES = ["nbo-a", "nbo-b", "nbo-c"];
const START_LIMIT_MS = 40_000;
const ENDED_LIMIT_MS = 3_000;
/** Exit code of a case that could not run. */
const NOT_RUN = 2;

/** An address on which something listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** A request that a client sends. */
export interface Sent {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** Time after which the client gives up. */
  readonly limitMs?: number;
}

/** What came back for a request. */
export interface Answer {
  /** 0 if no response has begun. */
  readonly status: number;
  readonly text: string;
  readonly headers: IncomingHttpHeaders;
  /** `whole`, `cut`, `no end` or the error of the connection. */
  readonly outcome: string;
  readonly tookMs: number;
}

/** A worker. */
export interface WorkerOptions {
  readonly number: number;
  readonly zone: number;
  readonly service: string;
  readonly models?: readonly string[];
  /** Whether a plain service answers with events. */
  readonly streams?: boolean;
  readonly events?: number;
  readonly eventMs?: number;
  readonly workMs?: number;
  /** How late the last heartbeat before the leave call arrives; it is none if absent. */
  readonly lateHeartbeatMs?: number;
  /** Version of its software. */
  readonly version?: string;
  /** How late its first heartbeat arrives. */
  readonly firstHeartbeatMs?: number;
  readonly onLine?: (line: string) => void;
}

type Role = "entry" | "control" | "store";

/** Waits for a time. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Reads the command of a role and its metrics port from the deploy file. */
function deployed(
  role: Role,
): { readonly run: readonly string[]; readonly metrics: string } {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(/^\[roles\./m).find((each) =>
    each.startsWith(`${role}]`)
  );
  const run = /^run = "(.*)"$/m.exec(section ?? "")?.[1];
  if (run === undefined) throw new Error(`no command for ${role}`);
  const metrics = /METRICS_PORT = "(\d+)"/.exec(section ?? "")?.[1] ?? "";
  return { run: run.split(" "), metrics };
}

function canBind(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}

/** Sends one request on a connection of its own; resolves with status 0 if there is no complete response in time. */
export function send(
  to: Address,
  path: string,
  options: Sent = {},
): Promise<Answer> {
  const { method = "GET", headers = {}, body, limitMs = 5_000 } = options;
  const startedMs = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    let text = "";
    let answerHeaders: IncomingHttpHeaders = {};
    const finish = (outcome: string): void => {
      clearTimeout(timer);
      const tookMs = Math.round(performance.now() - startedMs);
      resolve({ status, text, headers: answerHeaders, outcome, tookMs });
      sent.destroy();
    };
    const timer = setTimeout(() => finish("no end"), limitMs);
    const sent = request({
      host: to.host,
      port: to.port,
      path,
      method,
      agent: false,
      headers: body === undefined
        ? headers
        : { ...headers, "Content-Length": Buffer.byteLength(body) },
    }, (answer) => {
      status = answer.statusCode ?? 0;
      answerHeaders = answer.headers;
      answer.on("data", (part) => text += String(part));
      answer.on("end", () => finish(answer.complete ? "whole" : "cut"));
      answer.on("error", () => finish("cut"));
    });
    sent.on("error", (error) => finish(error.message));
    sent.end(body);
  });
}

/** The processes of one run, and its record. */
export class Site {
  readonly recordFile: string;
  readonly #folder = mkdtempSync(join(tmpdir(), "cicadafield-review-"));
  readonly #processes = new Map<string, ChildProcess>();
  readonly #startedMs = performance.now();
  #prefix = "";
  #firstPort = 0;

  constructor(recordFile: string) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, "");
  }

  /** Writes a line to the record, with the time since the start. */
  note(text: string): void {
    const seconds = (performance.now() - this.#startedMs) / 1_000;
    appendFileSync(this.recordFile, `${seconds.toFixed(3)} ${text}\n`);
  }

  /** Address of the entry machine of a zone. */
  entry(zone: number): Address {
    return { host: `${this.#prefix}.${10 + zone}`, port: this.#ports.front };
  }

  /** Address of the control process of a zone. */
  control(zone: number): Address {
    return { host: `${this.#prefix}.${30 + zone}`, port: this.#ports.control };
  }

  /** Names of the zones. */
  get zones(): readonly string[] {
    return ZONES;
  }

  get #ports(): Readonly<
    Record<"front" | "ready" | "control" | "peer" | "worker", number>
  > {
    const first = this.#firstPort;
    return {
      front: first,
      ready: first + 1,
      control: first + 2,
      peer: first + 10,
      worker: first + 30,
    };
  }

  /** Starts all machines; resolves when the entry machines answer. */
  async start(): Promise<void> {
    await this.#choosePorts();
    for (const zone of ZONES.keys()) {
      this.startMachine("control", zone);
      this.startMachine("store", zone);
      this.startMachine("entry", zone);
    }
    await this.waitFor("all processes listen", async () => {
      for (const zone of ZONES.keys()) {
        const { host } = this.entry(zone);
        const ready = { host, port: this.#ports.ready };
        if ((await send(ready, "/readyz")).status === 0) return false;
        const read = await send(this.control(zone), "/config/read");
        if (read.status === 0) return false;
      }
      return true;
    });
    this.note("all processes listen");
  }

  async #choosePorts(): Promise<void> {
    for (let attempt = 0; attempt < 50; attempt += 1) {
      const draw = (from: number, to: number): number =>
        from + Math.floor(Math.random() * (to - from));
      this.#prefix = `127.${draw(20, 250)}.${draw(1, 250)}`;
      this.#firstPort = draw(20_000, 30_000);
      let free = true;
      for (const host of [10, 11, 12, 30, 31, 32]) {
        for (const port of Object.values(this.#ports)) {
          free = free && await canBind(`${this.#prefix}.${host}`, port);
        }
      }
      if (free) return;
    }
    throw new Error("no free ports");
  }

  /** Starts, or starts again, the process of a role in a zone. */
  startMachine(role: Role, zone: number, bootstrap = true): void {
    const name = `${role}-${zone}`;
    const folder = join(this.#folder, `machine-${role}-${zone}`);
    mkdirSync(folder, { recursive: true });
    const file = join(folder, "node.conf");
    writeFileSync(file, this.#settings(role, zone, bootstrap));
    const { run: [program = "", ...args], metrics } = deployed(role);
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env["PATH"],
        HOME: process.env["HOME"],
        CICADAFIELD_NODE_FILE: file,
        CICADAFIELD_METRICS_PORT: metrics,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#track(name, child);
    if (process.env["SHOW"] === "1") {
      const log = (part: Uint8Array): void =>
        appendFileSync(join(tmpdir(), `${name}.txt`), part);
      child.stdout.on("data", log);
      child.stderr.on("data", log);
    } else {
      child.stdout.resume();
      child.stderr.resume();
    }
  }

  #track(name: string, child: ChildProcess): void {
    this.#processes.set(name, child);
    child.once("exit", (code, signal) => {
      if (this.#processes.get(name) !== child) return;
      this.#processes.delete(name);
      this.note(`process ${name} ended: ${signal ?? code}`);
    });
  }

  #settings(role: Role, zone: number, bootstrap: boolean): string {
    const ip = `${this.#prefix}.${role === "entry" ? 10 + zone : 30 + zone}`;
    const { front, ready, control, peer } = this.#ports;
    const seeds = [...ZONES.keys()].map((each) =>
      `${this.#prefix}.${30 + each}:${control}`
    );
    const machineClass = role === "entry" ? "front" : "store";
    const lines = [
      `node_name=${machineClass}-${ZONES[zone]}-1`,
      `role=${role}`,
      `machine_class=${machineClass}`,
      `ip=${ip}`,
      `zone=${ZONES[zone]}`,
      "region=nbo",
      ...ZONES.map((each) => `zones.${each}=nbo`),
      `internal_ports=${peer},${peer + 15}`,
      `seeds=${seeds.join(",")}`,
      `bootstrap=${bootstrap}`,
      `counts_loss=${role !== "entry"}`,
      `limits.memory_mb=${role === "entry" ? 350 : 430}`,
      `limits.max_fds=${role === "entry" ? 4_100 : 8_200}`,
      "discovery=registration",
      "entry=vip",
      "heartbeat_ms=1200",
      "contracts=base,drain,config,cost,recover,samples,stream,engine,batch",
      "fault_tolerance.machines=1",
      "fault_tolerance.zones=1",
      "fault_tolerance.regions=0",
      "bounds.seed_lag_s=3",
      "bounds.reuse_after_s=2",
      "bounds.contact_ms=3000",
      "bounds.ack_ms=4000",
      "bounds.catch_up_s=5.7",
      "bounds.drain_ms=2000",
      "bounds.grace_s=8",
      "bounds.loss_slack_ms=200",
      "bounds.config_apply_ms=2000",
      "bounds.revert_slack_ms=250",
      "bounds.max_stretch_ms=5000",
      "bounds.recovery_s=12",
      "bounds.pass_ms=120",
      "bounds.retry_after_s=0",
      "bounds.finish_s=10",
      "bounds.status_s=120",
      "bounds.cancel_ms=3000",
      "bounds.settle_ms=1000",
      "bounds.require_fence=true",
      "bounds.lease_ms=3000",
      "bounds.thaw_slack_ms=300",
      "config_mode=highest",
    ];
    if (role === "entry") {
      lines.push("serves=front", `listen.front=${ip}:${front}`);
      lines.push(`listen.ready=${ip}:${ready}`);
    } else {
      const data = join(this.#folder, `disk-${zone}`);
      mkdirSync(data, { recursive: true });
      lines.push(`serves=${role}`, `data_dir=${data}`);
      if (role === "control") lines.push(`listen.control=${ip}:${control}`);
    }
    return lines.join("\n") + "\n";
  }

  /** Starts a worker; its lines are noted. */
  startWorker(name: string, options: WorkerOptions): Address {
    const { number, zone } = options;
    const address = {
      host: `${this.#prefix}.${100 + number}`,
      port: this.#ports.worker,
    };
    const settings = {
      ...options,
      id: name,
      zone: ZONES[zone],
      address,
      controls: [...ZONES.keys()].map((each) => this.control(each)),
      heartbeatMs: 1_200,
    };
    const child = spawn("node", [join(HERE, "worker.js")], {
      env: {
        PATH: process.env["PATH"],
        WORKER: JSON.stringify(settings),
      },
      stdio: ["ignore", "pipe", "inherit"],
    });
    createInterface({ input: child.stdout }).on("line", (line) => {
      this.note(`${name} ${line}`);
      options.onLine?.(line);
    });
    this.#track(name, child);
    return address;
  }

  /** Sends a signal to a process that this run started. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.note(`${signal} to ${name}`);
    const child = this.#processes.get(name);
    if (child !== undefined) child.kill(signal);
  }

  /** Whether a process that this run started still runs. */
  isRunning(name: string): boolean {
    return this.#processes.has(name);
  }

  /** Waits until a condition holds; throws if it does not within 40 s. */
  async waitFor(
    what: string,
    holds: () => Promise<boolean>,
  ): Promise<void> {
    const untilMs = performance.now() + START_LIMIT_MS;
    while (performance.now() < untilMs) {
      if (await holds()) return;
      await sleep(200);
    }
    throw new Error(`not in time: ${what}`);
  }

  /** Sends a configuration as the operator does, to one control process after the other, until it is acknowledged. */
  async configure(
    configuration: { readonly version: number },
  ): Promise<void> {
    const body = JSON.stringify(configuration);
    await this.waitFor("the configuration is acknowledged", async () => {
      for (const zone of ZONES.keys()) {
        const answer = await send(this.control(zone), "/config/replace", {
          method: "POST",
          body,
          headers: { "Content-Type": "application/json" },
          limitMs: 1_000,
        });
        const { version } = configuration;
        this.note(
          `configuration ${version} sent to control-${zone}: ${answer.status}`,
        );
        if (answer.status === 200) return true;
      }
      return false;
    });
  }

  /** Ends all processes that this run started and removes their files. */
  async close(): Promise<void> {
    const children = [...this.#processes.values()];
    this.#processes.clear();
    await Promise.all(children.map((child) => {
      const ended = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGCONT");
      child.kill("SIGKILL");
      return Promise.race([ended, sleep(ENDED_LIMIT_MS)]);
    }));
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Runs a case: `play` returns whether its rule held. */
export async function runCase(
  play: (site: Site, trouble: boolean) => Promise<boolean>,
): Promise<void> {
  const recordFile = join(process.argv[2] ?? ".", "record.txt");
  const trouble = process.env["TROUBLE"] !== "0";
  const site = new Site(recordFile);
  site.note(trouble ? "with the disruption" : "without the disruption");
  let code = NOT_RUN;
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => site.close().then(() => process.exit(NOT_RUN)));
  }
  try {
    await site.start();
    code = await play(site, trouble) ? 0 : 1;
    site.note(code === 0 ? "the rule held" : "the rule was broken");
  } catch (error) {
    site.note(`the case could not run: ${error}`);
  }
  await site.close();
  console.log(`exit ${code}, see ${recordFile}`);
  process.exit(code);
}
