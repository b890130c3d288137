/**
 * An entry VM's request handling over real sockets with a fixed bundle, for the tests of this folder.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import type { Server } from "node:net";
import {
  type AcceptedBundle,
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  type Bundle,
  type ControlPort,
  EMPTY_BOARD,
  type Failure,
  type HttpRequest,
  type HttpResponse,
  isFailure,
  LocalControl,
  MemoryEventLog,
  Metrics,
  SeededRandom,
  SystemClock,
  type UpstreamRecord,
} from "#core";
import { MemoryNetwork } from "#wire";
import { ClaimsMachine } from "./claims.ts";
import { EntryRequests } from "./entry_requests.ts";

/** Address that the fake upstreams of the tests listen on. */
export const HOST = "127.5.0.2";

/** The bundle of the tests: class `drafting` is ranked before `lookup`. */
export const BUNDLE: Bundle = {
  schema: 1,
  cluster: "test",
  version: 1,
  predecessor: null,
  zones: [{ name: "a", region: "r" }],
  vms: [],
  tenants: [{ name: "tana", weight: 1, maximumOutstanding: 100 }],
  classes: [
    {
      name: "drafting",
      rank: 1,
      floor: 0,
      maximumQueued: 100,
      defaultDeadlineMs: 60_000,
    },
    {
      name: "lookup",
      rank: 2,
      floor: 0.1,
      maximumQueued: 100,
      defaultDeadlineMs: 60_000,
    },
  ],
  models: [{ name: "advice", servingFloor: 0.5, loadsPerSecond: 1 }],
  services: [{ name: "cards", idempotentMethods: ["GET"] }],
  trainers: [],
  operators: [],
  limits: {
    bodyBytes: 65_536,
    answerBytes: 65_536,
    claimRetentionMs: 600_000,
    claimsStored: 100,
    upstreamLeaseMs: 60_000,
  },
};

const ACCEPTED: AcceptedBundle = {
  signed: { bundle: BUNDLE, signer: "", signature: "" },
  digest: "",
  index: 1,
  acceptedAtMs: 0,
};

/** Returns the registry record of a listening fake upstream. */
export function upstreamRecord(
  id: string,
  server: Server,
  offer: { readonly role: "engine" | "service" },
): UpstreamRecord {
  const address = server.address();
  assert(typeof address === "object" && address !== null);
  const isEngine = offer.role === "engine";
  return {
    id,
    incarnation: 1,
    sequence: 1,
    zone: "a",
    address: { host: HOST, port: address.port },
    role: offer.role,
    serves: isEngine ? [{ model: "advice", version: 4 }] : [],
    services: isEngine ? [] : ["cards"],
    capacity: 4,
    enforcesFences: true,
    reportsVersions: true,
    leaving: false,
    expiresAtMs: Number.POSITIVE_INFINITY,
  };
}

let entryCount = 0;

/** Creates a control port over an in-memory claims machine. */
export function createClaimsControl(): ControlPort {
  return new LocalControl([new ClaimsMachine()], new SystemClock());
}

/** Creates an entry whose blackboard contains the given upstreams. */
export function createEntry(
  records: readonly UpstreamRecord[],
  control: ControlPort = createClaimsControl(),
): EntryRequests {
  const clock = new SystemClock();
  entryCount += 1;
  const random = new SeededRandom(entryCount);
  const board = new Blackboard<BoardSections>({
    ...EMPTY_BOARD,
    bundle: ACCEPTED,
    upstreams: new Map(records.map((each) => [each.id, each])),
  }, BOARD_WRITERS);
  return new EntryRequests({
    vm: "entry-1",
    zone: "a",
    sourceHost: "127.5.0.1",
    board,
    control,
    network: new MemoryNetwork({ clock, random }).join("entry-1"),
    clock,
    random,
    events: new MemoryEventLog(),
    metrics: new Metrics(),
  });
}

/** Starts listening on a free port. */
export function listen(server: Server): Promise<void> {
  return new Promise((resolve) => server.listen(0, HOST, resolve));
}

/** Calls a route of an entry and returns the response or the failure. */
export async function callForResult(
  entry: EntryRequests,
  call: Partial<HttpRequest> & { readonly route: string },
): Promise<HttpResponse | Failure> {
  const route = entry.routes().find((each) => each.name === call.route);
  assert(route !== undefined);
  return await route.handle({
    method: "POST",
    path: "/",
    target: "",
    rawHeaders: [],
    parameters: {},
    query: new URLSearchParams(),
    headers: { "cicadafield-tenant": "tana" },
    body: new Uint8Array(),
    signal: new AbortController().signal,
    ...call,
  });
}

/** Calls a route of an entry and asserts that it doesn't fail. */
export async function callRoute(
  entry: EntryRequests,
  call: Partial<HttpRequest> & { readonly route: string },
): Promise<HttpResponse> {
  const response = await callForResult(entry, call);
  assert(!isFailure(response), JSON.stringify(response));
  return response as HttpResponse;
}

/** Reads the complete body of a response. */
export async function readBody(response: HttpResponse): Promise<string> {
  if (typeof response.body === "string") return response.body;
  if (response.body instanceof Uint8Array) {
    return Buffer.from(response.body).toString();
  }
  let text = "";
  for await (const chunk of response.body) text += chunk;
  return text;
}
