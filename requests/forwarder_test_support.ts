/**
 * Upstreams with given behaviours, and a forwarder in front of them, for tests.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import {
  type Failure,
  type FleetUpstream,
  type HttpRequest,
  type HttpResponse,
  MemoryEventLog,
  type RouteRule,
  SeededRandom,
  VirtualClock,
} from "#core";
import { type CrashGuard, TrustedCalls } from "#crashes";
import { type Permits, UnlimitedPermits } from "#quotas";
import { NoStreamOrigins, type StreamOrigins } from "#streams";
import { Forwarder } from "./forwarder.ts";
import { TestDialect } from "./test_dialect.ts";
import type { UpstreamDialect } from "./upstream_dialect.ts";

/** An idempotent route to the service `cards`. */
export const ROUTE: RouteRule = {
  name: "route",
  host: "h",
  pathPrefix: "/a/",
  kind: "idempotent",
  timeoutMs: 5_000,
  objectiveMs: 200,
  priority: 1,
  split: [{ service: "cards", weight: 1 }],
  maximumAttempts: 2,
  resumable: false,
  singleVersion: false,
  maximumQueueMs: null,
  dueMs: null,
};

/** What differs for a route whose streams may be resumed. */
export const STREAM = {
  kind: "stream",
  resumable: true,
  maximumAttempts: 3,
} as const;

/** How an upstream responds to a call. */
export type Behaviour = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Responds completely. */
export function respond(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.setHeader("X-Id", String(request.headers["x-id"]));
  response.setHeader("X-Stamp", "s");
  response.end("whole");
}

/** Rejects the call without running it. */
export function reject(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.setHeader("X-Id", String(request.headers["x-id"]));
  response.setHeader("X-Not-Run", "1");
  response.writeHead(503).end();
}

/** Responds, and states that it is leaving. */
export function respondAndLeave(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.setHeader("X-Leaving", "1");
  respond(request, response);
}

/** Rejects the call, and states that it is leaving. */
export function rejectAndLeave(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.setHeader("X-Leaving", "1");
  reject(request, response);
}

/** Runs the call and fails. */
export function return500(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.setHeader("X-Id", String(request.headers["x-id"]));
  response.setHeader("X-Stamp", "s");
  response.writeHead(500).end("sorry");
}

/** Never responds. */
export function stayUnresponsive(): void {}

/** Resets the connection. */
export function reset(request: IncomingMessage): void {
  request.socket.destroy();
}

/** Ends the response early. */
export function truncateBody(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.setHeader("X-Id", String(request.headers["x-id"]));
  response.setHeader("X-Stamp", "s");
  response.setHeader("Content-Length", "100");
  response.write("whole", () => request.socket.destroy());
}

/** Sends the response to another call. */
export function answerAnotherCall(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  response.setHeader("X-Id", "another");
  response.setHeader("X-Stamp", "s");
  response.end("of another call");
}

/** A forwarder and what its upstreams have received. */
export interface ForwarderSetup {
  readonly forwarder: Forwarder;
  readonly clock: VirtualClock;
  readonly events: MemoryEventLog;
  readonly upstreams: readonly FleetUpstream[];
  /** Number of calls that reached each upstream. */
  readonly reached: readonly number[];
}

/** The limits that upstreams name, and the permits for them. */
export interface LimitedUpstreams {
  /** Limits of the upstreams in their order, null for none. */
  readonly limits: readonly (number | null)[];
  readonly permits: Permits;
  /** Watches the calls; all calls are trusted if absent. */
  readonly crashGuard?: CrashGuard;
  /** Software versions of the upstreams in their order, null if unknown; `v1` if absent. */
  readonly softwareVersions?: readonly (string | null)[];
  /** Where streams began; nothing is kept of them if absent. */
  readonly origins?: StreamOrigins;
  /** A dialect with headers that begin with `X-` if absent. */
  readonly dialect?: UpstreamDialect;
  /** Whether upstreams get their full share of calls in steps; not if absent. */
  readonly hasSlowStart?: boolean;
}

