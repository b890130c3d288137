/**
 * State machines driven by the replicated log, and the port through which VMs use them.
 *
 * @module
 */
import type { Failure } from "./error_kinds.ts";
import { estimatedSize } from "./estimated_size.ts";
import type { Result } from "./result.ts";
import type { Bytes, Milliseconds } from "./units.ts";

/** Name of a state machine of the replicated log. */
export type MachineName =
  | "bundles"
  | "claims"
  | "ledger"
  | "orders"
  | "configuration"
  | "placement"
  | "versions"
  | "batches"
  | "departures"
  | "trials"
  | "duties"
  | "scaling";

/** All state machine names, in the order in which snapshots store their states. */
export const MACHINE_NAMES: readonly MachineName[] = [
  "bundles",
  "claims",
  "ledger",
  "orders",
  "configuration",
  "placement",
  "versions",
  "batches",
  "departures",
  "trials",
  "duties",
  "scaling",
];

/** A committed command with its log index. */
export interface Committed<Command> {
  /** Log index; increases by one per entry and is never reused. */
  readonly index: number;
  /** Wall clock time of the leader that proposed the command; never decreases from entry to entry. */
  readonly atMs: Milliseconds;
  readonly command: Command;
}

/** Collects the parts of a snapshot that is to replace the state of a state machine. */
export interface StateRestoration {
  /** Adds the next part, in the order of `snapshotParts`. */
  add(part: unknown): void;
  /** Replaces the state by the parts added. */
  finish(): void;
}

/**
 * A deterministic state machine: equal logs produce equal states and equal replies. Commands and queries come
 * from other VMs, so a state machine validates them itself and returns a failure for an invalid one. All values
 * must be encodable as CBOR: plain objects, arrays, strings, numbers, booleans, null and Uint8Array.
 */
export abstract class StateMachine<Command, Reply, Query, QueryResult> {
  abstract readonly name: MachineName;
  /** Applies a committed command. Never throws; a rejected command returns a failure and changes nothing. */
  abstract apply(entry: Committed<Command>): Result<Reply, Failure>;
  /** Answers a query from the current state without changing it. */
  abstract query(query: Query): Result<QueryResult, Failure>;
  /** Returns the complete state as a plain value. */
  abstract snapshot(): unknown;
  /** Replaces the state with one that `snapshot` returned. */
  abstract restore(state: unknown): void;

  /** Returns roughly the size of the state; one with many objects overrides this to count faster. */
  stateBytes(): Bytes {
    let bytes = 0;
    for (const part of this.snapshotParts()) bytes += estimatedSize(part);
    return bytes;
  }

  /**
   * Returns the state at the time of the call in parts that are encoded one by one, so that no copy of the whole
   * state is needed. Commands applied while the parts are read do not change them.
   */
  snapshotParts(): Iterable<unknown> {
    return [this.snapshot()];
  }

  /**
   * Starts to replace the state with the parts that `snapshotParts` returned. A machine with a large state may drop
   * it at once, so that it never holds two: no command is applied and no query answered until `finish`.
   */
  startRestoration(): StateRestoration {
    let state: unknown;
    return {
      add: (part) => {
        state = part;
      },
      finish: () => this.restore(state),
    };
  }
}

/** A state machine of any type, as registered with the log. */
export type AnyStateMachine = StateMachine<unknown, unknown, unknown, unknown>;

/** A command for one state machine. */
export interface MachineCommand {
  readonly machine: MachineName;
  readonly command: unknown;
}

/** A query for one state machine. */
export interface MachineQuery {
  readonly machine: MachineName;
  readonly question: unknown;
}

/**
 * Proposes commands to the replicated log and sends queries to its state machines. A failure with `ran: "no"`
 * means that the command is not in the log and never will be; with `ran: "unknown"` it may be. The port may
 * resend a command after an unknown outcome, so commands must be idempotent by their own identifiers.
 */
export abstract class ControlPort {
  /** Commits a command and returns the reply of its state machine. */
  abstract propose(
    request: MachineCommand,
  ): Promise<Result<unknown, Failure>>;
  /** Answers a query from a state that includes every command acknowledged before the call. */
  abstract query(request: MachineQuery): Promise<Result<unknown, Failure>>;
}
