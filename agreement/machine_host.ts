/**
 * The state machines behind the log.
 *
 * @module
 */
import {
  type AnyStateMachine,
  Err,
  type EventLog,
  fail,
  type Failure,
  MACHINE_NAMES,
  type MachineCommand,
  type MachineQuestion,
  type Result,
} from "#core";
import { decodeValue } from "#wire";
import type { LogEntry } from "./entries.ts";
import { AGREEMENT_EVENTS } from "./events.ts";

/** Applies entries to machines, in the order of the log. */
export class MachineHost {
  readonly #machines: ReadonlyMap<string, AnyStateMachine>;
  readonly #events: EventLog;

  constructor(machines: readonly AnyStateMachine[], events: EventLog) {
    this.#machines = new Map(
      machines.map((machine) => [machine.name, machine]),
    );
    this.#events = events;
  }

  /** Whether there is a machine of this name. */
  has(name: string): boolean {
    return this.#machines.has(name);
  }

  /** Applies a committed command and gives the machine's reply. */
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

  /** Answers from the current state. */
  ask(request: MachineQuestion): Result<unknown, Failure> {
    const machine = this.#machines.get(request.machine);
    if (machine === undefined) return unknownMachine(request.machine);
    return machine.ask(request.question);
  }

  /** States of all machines, in the order of `MACHINE_NAMES`; null for those that are missing. */
  snapshot(): readonly unknown[] {
    return MACHINE_NAMES.map((name) =>
      this.#machines.get(name)?.snapshot() ?? null
    );
  }

  /** Replaces the states of all machines. */
  restore(states: readonly unknown[]): void {
    for (const [at, name] of MACHINE_NAMES.entries()) {
      if ((states[at] ?? null) === null) continue;
      this.#machines.get(name)?.restore(states[at]);
    }
  }
}

/** The answer to a request for a machine that doesn't exist. */
export function unknownMachine(name: string): Result<never, Failure> {
  return Err(fail("malformed_request", `there is no machine ${name}`));
}