/** Runs upstreams with these behaviours and a forwarder in front of them. */
export async function withUpstreams(
  behaviours: readonly Behaviour[],
  run: (setup: ForwarderSetup) => Promise<void>,
  limited: LimitedUpstreams = { limits: [], permits: new UnlimitedPermits() },
): Promise<void> {
  const reached = behaviours.map(() => 0);
  const servers: Server[] = [];
  const upstreams: FleetUpstream[] = [];
  for (const [index, behaviour] of behaviours.entries()) {
    const server = createServer((request, response) => {
      request.resume();
      reached[index] = (reached[index] ?? 0) + 1;
      behaviour(request, response);
    });
    await new Promise<void>((resolve) =>
      server.listen({ host: "127.0.0.1", port: 0 }, resolve)
    );
    servers.push(server);
    const softwareVersion = limited.softwareVersions?.[index] ?? "v1";
    upstreams.push({
      id: `u${index}`,
      bornMs: 1,
      sequence: 1,
      service: "cards",
      // The first upstream is in the VM's availability zone, so that it is tried first.
      zone: index === 0 ? "here" : "there",
      address: {
        host: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
      },
      slots: 4,
      phase: "ready",
      serves: [],
      requestLimit: limited.limits[index] ?? null,
      ...(limited.softwareVersions?.[index] === null
        ? {}
        : { softwareVersion }),
    });
  }
  const clock = new VirtualClock();
  const events = new MemoryEventLog();
  const leaving = new Set<string>();
  const forwarder = new Forwarder({
    zone: "here",
    clock,
    random: new SeededRandom(1),
    events,
    dialect: limited.dialect ?? new TestDialect(),
    upstreams: () =>
      upstreams.map((each) =>
        leaving.has(each.id) ? { ...each, phase: "draining" } : each
      ),
    onLeaving: ({ id }) => leaving.add(id),
    onRequestLimit: () => {},
    permits: limited.permits,
    hasSlowStart: limited.hasSlowStart ?? false,
    crashGuard: limited.crashGuard ?? new TrustedCalls(),
    origins: limited.origins ?? new NoStreamOrigins(),
  });
  try {
    await run({ forwarder, clock, events, upstreams, reached });
  } finally {
    forwarder.close();
    for (const server of servers) {
      server.closeAllConnections();
      server.close();
    }
  }
}

/** Returns a call of the route. */
export function createCall(signal = new AbortController().signal): HttpRequest {
  return {
    method: "POST",
    path: "/a/b",
    target: "/a/b?c=d",
    rawHeaders: ["Host", "h", "Connection", "keep-alive"],
    parameters: {},
    query: new URLSearchParams(),
    headers: {},
    body: Buffer.from("card"),
    signal,
  };
}

/** Sends a call through the forwarder. */
export function send(
  setup: ForwarderSetup,
  route: Partial<RouteRule> = {},
  signal?: AbortSignal,
): Promise<HttpResponse | Failure> {
  return setup.forwarder.forward({
    call: createCall(signal),
    route: { ...ROUTE, ...route },
    requestId: "r1",
    deadlineMs: setup.clock.nowMs() + 2_000,
  });
}

/** Waits until calls have reached an upstream. */
export async function untilReached(
  setup: ForwarderSetup,
  index: number,
  calls = 1,
): Promise<void> {
  while ((setup.reached[index] ?? 0) < calls) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Streams the events after the caller's last event; closes the connection within event `breakAt`. */
export function streamUntil(breakAt: number): Behaviour {
  return (request, response) => {
    response.setHeader("X-Id", String(request.headers["x-id"]));
    response.setHeader("X-Stamp", "s");
    const after = request.headers["x-after"];
    const first = after === undefined ? 0 : Number(after) + 1;
    response.flushHeaders();
    for (let id = first; id < 4; id += 1) {
      if (id === breakAt) {
        response.write(`id: ${id}\nda`, () => request.socket.destroy());
        return;
      }
      response.write(`id: ${id}\ndata: ${id}\n\n`);
    }
    response.end();
  };
}

/** Reads a stream to its end. */
export async function readAll(response: HttpResponse): Promise<string> {
  let text = "";
  for await (const chunk of response.body as AsyncIterable<string>) {
    text += chunk;
  }
  return text;
}
