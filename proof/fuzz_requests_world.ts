/**
 * A world in virtual time for the fuzz of service calls: entries, clients that retry, upstreams that count
 * what they execute, and a control port, each with faults that are given as lists.
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
  ControlPort,
  EMPTY_BOARD,
  Err,
  fail,
  type Failure,
  LocalControl,
  type MachineCommand,
  type MachineQuestion,
  MemoryEventLog,
  Metrics,
  type Milliseconds,
  Ok,
  type RandomSource,
  type Result,
  type UpstreamRecord,
} from "#core";
import {
  ClaimsMachine,
  EntryRequests,
  type Reach,
  type UpstreamAnswer,
  UpstreamCaller,
  type UpstreamFailure,
  type UpstreamRequest,
} from "#requests";
import type { MemoryNetwork } from "#wire";

/** What goes wrong with one call to an upstream. */
export const UPSTREAM_FAULTS = [
  "none",
  "refused",
  "reset_before_execution",
  "reset_after_execution",
  "short_answer",
  "frozen",
  "frozen_then_executed",
  "late_answer",
] as const;

/** What goes wrong with one command to the control VMs. */
export const CONTROL_FAULTS = [
  "none",
  "no_quorum",
  "lost_before_commit",
  "lost_after_commit",
  "committed_late",
  "committed_twice",
  "frozen",
] as const;

/** A fault of an upstream. */
export type UpstreamFault = typeof UPSTREAM_FAULTS[number];
/** A fault of the control port. */
export type ControlFault = typeof CONTROL_FAULTS[number];

/** The upstreams of the world. */
export const WORLD_UPSTREAMS = ["cards-1", "cards-2"] as const;

const SERVICE = "cards";
const LATE_MS: Milliseconds = 700;
const FROZEN_MS: Milliseconds = 6_000;

/** Bundle of the world: one service whose GET may be repeated. */
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

/** Counts executions by operation. */
export class ExecutionOracle {
  readonly #executions = new Map<string, number>();
  readonly #byRequest = new Map<string, number>();

  /** Notes an execution. */
  execute(operation: string, requestId: string): void {
    this.#executions.set(operation, this.count(operation) + 1);
    const before = this.#byRequest.get(requestId) ?? 0;
    this.#byRequest.set(requestId, before + 1);
  }

  /** How often an operation was executed. */
  count(operation: string): number {
    return this.#executions.get(operation) ?? 0;
  }

  /** How often one arrival was executed. */
  countOfRequest(requestId: string): number {
    return this.#byRequest.get(requestId) ?? 0;
  }
}

/** Upstreams in memory. A killed entry's calls still run but nobody hears the answer. */
export class FaultyUpstreams extends UpstreamCaller {
  readonly #clock: Clock;
  readonly #oracle: ExecutionOracle;
  readonly #faults: UpstreamFault[];
  isKilled = false;

  constructor(
    parts: { readonly clock: Clock; readonly oracle: ExecutionOracle },
    faults: UpstreamFault[],
  ) {
    super();
    this.#clock = parts.clock;
    this.#oracle = parts.oracle;
    this.#faults = faults;
  }

