/**
 * A small deployment on loopback addresses: the project's own programs, started with the commands of its deploy file, on
 * three store machines (control and store) and three front machines, one of each in each of three zones.
 */
import { spawn } from "node:child_process";
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { ask, sleep } from "./client.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const ZONES = ["zone-a", "zone-b", "zone-c"];

/** Reads the command and the environment of a role from the deploy file. */
function roleOf(name) {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const section = text.split(`[roles.${name}]`)[1].split("[roles.")[0];
  const run = /^run = "(.*)"$/m.exec(section)[1].split(" ");
  const env = {};
  const envText = /^env = \{(.*)\}$/m.exec(section)?.[1] ?? "";
  for (const [, key, value] of envText.matchAll(/([A-Z0-9_]+) = "([^"]*)"/g)) {
    env[key] = value;
  }
  return { run, env };
}

async function isFree(host, port) {
  const server = createServer();
  return await new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(
      { host, port, exclusive: true },
      () => server.close(() => resolve(true)),
    );
  });
}

/** One process of the project; it can be killed, stopped, continued and started again. */
class Program {
  constructor(name, { role, settings, log }) {
    this.name = name;
    this.settings = settings;
    this.log = log;
    this.role = roleOf(role);
    this.start();
  }

  start() {
    const [command, ...words] = this.role.run;
    const log = openSync(this.log, "a");
    this.child = spawn(command, words, {
      cwd: ROOT,
      stdio: ["ignore", log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        ...this.role.env,
        CICADAFIELD_NODE_FILE: this.settings,
      },
    });
    closeSync(log);
    this.ended = new Promise((resolve) => {
      this.child.once(
        "exit",
        (code, signal) => resolve(`code ${code}, signal ${signal}`),
      );
    });
  }

  get isRunning() {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  signal(name) {
    if (this.isRunning) this.child.kill(name);
  }

  async kill() {
    this.signal("SIGKILL");
    await this.ended;
  }
}

/** The deployment. */
class Site {
  /** `frontSettings`, `storeSettings`: further lines of the settings files. */
  constructor({ fronts = 3, frontSettings = [], storeSettings = [] } = {}) {
    this.fronts = fronts;
    this.frontSettings = frontSettings;
    this.storeSettings = storeSettings;
    this.folder = mkdtempSync(join(tmpdir(), "case-"));
    this.programs = new Map();
  }

  async start() {
    const block = `127.${100 + Math.floor(Math.random() * 100)}.${
      1 + Math.floor(Math.random() * 250)
    }`;
    this.block = block;
    for (let port = 21_000 + Math.floor(Math.random() * 20_000);; port += 40) {
      let free = true;
      for (let at = 0; at < 26 && free; at += 1) {
        free = await isFree(`${block}.1`, port + at);
      }
      if (!free) continue;
      this.ports = {
        internal: port,
        front: port + 20,
        ready: port + 21,
        control: port + 22,
        worker: port + 23,
      };
      break;
    }
    for (const at of ZONES.keys()) {
      this.#startProgram(`control-${at}`, "control", this.storeIp(at), at);
      this.#startProgram(`store-${at}`, "store", this.storeIp(at), at);
    }
    for (let at = 0; at < this.fronts; at += 1) {
      this.#startProgram(`front-${at}`, "entry", this.frontIp(at), at % 3);
    }
  }

  storeIp(at) {
    return `${this.block}.${10 + at}`;
  }

  frontIp(at) {
    return `${this.block}.${20 + at}`;
  }

  workerAddress(number) {
    return { host: `${this.block}.${100 + number}`, port: this.ports.worker };
  }

  frontAddress(at) {
    return { host: this.frontIp(at), port: this.ports.front };
  }

  controlAddress(at) {
    return { host: this.storeIp(at), port: this.ports.control };
  }

  controls() {
    return ZONES.map((_zone, at) => this.controlAddress(at));
  }

  program(name) {
    return this.programs.get(name);
  }

  #startProgram(name, role, ip, zone) {
    const { internal, front, ready, control } = this.ports;
    const isFront = role === "entry";
    const seeds = ZONES.map((_zone, at) => `${this.storeIp(at)}:${control}`);
    const folder = join(this.folder, name);
    mkdirSync(folder);
    const lines = [
      `node_name=${isFront ? name : `store-machine-${zone}`}`,
      `role=${role}`,
      `machine_class=${isFront ? "front" : "store"}`,
      `serves=${isFront ? "front" : role}`,
      `ip=${ip}`,
      `zone=${ZONES[zone]}`,
      "region=region-1",
      ...ZONES.map((each) => `zones.${each}=region-1`),
      `internal_ports=${internal},${internal + 15}`,
      `seeds=${seeds.join(",")}`,
      "bootstrap=true",
      `counts_loss=${!isFront}`,
      "limits.cores=2",
      `limits.memory_mb=${isFront ? 350 : 430}`,
      `limits.max_fds=${isFront ? 4100 : 8200}`,
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
      "bounds.quota_overage=0.1",
      "bounds.require_fence=true",
      "bounds.lease_ms=3000",
      "bounds.thaw_slack_ms=300",
      "config_mode=highest",
    ];
    if (isFront) {
      lines.push(`listen.front=${ip}:${front}`, `listen.ready=${ip}:${ready}`);
      lines.push(...this.frontSettings);
    } else {
      if (role === "control") lines.push(`listen.control=${ip}:${control}`);
      lines.push(`data_dir=${join(folder, "data")}`, ...this.storeSettings);
    }
    const settings = join(folder, "node.conf");
    writeFileSync(settings, lines.join("\n"));
    const log = join(folder, "output");
    this.programs.set(name, new Program(name, { role, settings, log }));
  }

  /** Sends a configuration until it is acknowledged, as an operator does. */
  async configure(configuration, withinMs = 30_000) {
    const body = JSON.stringify(configuration);
    const untilMs = performance.now() + withinMs;
    for (let turn = 0; performance.now() < untilMs; turn += 1) {
      const reply = await ask(this.controlAddress(turn % 3), {
        method: "POST",
        path: "/config/replace",
        headers: { "Content-Type": "application/json" },
        body,
        timeoutMs: 1_000,
      });
      if (reply.status === 200) return true;
      await sleep(100);
    }
    return false;
  }

  /** Names a version of a model until that is acknowledged, as a trainer does. */
  async nameVersion(model, version, withinMs = 8_000) {
    const body = JSON.stringify({ model, version });
    const untilMs = performance.now() + withinMs;
    for (let turn = 0; performance.now() < untilMs; turn += 1) {
      const reply = await ask(this.controlAddress(turn % 3), {
        method: "POST",
        path: "/version-put",
        headers: { "Content-Type": "application/json" },
        body,
        timeoutMs: 1_000,
      });
      if (reply.status === 200) return true;
      await sleep(100);
    }
    return false;
  }

  /** Waits until all front machines say that they are ready. */
  async untilReady(withinMs = 30_000) {
    const untilMs = performance.now() + withinMs;
    for (let at = 0; at < this.fronts;) {
      if (performance.now() > untilMs) return false;
      const address = { host: this.frontIp(at), port: this.ports.ready };
      const reply = await ask(address, { path: "/readyz", timeoutMs: 1_000 });
      if (reply.status === 200) at += 1;
      else await sleep(100);
    }
    return true;
  }

  logOf(name) {
    return readFileSync(this.program(name).log, "utf8");
  }

  async close() {
    for (const each of this.programs.values()) {
      each.signal("SIGCONT");
      await each.kill();
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export { Site, ZONES };
