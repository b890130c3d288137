/**
 * State machines that the log is applied to.
 *
 * @module
 */
import {
  type AnyStateMachine,
  type Bytes,
  Err,
  type EventLog,
  fail,
  type Failure,
  MACHINE_NAMES,
  type MachineCommand,
  type MachineQuery,
  type Result,
} from "#core";
import { decodeValue } from "#wire";
import type { LogEntry } from "./entries.ts";
import { AGREEMENT_EVENTS } from "./events.ts";

/** Applies entries to the state machines. */
export class MachineHost {
  readonly #machines: ReadonlyMap<string, AnyStateMachine>;
  readonly #events: EventLog;

  constructor(machines: readonly AnyStateMachine[], events: EventLog) {
    this.#machines = new Map(
      machines.map((machine) => [machine.name, machine]),
    );
    this.#events = events;
  }

  /** Whether there is a state machine with this name. */
  has(name: string): boolean {
    return this.#machines.has(name);
  }

  /** Applies a committed command and returns the result of its state machine. */
  apply(entry: LogEntry): Result<unknown, Failure> {
    const { machine: name, command } = decodeValue(
      entry.body,
    ) as MachineCommand;
    const machine = this.#machines.get(name);
    if (machine === undefined) return unknownMachine(name);
    try {
      const { index, atMs } = entry;
      return machine.apply({ index, atMs, command });
    } catch (error) {
      const stack = error instanceof Error ? error.stack : String(error);
      this.#events.emit(AGREEMENT_EVENTS.machineFailed, { name, stack });
      return Err(fail("internal", `machine ${name} failed`));
    }
  }

  /** Answers a query from the current state of a state machine. */
  query(request: MachineQuery): Result<unknown, Failure> {
    const machine = this.#machines.get(request.machine);
    if (machine === undefined) return unknownMachine(request.machine);
    return machine.query(request.question);
  }

  /** Returns the states of all state machines in the order of `MACHINE_NAMES`; null for those not installed. */
  snapshot(): readonly unknown[] {
    return MACHINE_NAMES.map((name) =>
      this.#machines.get(name)?.snapshot() ?? null
    );
  }

  /** Returns roughly the size of the states of all state machines. */
  stateBytes(): Bytes {
    let bytes = 0;
    for (const machine of this.#machines.values()) {
      bytes += machine.stateBytes();
    }
    return bytes;
  }

  /** Replaces the states of the state machines; null leaves a state unchanged. */
  restore(states: readonly unknown[]): void {
    for (const [index, name] of MACHINE_NAMES.entries()) {
      if ((states[index] ?? null) === null) continue;
      this.#machines.get(name)?.restore(states[index]);
    }
  }
}

/** Returns the failure of a request for a state machine that doesn't exist. */
export function unknownMachine(name: string): Result<never, Failure> {
  return Err(fail("malformed_request", `there is no machine ${name}`));
}
