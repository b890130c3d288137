/**
 * A stand-in for a worker of the platform, as PROTOCOL.md describes it: it beats, drains and leaves, answers plain
 * requests, and as a model worker streams the events of a text, reports and takes orders.
 */
import { createServer } from "node:http";
import { ask, sleep } from "./client.mjs";

const BEAT_MS = 1_200;
const LOAD_MS = 900;

class Worker {
  /**
   * `model`: null for a plain service. `writeEvent(response, text)`: how the bytes of an event are written.
   * `onRequest(run, request, response)`: handles a plain request.
   */
  constructor(options) {
    this.options = { eventMs: 40, slots: 12, software: "v1", ...options };
    this.id = options.id;
    this.born = Date.now();
    this.version = options.version ?? 1;
    this.state = "ready";
    this.beatCount = 0;
    this.orders = 0;
    this.fence = 0;
    this.isBusy = false;
    this.isUp = false;
    /** Every run: id, from when to when it was at this worker, and how it ended. */
    this.runs = [];
    this.sockets = new Set();
    this.turn = Math.floor(Math.random() * 3);
    this.server = createServer((request, response) => {
      this.#handle(request, response);
    });
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }

  async start() {
    const { host, port } = this.options.address;
    await new Promise((resolve) =>
      this.server.listen({ host, port }, () => resolve())
    );
    this.isUp = true;
    if (this.options.firstBeatMs > 0) {
      this.timer = setTimeout(() => this.beat(), this.options.firstBeatMs);
      return;
    }
    await this.beat();
    this.timer = setInterval(() => this.beat(), BEAT_MS);
  }

  /** Sends a beat, to the next machines if it is not acknowledged; returns whether it was. */
  async beat() {
    const { service, zone, slots, model, software, controls } = this.options;
    const address = this.options.announced ?? this.options.address;
    this.beatCount += 1;
    const body = JSON.stringify({
      service,
      address: `${address.host}:${address.port}`,
      zone,
      version: software,
      slots,
      state: this.state,
      cold_left_ms: 0,
      seq: this.beatCount,
      born: this.born,
      ...(model === null ? {} : { stage: "hybrid", models: this.#models() }),
    });
    return await this.#tell("heartbeat", body, controls);
  }

  /** Says that it drains, serves for `drainMs` after the acknowledgement, leaves and ends. */
  async drainAndLeave(drainMs) {
    this.state = "draining";
    const acknowledged = await this.beat();
    const acknowledgedMs = performance.now();
    await sleep(drainMs);
    clearInterval(this.timer);
    const body = JSON.stringify({ born: this.born });
    await this.#tell("leave", body, this.options.controls);
    await sleep(100);
    this.end();
    return { acknowledged, acknowledgedMs };
  }

  /** Ends at once, as a process does that is killed. */
  end() {
    this.isUp = false;
    clearInterval(this.timer);
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.server.close();
  }

  async #tell(what, body, controls) {
    for (let tries = 0; tries < 3; tries += 1) {
      const to = controls[this.turn % controls.length];
      const reply = await ask(to, {
        method: "POST",
        path: `/workers/${this.id}/${what}`,
        headers: { "Content-Type": "application/json" },
        body,
        timeoutMs: 1_000,
      });
      if (reply.status >= 200 && reply.status < 300) return true;
      this.turn += 1;
    }
    return false;
  }

  #models() {
    return [{ name: this.options.model, version: this.version, adapters: [] }];
  }

