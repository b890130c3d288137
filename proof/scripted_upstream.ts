/**
 * Upstreams that send given bytes, and an entry server in front of them, over real connections.
 *
 * @module
 */
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import {
  type Bytes,
  type FleetUpstream,
  type HttpRoute,
  MemoryEventLog,
  type Milliseconds,
  type RouteRule,
  SeededRandom,
  SystemClock,
} from "#core";
import { TrustedCalls } from "#crashes";
import { UnlimitedPermits } from "#quotas";
import { Forwarder } from "#requests";
import { TestDialect } from "../requests/test_dialect.ts";
import { failureResponse } from "../programs/failure_response.ts";
import { RawClient, withServer } from "../programs/http_testing.ts";

const HOST = "site.example";
const REQUEST_ID = "r1";
const DEADLINE_MS: Milliseconds = 2_000;

/** What an upstream sends after it has received a call, and how it ends the connection. */
export interface Script {
  readonly bytes: string;
  readonly end: "close" | "reset" | "reset_at_once" | "keep";
}

/** Returns a response that names the call, with a stamp unless `stamp` is false. */
export function responseBytes(options: {
  readonly status?: string;
  readonly headers?: readonly string[];
  readonly stamp?: boolean;
  readonly body: string;
}): string {
  const { status = "200 OK", headers = [], stamp = true, body } = options;
  const lines = [
    `HTTP/1.1 ${status}`,
    `X-Id: ${REQUEST_ID}`,
    ...(stamp ? ["X-Stamp: s1"] : []),
    ...headers,
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Returns events with consecutive identifiers. */
export function eventsOf(from: number, to: number): string {
  let text = "";
  for (let id = from; id <= to; id += 1) text += `id: ${id}\ndata: d${id}\n\n`;
  return text;
}

/** Returns text as one chunk of a chunked body. */
export function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** What a caller receives. */
export interface Received {
  readonly status: number;
  readonly headers: string;
  /** The body without its framing. */
  readonly body: string;
  /** Whether the framing says that the response is complete. */
  readonly isComplete: boolean;
}

/** Sends a call to an entry server whose upstreams follow these scripts, the first one first; returns what comes back. */
export async function callThrough(
  scripts: readonly Script[],
  route: Partial<RouteRule>,
  uploadBytes: Bytes = 1,
): Promise<Received> {
  const servers: Server[] = [];
  const upstreams: FleetUpstream[] = [];
  for (const [at, script] of scripts.entries()) {
    const server = await startScripted(script);
    servers.push(server);
    upstreams.push(
      describeUpstream(at, (server.address() as AddressInfo).port),
    );
  }
  const forwarder = new Forwarder({
    zone: "here",
    clock: new SystemClock(),
    random: new SeededRandom(1),
    events: new MemoryEventLog(),
    dialect: new TestDialect(),
    upstreams: () => upstreams,
    onLeaving: () => {},
    onRequestLimit: () => {},
    permits: new UnlimitedPermits(),
    crashGuard: new TrustedCalls(),
  });
  const routes = [forwardingRoute(forwarder, { ...ROUTE, ...route })];
  let received = "";
  try {
    await withServer({ routes }, async ({ address }) => {
      const client = new RawClient(address);
      client.send(callBytes(uploadBytes));
      received = await client.untilClosed();
    });
  } finally {
    forwarder.close();
    for (const server of servers) server.close();
  }
  return parseReceived(received);
}

const ROUTE: RouteRule = {
  name: "route",
  host: HOST,
  pathPrefix: "/a/",
  kind: "idempotent",
  timeoutMs: DEADLINE_MS,
  objectiveMs: DEADLINE_MS,
  priority: 1,
  split: [{ service: "s", weight: 1 }],
  maximumAttempts: 3,
  resumable: false,
  singleVersion: false,
  maximumQueueMs: null,
  dueMs: null,
};

function callBytes(uploadBytes: Bytes): string {
  return [
    "POST /a/b HTTP/1.1",
    `Host: ${HOST}`,
    "Connection: close",
    `Content-Length: ${uploadBytes}`,
    "",
    "x".repeat(uploadBytes),
  ].join("\r\n");
}

function forwardingRoute(forwarder: Forwarder, route: RouteRule): HttpRoute {
  return {
    method: "ANY",
    pattern: "/*path",
    name: "forward",
    handle: async (call) => {
      const deadlineMs = performance.now() + DEADLINE_MS;
      const routed = { call, route, requestId: REQUEST_ID, deadlineMs };
      const response = await forwarder.forward(routed);
      return "kind" in response ? failureResponse(response) : response;
    },
  };
}

function describeUpstream(at: number, port: number): FleetUpstream {
  return {
    id: `u${at}`,
    bornMs: 1,
    sequence: 1,
    service: "s",
    // The first upstream is in the zone of the entry server, so that it is tried first.
    zone: at === 0 ? "here" : "there",
    address: { host: "127.0.0.1", port },
    slots: 4,
    phase: "ready",
    serves: [],
    softwareVersion: "v1",
  };
}

async function startScripted(script: Script): Promise<Server> {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => {});
    socket.once("data", () => follow(script, socket));
  });
  await new Promise<void>((resolve) =>
    server.listen({ host: "127.0.0.1", port: 0 }, resolve)
  );
  return server;
}

function follow({ bytes, end }: Script, socket: Socket): void {
  const finish = (): void => {
    if (end === "close") socket.end();
    // What was written is read before the reset, or together with it.
    if (end === "reset") setTimeout(() => socket.resetAndDestroy(), 5);
    if (end === "reset_at_once") socket.resetAndDestroy();
  };
  if (bytes === "") finish();
  else socket.write(bytes, "latin1", finish);
}

function parseReceived(raw: string): Received {
  const split = raw.indexOf("\r\n\r\n");
  if (split < 0) {
    return { status: 0, headers: raw, body: "", isComplete: false };
  }
  const headers = raw.slice(0, split);
  const framed = raw.slice(split + 4);
  const status = Number(headers.split(" ")[1]);
  if (/transfer-encoding: chunked/i.test(headers)) {
    return { status, headers, ...unchunk(framed) };
  }
  const length = /content-length: (\d+)/i.exec(headers)?.[1];
  const isComplete = length !== undefined && Number(length) === framed.length;
  return { status, headers, body: framed, isComplete };
}

function unchunk(
  framed: string,
): { readonly body: string; readonly isComplete: boolean } {
  let body = "";
  let rest = framed;
  while (true) {
    const end = rest.indexOf("\r\n");
    const size = end < 0 ? Number.NaN : Number.parseInt(rest.slice(0, end), 16);
    if (Number.isNaN(size)) return { body, isComplete: false };
    if (size === 0) return { body, isComplete: true };
    const start = end + 2;
    body += rest.slice(start, start + size);
    rest = rest.slice(start + size + 2);
  }
}
