/**
 * Upstreams and a control port that inject faults from lists, and a counter of executions, for the fuzz model of
 * service calls.
 *
 * @module
 */
import {
  type Clock,
  ControlPort,
  Err,
  fail,
  type Failure,
  type LocalControl,
  type MachineCommand,
  type MachineQuery,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import {
  type RequestStage,
  UpstreamCaller,
  type UpstreamFailure,
  type UpstreamRequest,
  type UpstreamResponse,
} from "#requests";

const DELAY_MS: Milliseconds = 700;
const PAUSE_MS: Milliseconds = 6_000;

/** Faults of one call to an upstream. */
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

/** Faults of one command to the control VMs. */
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

/** Counts executions by operation and by request. */
export class ExecutionOracle {
  readonly #byOperation = new Map<string, number>();
  readonly #byRequest = new Map<string, number>();

  /** Records an execution. */
  recordExecution(operation: string, requestId: string): void {
    this.#byOperation.set(operation, this.executionsOf(operation) + 1);
    const before = this.#byRequest.get(requestId) ?? 0;
    this.#byRequest.set(requestId, before + 1);
  }

  /** Returns how many times an operation was executed. */
  executionsOf(operation: string): number {
    return this.#byOperation.get(operation) ?? 0;
  }

  /** Returns how many times one request was executed. */
  executionsOfRequest(requestId: string): number {
    return this.#byRequest.get(requestId) ?? 0;
  }
}

/** Upstreams in memory. Calls of a killed entry still execute, but their responses are dropped. */
export class FaultyUpstreams extends UpstreamCaller {
  readonly #clock: Clock;
  readonly #oracle: ExecutionOracle;
  readonly #faults: UpstreamFault[];
  isKilled = false;

  constructor(
    options: { readonly clock: Clock; readonly oracle: ExecutionOracle },
    faults: UpstreamFault[],
  ) {
    super();
    this.#clock = options.clock;
    this.#oracle = options.oracle;
    this.#faults = faults;
  }

  override call(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, UpstreamFailure>> {
    if (this.isKilled) return new Promise(() => {});
    const fault = this.#faults.shift() ?? "none";
    return new Promise((resolve) => {
      const settle = (
        result: Result<UpstreamResponse, UpstreamFailure>,
      ): void => {
        if (!this.isKilled) resolve(result);
      };
      this.#runCall(fault, { request, settle });
    });
  }

  override close(): void {}

  #runCall(
    fault: UpstreamFault,
    call: {
      readonly request: UpstreamRequest;
      readonly settle: (
        result: Result<UpstreamResponse, UpstreamFailure>,
      ) => void;
    },
  ): void {
    const { request, settle } = call;
    let lastStage: RequestStage = "not_connected";
    const advance = (next: RequestStage): void => {
      lastStage = next;
      if (!this.isKilled) request.onStage?.(next);
    };
    const failCall = (cause: UpstreamFailure["cause"]): void =>
      settle(Err({ reachedStage: lastStage, cause, message: fault }));
    const execute = (): void =>
      this.#oracle.recordExecution(operationOf(request), requestIdOf(request));
    this.#clock.after(request.deadlineMs - this.#clock.nowMs(), () => {
      failCall("deadline");
    });
    this.#clock.after(1, () => {
      if (fault === "refused") return failCall("not_connected");
      advance("sent");
      if (fault === "frozen") return;
      if (fault === "frozen_then_executed") {
        this.#clock.after(DELAY_MS, execute);
        return;
      }
      if (fault === "reset_before_execution") {
        return failCall("connection_lost");
      }
      this.#clock.after(fault === "late_answer" ? DELAY_MS : 2, () => {
        execute();
        if (fault === "reset_after_execution") {
          return failCall("connection_lost");
        }
        advance("first_byte");
        if (fault === "short_answer") return failCall("short_answer");
        advance("whole");
        settle(
          Ok({ status: 201, headers: {}, body: responseBodyFor(request) }),
        );
      });
    });
  }
}

/** A control port that injects faults in front of a local one. */
export class FaultyControl extends ControlPort {
  readonly #inner: LocalControl;
  readonly #clock: Clock;
  readonly #faults: ControlFault[];
  isKilled = false;

  constructor(
    options: { readonly inner: LocalControl; readonly clock: Clock },
    faults: ControlFault[],
  ) {
    super();
    this.#inner = options.inner;
    this.#clock = options.clock;
    this.#faults = faults;
  }

  override async propose(
    request: MachineCommand,
  ): Promise<Result<unknown, Failure>> {
    if (this.isKilled) return await new Promise(() => {});
    const fault = this.#faults.shift() ?? "none";
    await this.#clock.sleep(fault === "frozen" ? PAUSE_MS : 1);
    if (fault === "no_quorum") return Err(fail("no_quorum", "no quorum"));
    if (fault === "committed_late") {
      this.#clock.after(DELAY_MS, () => this.#inner.propose(request));
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

  override query(request: MachineQuery): Promise<Result<unknown, Failure>> {
    return this.#inner.query(request);
  }
}

/** Returns the only correct response to an operation. */
export function expectedResponseText(operation: string): string {
  return `saved ${operation}`;
}

function operationOf(request: UpstreamRequest): string {
  return new TextDecoder().decode(request.body as Uint8Array);
}

function requestIdOf(request: UpstreamRequest): string {
  return request.headers?.["cicadafield-request"] ?? "";
}

function responseBodyFor(request: UpstreamRequest): Uint8Array {
  return new TextEncoder().encode(expectedResponseText(operationOf(request)));
}