  async #handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    const { headers, url } = request;
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        "Not-Executed": "1",
        "Request-Id": headers["request-id"] ?? "",
      }).end();
      return;
    }
    if (url === "/healthz") {
      const status = this.state === "ready" ? 200 : 503;
      response.writeHead(status, { "Instance-Id": this.id }).end();
      return;
    }
    if (this.options.model !== null && url === "/report") {
      return this.#report(response);
    }
    if (this.options.model !== null && url === "/order") {
      return this.#order(JSON.parse(body.toString()), response);
    }
    const id = headers["request-id"];
    if (id === undefined) {
      response.writeHead(400, { "Not-Executed": "1" }).end();
      return;
    }
    if (this.options.model === null) {
      const run = this.#begin(id, request, body);
      response.on("close", () => {
        run.toMs = performance.now();
        run.end ??= response.writableFinished ? "answered" : "broken off";
      });
      this.options.onRequest(run, request, response, this);
      return;
    }
    this.#stream(id, request, response, body);
  }

  #begin(id, request, body) {
    const run = {
      id,
      worker: this.id,
      method: request.method,
      path: request.url,
      headers: request.headers,
      body,
      lastEventId: request.headers["last-event-id"] ?? null,
      version: this.version,
      fromMs: performance.now(),
      toMs: Infinity,
      events: 0,
    };
    this.runs.push(run);
    return run;
  }

  #report(response) {
    const running = this.runs.filter((each) => each.toMs === Infinity).length;
    response.writeHead(200, { "Content-Type": "application/json" });
    response.end(JSON.stringify({
      stage: "hybrid",
      models: this.#models(),
      busy: this.isBusy,
      seq: this.orders,
      num_waiting: 0,
      num_running: running,
      kv_used: running * 400,
      kv_total: 102_972,
      handles: 0,
      pinned: 0,
      held: 0,
      born: this.born,
    }));
  }

  #order({ op, model, version, holder, fence, expect }, response) {
    let status = 202;
    if (op !== "version" || holder === undefined || fence === undefined) {
      status = 400;
    } else if (fence < this.fence) status = 412;
    else if (this.isBusy || (expect !== undefined && expect !== this.orders)) {
      status = 409;
    } else if (model === this.options.model && version === this.version) {
      status = 200;
    }
    if (status < 300) this.fence = Math.max(this.fence, fence);
    response.writeHead(status).end();
    if (status !== 202) return;
    this.orders += 1;
    this.isBusy = true;
    // Runs go on meanwhile, and under the new version afterwards (switch_mode "retain").
    setTimeout(() => {
      this.version = version;
      this.isBusy = false;
    }, LOAD_MS);
  }

  /** Answers a run with a failure, after some work on it. */
  #fail(run, { status, afterMs }, response) {
    run.end = `answered ${status}`;
    const timer = setTimeout(() => {
      run.toMs = performance.now();
      response.writeHead(status, {
        "Content-Length": 0,
        "Request-Id": run.id,
        "Response-Stamp": `stamp.${this.id}.${run.id}`,
      }).end();
    }, afterMs);
    response.on("close", () => {
      clearTimeout(timer);
      if (run.toMs !== Infinity) return;
      run.toMs = performance.now();
      run.end = "broken off";
    });
  }

  #stream(id, request, response, body) {
    const { headers } = request;
    const running = this.runs.filter((each) => each.toMs === Infinity).length;
    if (this.isBusy || running >= this.options.slots) {
      response.writeHead(503, { "Not-Executed": "1", "Request-Id": id }).end();
      return;
    }
    const run = this.#begin(id, request, body);
    const failure = this.options.failureOf?.(id) ?? null;
    if (failure !== null) return this.#fail(run, failure, response);
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Request-Id": id,
      "Response-Stamp": `stamp.${this.id}.${id}`,
      "Weight-Versions": String(this.version),
    });
    const total = this.options.eventsOf(id, headers);
    let version = this.version;
    let next = run.lastEventId === null ? 1 : Number(run.lastEventId) + 1;
    const timer = setInterval(() => {
      if (next > total) {
        run.end = "complete";
        run.toMs = performance.now();
        clearInterval(timer);
        response.end();
        return;
      }
      const change = version === this.version
        ? ""
        : `weight-versions: ${this.version}\n`;
      version = this.version;
      const text = `${change}id: ${next}\ndata: ${
        (this.options.dataOf ?? dataOf)(id, next)
      }\n\n`;
      if (this.options.writeEvent === undefined) response.write(text);
      else this.options.writeEvent(response, text);
      run.events += 1;
      next += 1;
    }, this.options.eventMs);
    response.on("close", () => {
      clearInterval(timer);
      if (run.toMs !== Infinity) return;
      run.toMs = performance.now();
      run.end = "broken off";
    });
  }
}

/** The data of an event: the same at each worker, as the text of an item is. */
function dataOf(id, event) {
  return `${id}.${event}.`.padEnd(40, "abcdefghij");
}

export { dataOf, Worker };