  override call(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamAnswer, UpstreamFailure>> {
    if (this.isKilled) return new Promise(() => {});
    const fault = this.#faults.shift() ?? "none";
    return new Promise((resolve) => {
      const settle = (
        result: Result<UpstreamAnswer, UpstreamFailure>,
      ): void => {
        if (!this.isKilled) resolve(result);
      };
      this.#run(fault, { request, settle });
    });
  }

  override close(): void {}

  #run(
    fault: UpstreamFault,
    call: {
      readonly request: UpstreamRequest;
      readonly settle: (
        result: Result<UpstreamAnswer, UpstreamFailure>,
      ) => void;
    },
  ): void {
    const { request, settle } = call;
    let reach: Reach = "not_connected";
    const advance = (next: Reach): void => {
      reach = next;
      if (!this.isKilled) request.onReach?.(next);
    };
    const breakOff = (cause: UpstreamFailure["cause"]): void =>
      settle(Err({ reach, cause, message: fault }));
    const execute = (): void =>
      this.#oracle.execute(operationOf(request), requestOf(request));
    this.#clock.after(request.deadlineMs - this.#clock.nowMs(), () => {
      breakOff("deadline");
    });
    this.#clock.after(1, () => {
      if (fault === "refused") return breakOff("not_connected");
      advance("sent");
      if (fault === "frozen") return;
      if (fault === "frozen_then_executed") {
        this.#clock.after(LATE_MS, execute);
        return;
      }
      if (fault === "reset_before_execution") {
        return breakOff("connection_lost");
      }
      this.#clock.after(fault === "late_answer" ? LATE_MS : 2, () => {
        execute();
        if (fault === "reset_after_execution") {
          return breakOff("connection_lost");
        }
        advance("first_byte");
        if (fault === "short_answer") return breakOff("short_answer");
        advance("whole");
        settle(Ok({ status: 201, headers: {}, body: answerTo(request) }));
      });
    });
  }
}

/** A control port in front of a machine, with faults. */
export class FaultyControl extends ControlPort {
  readonly #inner: LocalControl;
  readonly #clock: Clock;
  readonly #faults: ControlFault[];
  isKilled = false;

  constructor(
    parts: { readonly inner: LocalControl; readonly clock: Clock },
    faults: ControlFault[],
  ) {
    super();
    this.#inner = parts.inner;
    this.#clock = parts.clock;
    this.#faults = faults;
  }

  override async propose(
    request: MachineCommand,
  ): Promise<Result<unknown, Failure>> {
    if (this.isKilled) return await new Promise(() => {});
    const fault = this.#faults.shift() ?? "none";
    await this.#clock.sleep(fault === "frozen" ? FROZEN_MS : 1);
    if (fault === "no_quorum") return Err(fail("no_quorum", "no quorum"));
    if (fault === "committed_late") {
      this.#clock.after(LATE_MS, () => this.#inner.propose(request));
    }
    const isLost = fault !== "none" && fault !== "lost_after_commit" &&
      fault !== "committed_twice";
    if (isLost) return Err(fail("outcome_unknown", fault));
    if (fault === "committed_twice") await this.#inner.propose(request);
    const reply = await this.#inner.propose(request);
    if (fault === "lost_after_commit") {
      return Err(fail("outcome_unknown", fault));
    }
    await this.#clock.sleep(1);
    return reply;
  }

  override query(request: MachineQuestion): Promise<Result<unknown, Failure>> {
    return this.#inner.query(request);
  }
}

/** One entry of the world. */
export interface WorldEntry {
  readonly requests: EntryRequests;
  readonly kill: () => void;
  /** Tells the entry which upstreams are leaving. */
  readonly setLeaving: (leaving: ReadonlySet<string>) => void;
}

/** What the entries of a world share. */
export interface WorldParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly network: MemoryNetwork;
  readonly machine: LocalControl;
  readonly oracle: ExecutionOracle;
  readonly upstreamFaults: UpstreamFault[];
  readonly controlFaults: ControlFault[];
}

/** A machine for claims without replication. */
export function claimsControl(clock: Clock): LocalControl {
  return new LocalControl([new ClaimsMachine()], clock);
}

/** Starts one entry. */
export function startEntry(parts: WorldParts, vm: string): WorldEntry {
  const client = new FaultyUpstreams(parts, parts.upstreamFaults);
  const control = new FaultyControl(
    { inner: parts.machine, clock: parts.clock },
    parts.controlFaults,
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
    network: parts.network.join(vm),
    clock: parts.clock,
    random: parts.random,
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

/** The one right answer to an operation. */
export function expectedAnswer(operation: string): string {
  return `saved ${operation}`;
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

function operationOf(request: UpstreamRequest): string {
  return new TextDecoder().decode(request.body as Uint8Array);
}

function requestOf(request: UpstreamRequest): string {
  return request.headers?.["cicadafield-request"] ?? "";
}

function answerTo(request: UpstreamRequest): Uint8Array {
  return new TextEncoder().encode(expectedAnswer(operationOf(request)));
}
