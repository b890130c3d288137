// deno-lint-ignore-file explicit-module-boundary-types -- JavaScript has no types.
// A worker as the pages describe it: heartbeats, reports, orders, plain requests and streams of tokens.
import { createServer } from "node:http";
import { call } from "./site.mjs";

const LOAD_MS = 900;
let started = 0;

export class Worker {
  /**
   * `models` holds the names of its models, empty for a plain service; `named(model)` returns the newest version that a
   * trainer has named; `leavesUnanswered()` decides whether an order gets no answer and is carried out late.
   */
  constructor(options) {
    this.options = { requireFence: true, slots: 12, ...options };
    const { models = [] } = options;
    this.id = options.id ?? `i-${(started += 1).toString(16).padStart(8, "0")}`;
    this.born = Date.now();
    this.versions = new Map(models.map((name) => [name, 1]));
    this.seq = 0;
    this.orders = 0;
    this.fence = -1;
    this.busy = false;
    this.state = "ready";
    this.server = createServer((incoming, response) => {
      this.#receive(incoming, response);
    });
    this.server.keepAliveTimeout = 20_000;
  }

  get address() {
    return `${this.options.ip}:8080`;
  }

  async start() {
    await new Promise((resolve) =>
      this.server.listen({ host: this.options.ip, port: 8080 }, resolve)
    );
    this.beats = setInterval(() => this.beat(), 1_200);
    this.beat();
  }

  close() {
    clearInterval(this.beats);
    this.server.close();
    this.server.closeAllConnections();
  }

  #models() {
    return [...this.versions].map(([name, version]) => ({
      name,
      version,
      adapters: [],
    }));
  }

  /** Sends a heartbeat to one control machine after the other until one acknowledges it. */
  async beat() {
    const { service, zone, slots, site } = this.options;
    this.seq += 1;
    const body = {
      service,
      address: this.options.announced ?? this.address,
      zone,
      version: "v1",
      slots,
      state: this.state,
      cold_left_ms: 0,
      seq: this.seq,
      born: this.born,
      ...(this.versions.size > 0
        ? { stage: "hybrid", models: this.#models() }
        : {}),
    };
    const path = `/workers/${this.id}/heartbeat`;
    const controls = site.controls();
    let turn = Math.floor(Math.random() * controls.length);
    for (let at = 0; at < controls.length; at += 1) {
      const to = this.heartbeatAddress ?? controls[turn++ % controls.length];
      const answer = await call(to, { method: "POST", path, body });
      if (answer.status >= 200 && answer.status < 300) {
        this.heartbeatAddress = JSON.parse(answer.text || "{}").heartbeat_addr;
        return true;
      }
      this.heartbeatAddress = undefined;
    }
    return false;
  }

  async #receive(incoming, response) {
    const chunks = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    const expected = incoming.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Not-Executed": "1" }).end();
      return;
    }
    if (incoming.url === "/report") return this.#report(response);
    if (incoming.url === "/order") return this.#order(body, response, incoming);
    this.options.serve?.(this, incoming, response, body);
  }

  #report(response) {
    response.writeHead(200, { "Content-Type": "application/json" });
    response.end(JSON.stringify({
      stage: "hybrid",
      models: this.#models(),
      busy: this.busy,
      seq: this.orders,
      num_waiting: 0,
      num_running: 0,
      kv_used: 0,
      kv_total: 100_000,
      handles: 0,
      born: this.born,
    }));
  }

  #order(body, response) {
    let order;
    try {
      order = JSON.parse(body.toString());
    } catch {
      response.writeHead(400).end();
      return;
    }
    const late = this.options.leavesUnanswered?.(this, order) === true;
    this.options.onOrder?.(this, order, late);
    if (late) {
      // It gets no answer and is carried out 2 to 12 s later.
      setTimeout(() => this.#carryOut(order), 2_000 + Math.random() * 10_000);
      return;
    }
    response.writeHead(this.#carryOut(order)).end();
  }

  #carryOut(order) {
    const { op, model, version, holder, fence, expect } = order;
    const { named, requireFence } = this.options;
    if (op !== "version" || holder === undefined || fence === undefined) {
      return 400;
    }
    if (!this.versions.has(model) || version > named(model)) return 400;
    if (requireFence && fence < this.fence) return 412;
    this.fence = Math.max(this.fence, fence);
    if (this.versions.get(model) === version) return 200;
    if (this.busy || (expect !== undefined && expect !== this.orders)) {
      return 409;
    }
    this.orders += 1;
    this.busy = true;
    setTimeout(() => {
      this.versions.set(model, version);
      this.busy = false;
    }, LOAD_MS);
    return 202;
  }
}
