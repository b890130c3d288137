/**
 * State machines that the replicated log drives, and the port through which other VMs use them.
 *
 * @module
 */
import type { Failure } from "./error_kinds.ts";
import type { Result } from "./result.ts";
import type { Milliseconds } from "./units.ts";

/** The machines that share the log. */
export type MachineName =
  | "bundles"
  | "claims"
  | "ledger"
  | "orders"
  | "configuration"
  | "placement"
  | "versions"
  | "batches";

/** All machine names, in the order in which snapshots hold them. */
export const MACHINE_NAMES: readonly MachineName[] = [
  "bundles",
  "claims",
  "ledger",
  "orders",
  "configuration",
  "placement",
  "versions",
  "batches",
];

/** A committed command with its place in the log. */
export interface Committed<Command> {
  /** Index in the log; grows by one, never used twice. */
  readonly index: number;
  /** Wall clock of the leader that proposed it; never steps back from entry to entry. */
  readonly atMs: Milliseconds;
  readonly command: Command;
}

/**
 * A deterministic machine: equal logs give equal states and equal replies. Commands and questions come
 * from other VMs, so a machine checks their shape itself and answers a fault with a failure. All
 * values must survive CBOR: plain objects, arrays, strings, numbers, booleans, null, Uint8Array.
 */
export abstract class StateMachine<Command, Reply, Question, Answer> {
  abstract readonly name: MachineName;
  /** Applies one committed command. Never throws; a refusal is a failure and leaves no change. */
  abstract apply(entry: Committed<Command>): Result<Reply, Failure>;
  /** Answers from the current state, without change. */
  abstract query(question: Question): Result<Answer, Failure>;
  /** The whole state as a plain value. */
  abstract snapshot(): unknown;
  /** Replaces the state by one that `snapshot` gave. */
  abstract restore(state: unknown): void;
}

/** Any machine, as the log holds it. */
export type AnyStateMachine = StateMachine<unknown, unknown, unknown, unknown>;

/** A command addressed to one machine. */
export interface MachineCommand {
  readonly machine: MachineName;
  readonly command: unknown;
}

/** A question addressed to one machine. */
export interface MachineQuery {
  readonly machine: MachineName;
  readonly question: unknown;
}

/**
 * How a VM has commands committed and questions answered. A failure with `ran: "no"` means that the
 * command is not and will not be in the log; with `ran: "unknown"` it may be. Commands must therefore
 * be idempotent under their own identifiers: the port may send one again after an unknown outcome.
 */
export abstract class ControlPort {
  /** Commits a command and gives the machine's reply. */
  abstract propose(
    request: MachineCommand,
  ): Promise<Result<unknown, Failure>>;
  /** Answers from a state that holds every command acknowledged before the call. */
  abstract query(request: MachineQuery): Promise<Result<unknown, Failure>>;
}
