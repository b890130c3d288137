/**
 * A worker: registers itself with heartbeats, answers plain calls, and streams events, for `streaming` routes and for
 * items of batch jobs. It resumes after `Last-Event-Id`, stops when the connection closes, and prints what it runs.
 */
import {
  createServer,
  type IncomingMessage,
  request,
  type ServerResponse,
} from "node:http";
import process from "node:process";

interface Address {
  readonly host: string;
  readonly port: number;
}

interface Settings {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly address: Address;
  readonly controls: readonly Address[];
  readonly heartbeatMs: number;
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
}

const settings = JSON.parse(process.env["WORKER"] ?? "{}") as Settings;
const { id, service, zone, address, controls, heartbeatMs } = settings;
const { lateHeartbeatMs, version = "v1", firstHeartbeatMs = 0 } = settings;
const { models = [], events = 5, eventMs = 40, workMs = 20 } = settings;
const born = Date.now();
const versions = new Map(models.map((model) => [model, 1]));
let seq = 0;
let accepted = 0;
let running = 0;
let busy = false;
let fence = 0;
let heartbeats: NodeJS.Timeout | undefined;

const print = (text: string): boolean => process.stdout.write(`${text}\n`);
const modelList = (): readonly unknown[] =>
  [...versions].map(([name, version]) => ({ name, version, adapters: [] }));

/** Returns the next heartbeat. */
function nextHeartbeat(): string {
  seq += 1;
  return JSON.stringify({
    service,
    address: `${address.host}:${address.port}`,
    zone,
    version,
    slots: 12,
    state: "ready",
    cold_left_ms: 0,
    stage: models.length > 0 ? "hybrid" : "",
    ...(models.length > 0 ? { models: modelList() } : {}),
    seq,
    born,
  });
}

/** Sends a heartbeat until one control process acknowledges it. */
async function heartbeat(): Promise<void> {
  await callControl("heartbeat", nextHeartbeat());
}

/** Calls one control process after the other; returns whether one has acknowledged the call. */
async function callControl(call: string, body: string): Promise<boolean> {
  const first = Math.floor(Math.random() * controls.length);
  for (let at = 0; at < controls.length; at += 1) {
    const control = controls[(first + at) % controls.length];
    if (control === undefined) continue;
    if (await post(control, call, body)) return true;
  }
  return false;
}

/** Leaves without having reported `draining` before, and goes on serving. */
async function leave(): Promise<void> {
  clearInterval(heartbeats);
  if (lateHeartbeatMs !== undefined) {
    const last = nextHeartbeat();
    print("the last heartbeat is on its way");
    setTimeout(async () => {
      const isAcknowledged = await callControl("heartbeat", last);
      print(`the last heartbeat has arrived: ${isAcknowledged}`);
    }, lateHeartbeatMs);
  }
  const body = JSON.stringify({ born });
  while (!await callControl("leave", body)) print("leave not acknowledged");
  print("leave acknowledged");
}

function post(
  control: Address,
  call: string,
  body: string,
): Promise<boolean> {
  return new Promise((resolve) => {
    const sent = request({
      ...control,
      method: "POST",
      path: `/workers/${id}/${call}`,
      agent: false,
      headers: {
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(body),
      },
    }, (answer) => {
      answer.resume();
      answer.on("end", () => resolve((answer.statusCode ?? 0) === 200));
    });
    sent.setTimeout(1_000, () => sent.destroy());
    sent.on("error", () => resolve(false));
    sent.end(body);
  });
}

function order(body: string, response: ServerResponse): unknown {
  const { op, model, version, expect, holder, fence: given } = JSON.parse(body);
  if (op !== "version" || holder === undefined || given === undefined) {
    return response.writeHead(400).end();
  }
  if (given < fence) return response.writeHead(412).end();
  fence = given;
  if (versions.get(model) === version) return response.writeHead(200).end();
  if (busy || (expect !== undefined && expect !== accepted)) {
    return response.writeHead(409).end();
  }
  accepted += 1;
  busy = true;
  response.writeHead(202).end();
  return setTimeout(() => {
    versions.set(model, version);
    busy = false;
  }, 900);
}

function run(call: IncomingMessage, response: ServerResponse): void {
  const requestId = String(call.headers["request-id"]);
  const after = Number(call.headers["last-event-id"] ?? 0);
  print(`runs ${requestId} ${call.method} ${call.url} after event ${after}`);
  running += 1;
  let open = true;
  response.once("close", () => {
    running -= 1;
    if (!response.writableFinished) print(`stops ${requestId}`);
    open = false;
  });
  const headers: Record<string, string> = {
    "Request-Id": requestId,
    "Response-Stamp": `stamp.${id}.${requestId}`,
  };
  const model = call.headers["model"] as string | undefined;
  const streams = model !== undefined || settings.streams === true;
  if (!streams) {
    setTimeout(() => {
      if (!open) return;
      response.writeHead(200, headers).end(`answer to ${requestId}`);
      print(`answered ${requestId}`);
    }, workMs);
    return;
  }
  headers["Content-Type"] = "text/event-stream";
  if (model !== undefined) {
    headers["Weight-Versions"] = String(versions.get(model) ?? 1);
  }
  let at = after;
  const next = (): void => {
    if (!open) return;
    if (at === after) response.writeHead(200, headers);
    at += 1;
    response.write(
      `id: ${at}\ndata: piece ${at} of ${requestId} by ${version}\n\n`,
    );
    if (at < events) {
      setTimeout(next, eventMs);
      return;
    }
    response.end();
    print(`answered ${requestId}`);
  };
  setTimeout(next, eventMs);
}

const server = createServer((call, response) => {
  const parts: Uint8Array[] = [];
  call.on("data", (part) => parts.push(part));
  call.on("end", (): unknown => {
    const wanted = call.headers["expect-instance"];
    if (wanted !== undefined && wanted !== id) {
      const requestId = call.headers["request-id"];
      return response.writeHead(421, {
        "Not-Executed": "1",
        ...(requestId === undefined ? {} : { "Request-Id": requestId }),
      }).end();
    }
    if (call.url === "/healthz") {
      return response.writeHead(200, { "Instance-Id": id }).end();
    }
    if (call.url === "/report") {
      response.writeHead(200, { "Content-Type": "application/json" });
      return response.end(JSON.stringify({
        stage: "hybrid",
        models: modelList(),
        busy,
        seq: accepted,
        born,
        num_waiting: 0,
        num_running: running,
        kv_used: 0,
        kv_total: 100_000,
        handles: 0,
      }));
    }
    const body = Buffer.concat(parts).toString();
    if (call.url === "/order") return order(body, response);
    return run(call, response);
  });
});
server.listen(address, () => {
  print(`listens, born ${born}`);
  setTimeout(() => {
    heartbeat();
    heartbeats = setInterval(heartbeat, heartbeatMs);
  }, firstHeartbeatMs);
});
process.on("SIGUSR2", leave);
