/**
 * Simulation in virtual time for the fuzz model of service calls: entries with upstreams that count executions and
 * a control port, both of which inject faults from lists.
 *
 * @module
 */
import {
  type AcceptedBundle,
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  type Bundle,
  type Clock,
  EMPTY_BOARD,
  LocalControl,
  MemoryEventLog,
  Metrics,
  type RandomSource,
  type UpstreamRecord,
} from "#core";
import { ClaimsMachine, EntryRequests } from "#requests";
import type { MemoryNetwork } from "#wire";
import {
  type ControlFault,
  type ExecutionOracle,
  FaultyControl,
  FaultyUpstreams,
  type UpstreamFault,
} from "./fuzz_requests_faults.ts";

/** Identifiers of the upstreams. */
export const WORLD_UPSTREAMS = ["cards-1", "cards-2"] as const;

const SERVICE = "cards";

/** Bundle of the simulation: one service whose GET is idempotent. */
export const WORLD_BUNDLE: Bundle = {
  schema: 1,
  cluster: "fuzz",
  version: 1,
  predecessor: null,
  zones: [{ name: "a", region: "r" }],
  vms: [],
  tenants: [{ name: "tana", weight: 1, maximumOutstanding: 64 }],
  classes: [{
    name: "cards",
    rank: 1,
    floor: 0,
    maximumQueued: 64,
    defaultDeadlineMs: 2_000,
  }],
  models: [],
  services: [{ name: SERVICE, idempotentMethods: ["GET"] }],
  trainers: [],
  operators: [],
  limits: {
    bodyBytes: 65_536,
    answerBytes: 65_536,
    claimRetentionMs: 3_600_000,
    claimsStored: 1_000,
    upstreamLeaseMs: 60_000,
  },
};

/** One entry of the simulation. */
export interface WorldEntry {
  readonly requests: EntryRequests;
  readonly kill: () => void;
  /** Sets the upstreams that the entry sees as leaving. */
  readonly setLeaving: (leaving: ReadonlySet<string>) => void;
}

/** Components that all entries of a simulation share. */
export interface SharedWorld {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: MemoryNetwork;
  readonly control: LocalControl;
  readonly oracle: ExecutionOracle;
  readonly upstreamFaults: UpstreamFault[];
  readonly controlFaults: ControlFault[];
}

/** Creates a control port with an unreplicated state machine of claims. */
export function createClaimsControl(clock: Clock): LocalControl {
  return new LocalControl([new ClaimsMachine()], clock);
}

/** Starts one entry with its own faulty upstreams and control port. */
export function startEntry(shared: SharedWorld, vm: string): WorldEntry {
  const client = new FaultyUpstreams(shared, shared.upstreamFaults);
  const control = new FaultyControl(
    { inner: shared.control, clock: shared.clock },
    shared.controlFaults,
  );
  const accepted: AcceptedBundle = {
    signed: { bundle: WORLD_BUNDLE, signer: "", signature: "" },
    digest: "",
    index: 1,
    acceptedAtMs: 0,
  };
  const board = new Blackboard<BoardSections>({
    ...EMPTY_BOARD,
    bundle: accepted,
    upstreams: serviceRecords(new Set()),
  }, BOARD_WRITERS);
  const requests = new EntryRequests({
    vm,
    zone: "a",
    sourceHost: "127.0.0.1",
    board,
    control,
    network: shared.network.join(vm),
    clock: shared.clock,
    random: shared.random,
    events: new MemoryEventLog(),
    metrics: new Metrics(),
    client,
  });
  requests.start();
  return {
    requests,
    kill: () => {
      client.isKilled = true;
      control.isKilled = true;
      requests.stop();
    },
    setLeaving: (leaving) => {
      board.write("registry", "upstreams", serviceRecords(leaving));
    },
  };
}

function serviceRecords(
  leaving: ReadonlySet<string>,
): ReadonlyMap<string, UpstreamRecord> {
  return new Map(
    WORLD_UPSTREAMS.map((id) => [id, serviceRecord(id, leaving.has(id))]),
  );
}

function serviceRecord(id: string, leaving: boolean): UpstreamRecord {
  return {
    id,
    incarnation: 1,
    sequence: 1,
    zone: "a",
    address: { host: "127.0.0.1", port: 1 },
    role: "service",
    serves: [],
    services: [SERVICE],
    capacity: 8,
    enforcesFences: true,
    reportsVersions: true,
    leaving,
    expiresAtMs: Number.POSITIVE_INFINITY,
  };
}
