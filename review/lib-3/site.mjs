// deno-lint-ignore-file explicit-module-boundary-types -- JavaScript has no types.
// A small deployment on loopback addresses: the project's programs, started with the commands of the deploy file, and
// the processes around them. Nothing here is taken from the project's own stand-ins.
import { spawn } from "node:child_process";
import {
  appendFileSync,
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../..", import.meta.url));
export const PORTS = { front: 8161, ready: 8167, control: 8166, peer: 7720 };

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends one HTTP request on a connection of its own; resolves with `{ status, headers, text }` or `{ error }`. */
export function call(address, options) {
  const { method = "GET", path, headers = {}, body, timeoutMs = 1_000 } =
    options;
  const bytes = body === undefined
    ? undefined
    : typeof body === "string" || body instanceof Uint8Array
    ? body
    : JSON.stringify(body);
  return new Promise((resolve) => {
    const [host, port] = address.split(":");
    const sent = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...(bytes === undefined ? {} : {
          "Content-Type": "application/json",
          "Content-Length": bytes.length,
        }),
        ...headers,
      },
    });
    const timer = setTimeout(
      () => sent.destroy(new Error("timeout")),
      timeoutMs,
    );
    const end = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    sent.on("error", (error) => end({ error: error.message }));
    sent.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", (error) => end({ error: error.message }));
      response.on("end", () =>
        end({
          status: response.statusCode,
          headers: response.headers,
          text: Buffer.concat(chunks).toString(),
          whole: response.complete,
        }));
    });
    sent.end(bytes);
  });
}

/** Reads the commands of the deploy file, by role. */
function deployCommands() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const commands = {};
  for (const section of text.split(/^\[roles\./m).slice(1)) {
    const role = section.slice(0, section.indexOf("]"));
    const run = /^run = "(.*)"$/m.exec(section)[1].split(" ");
    const env = {};
    const table = /^env = \{(.*)\}$/m.exec(section)?.[1] ?? "";
    for (const [, name, value] of table.matchAll(/(\w+) = "([^"]*)"/g)) {
      env[name] = value;
    }
    commands[role] = { run, env };
  }
  return commands;
}

/** The record of a case: what was sent, answered and run. */
export class Record {
  #path;
  #startMs = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, "");
  }

  nowMs() {
    return Math.round(performance.now() - this.#startMs);
  }

  write(text) {
    const line = `${(this.nowMs() / 1_000).toFixed(3).padStart(8)} s  ${text}`;
    appendFileSync(this.#path, line + "\n");
  }
}

/** One process of the system. */
class Process {
  constructor(site, machine, role) {
    this.site = site;
    this.machine = machine;
    this.role = role;
    this.name = `${machine.name}/${role}`;
    this.starts = 0;
    this.child = undefined;
    this.exited = Promise.resolve();
  }

  start(bootstrap = false) {
    const { site, machine, role } = this;
    const folder = join(site.folder, machine.name);
    mkdirSync(join(folder, "data"), { recursive: true });
    const settings = join(folder, `${role}.conf`);
    writeFileSync(settings, site.settingsOf(machine, role, bootstrap));
    const { run, env } = site.commands[role];
    const log = openSync(join(folder, `${role}.log`), "a");
    const [program, ...parameters] = run;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, parameters, {
      cwd: ROOT,
      stdio: ["ignore", log, log],
      env: { PATH, HOME, LANG, ...env, CICADAFIELD_NODE_FILE: settings },
    });
    closeSync(log);
    this.starts += 1;
    this.child = child;
    this.exited = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        site.record.write(`${this.name} ended: ${signal ?? code}`);
        resolve({ code, signal });
      });
    });
  }

  get isRunning() {
    const { child } = this;
    return child !== undefined && child.exitCode === null &&
      child.signalCode === null;
  }

  signal(name) {
    if (this.isRunning) this.child.kill(name);
  }

  log() {
    return readFileSync(
      join(this.site.folder, this.machine.name, `${this.role}.log`),
      "utf8",
    );
  }
}

/** A deployment: store machines with `control` and `store`, and front machines. */
export class Site {
  constructor(options) {
    const { stores = 3, fronts = 3, settings = {}, record } = options;
    this.record = record;
    this.extra = settings;
    this.commands = deployCommands();
    this.folder = mkdtempSync(join(tmpdir(), "case-"));
    const a = 20 + Math.floor(Math.random() * 200);
    const b = Math.floor(Math.random() * 250);
    this.network = `127.${a}.${b}`;
    this.machines = [];
    for (let at = 0; at < stores; at += 1) {
      this.#addMachine(
        `store-${"abcdefgh"[at]}-1`,
        "store",
        `z${at % 3 + 1}`,
        10 + at,
      );
    }
    for (let at = 0; at < fronts; at += 1) {
      this.#addMachine(
        `front-${"abcdefgh"[at]}-1`,
        "front",
        `z${at % 3 + 1}`,
        50 + at,
      );
    }
  }

  #addMachine(name, kind, zone, host) {
    const machine = { name, kind, zone, ip: `${this.network}.${host}` };
    const roles = kind === "store" ? ["control", "store"] : ["entry"];
    machine.processes = roles.map((role) => new Process(this, machine, role));
    this.machines.push(machine);
    return machine;
  }

  get stores() {
    return this.machines.filter(({ kind }) => kind === "store");
  }

  get fronts() {
    return this.machines.filter(({ kind }) => kind === "front");
  }

  controls() {
    return this.stores.map(({ ip }) => `${ip}:${PORTS.control}`);
  }

  settingsOf(machine, role, bootstrap) {
    const seeds = this.controls().slice(0, 3);
    const fields = {
      node_name: machine.name,
      role,
      machine_class: machine.kind,
      ip: machine.ip,
      zone: machine.zone,
      region: "r",
      "zones.z1": "r",
      "zones.z2": "r",
      "zones.z3": "r",
      internal_ports: `${PORTS.peer},${PORTS.peer + 15}`,
      seeds: seeds.join(","),
      bootstrap: String(bootstrap),
      counts_loss: String(machine.kind === "store"),
      "limits.cpu_share": 1,
      "limits.cores": 1,
      "limits.memory_mb": machine.kind === "store" ? 430 : 350,
      "limits.max_fds": machine.kind === "store" ? 8200 : 4100,
      "limits.link_mbps": 1000,
      discovery: "registration",
      entry: "vip",
      heartbeat_ms: 1200,
      contracts: "base,drain,config,cost,recover,samples,stream,engine,batch",
      "fault_tolerance.machines": 1,
      "fault_tolerance.zones": 1,
      "fault_tolerance.regions": 0,
      "bounds.seed_lag_s": 3,
      "bounds.reuse_after_s": 2,
      "bounds.contact_ms": 3000,
      "bounds.ack_ms": 4000,
      "bounds.catch_up_s": 5.7,
      "bounds.drain_ms": 2000,
      "bounds.grace_s": 8,
      "bounds.loss_slack_ms": 200,
      "bounds.config_apply_ms": 2000,
      "bounds.revert_slack_ms": 250,
      "bounds.max_stretch_ms": 5000,
      "bounds.recovery_s": 12,
      "bounds.pass_ms": 120,
      "bounds.retry_after_s": 0,
      "bounds.finish_s": 10,
      "bounds.status_s": 120,
      "bounds.cancel_ms": 3000,
      "bounds.settle_ms": 1000,
      "bounds.require_fence": true,
      "bounds.lease_ms": 3000,
      "bounds.thaw_slack_ms": 300,
      config_mode: "highest",
      ...(role === "entry"
        ? {
          serves: "front",
          "listen.front": `${machine.ip}:${PORTS.front}`,
          "listen.ready": `${machine.ip}:${PORTS.ready}`,
        }
        : {
          data_dir: join(this.folder, machine.name, "data"),
          "limits.disk_mb": 780,
        }),
      ...(role === "control"
        ? {
          serves: "control",
          "listen.control": `${machine.ip}:${PORTS.control}`,
        }
        : {}),
      ...this.extra,
    };
    return Object.entries(fields).map(([name, value]) => `${name}=${value}\n`)
      .join("");
  }

  /** Starts all machines for the first time. */
  start() {
    for (const machine of this.machines) {
      for (const each of machine.processes) each.start(true);
    }
  }

  /** Stops a machine with SIGTERM, as the platform does, and starts it again after `pauseMs`. */
  async restart(machine, { pauseMs = 300, graceMs = 8_000 } = {}) {
    this.record.write(`platform: SIGTERM to ${machine.name}`);
    for (const each of machine.processes) each.signal("SIGTERM");
    const killer = setTimeout(() => {
      for (const each of machine.processes) each.signal("SIGKILL");
    }, graceMs);
    await Promise.all(machine.processes.map((each) => each.exited));
    clearTimeout(killer);
    await sleep(pauseMs);
    for (const each of machine.processes) each.start();
    this.record.write(`platform: ${machine.name} is started again`);
  }

  /** Resolves once all fronts are ready; rejects after `withinMs`. */
  async waitUntilReady(withinMs = 20_000) {
    const untilMs = performance.now() + withinMs;
    for (const { ip } of this.fronts) {
      while (true) {
        const answer = await call(`${ip}:${PORTS.ready}`, { path: "/readyz" });
        if (answer.status === 200) break;
        if (performance.now() > untilMs) {
          throw new Error("a front is not ready");
        }
        await sleep(100);
      }
    }
  }

  /** Sends a call of the operator or a trainer to the control machines in turn until it is acknowledged. */
  async control(method, path, body, withinMs = 15_000) {
    const untilMs = performance.now() + withinMs;
    let turn = Math.floor(Math.random() * 8);
    let address;
    while (performance.now() < untilMs) {
      const controls = this.controls();
      address ??= controls[turn++ % controls.length];
      const answer = await call(address, { method, path, body });
      if (answer.status >= 200 && answer.status < 300) return answer;
      if (answer.status === 307) {
        address = new URL(answer.headers.location).host;
        continue;
      }
      if (answer.status >= 400 && answer.status < 500) return answer;
      address = undefined;
      await sleep(100);
    }
    return { error: "no acknowledgement" };
  }

  /** Ends all processes and removes the folder. */
  async close(keepLogs = false) {
    for (const { processes } of this.machines) {
      for (const each of processes) {
        each.signal("SIGCONT");
        each.signal("SIGKILL");
      }
    }
    await Promise.all(
      this.machines.flatMap(({ processes }) =>
        processes.filter((each) => each.child).map((each) => each.exited)
      ),
    );
    if (!keepLogs) rmSync(this.folder, { recursive: true, force: true });
  }
}
