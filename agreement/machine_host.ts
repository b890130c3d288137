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
  type StateRestoration,
} from "#core";
import { decodeValue } from "#wire";
import type { LogEntry } from "./entries.ts";
import { AGREEMENT_EVENTS } from "./events.ts";
import type {
  SnapshotCapture,
  SnapshotPart,
  SnapshotReceiver,
} from "./snapshot_file.ts";

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

  /** Returns the current states of all state machines in parts. */
  snapshotParts(): Pick<SnapshotCapture, "machines" | "parts"> {
    const sources: PartSource[] = [];
    for (const name of MACHINE_NAMES) {
      const parts = this.#machines.get(name)?.snapshotParts();
      if (parts !== undefined) sources.push({ name, parts });
    }
    const machines = sources.map((source) => source.name);
    return { machines, parts: joinParts(sources) };
  }

  /** Returns roughly the size of the states of all state machines. */
  stateBytes(): Bytes {
    let bytes = 0;
    for (const machine of this.#machines.values()) {
      bytes += machine.stateBytes();
    }
    return bytes;
  }

  /** Starts to replace the states of the state machines by those of a snapshot. */
  startRestoration(): HostRestoration {
    return new HostRestoration(this.#machines);
  }
}

interface PartSource {
  readonly name: string;
  readonly parts: Iterable<unknown>;
}

function* joinParts(sources: readonly PartSource[]): Iterable<SnapshotPart> {
  for (const { name, parts } of sources) {
    for (const part of parts) yield { machine: name, part };
  }
}

/** Collects the contents of a snapshot; the state machines are not to be used until `finish`. */
export class HostRestoration implements SnapshotReceiver {
  readonly #machines: ReadonlyMap<string, AnyStateMachine>;
  readonly #restorations = new Map<string, StateRestoration>();
  #states: readonly unknown[] = [];

  constructor(machines: ReadonlyMap<string, AnyStateMachine>) {
    this.#machines = machines;
  }

  begin(machines: readonly string[]): void {
    for (const name of machines) {
      const restoration = this.#machines.get(name)?.startRestoration();
      if (restoration !== undefined) this.#restorations.set(name, restoration);
    }
  }

  add({ machine, part }: SnapshotPart): void {
    this.#restorations.get(machine)?.add(part);
  }

  addStates(states: readonly unknown[]): void {
    this.#states = states;
  }

  /** Replaces the states of the state machines that the snapshot contains. */
  finish(): void {
    for (const restoration of this.#restorations.values()) restoration.finish();
    for (const [index, name] of MACHINE_NAMES.entries()) {
      if ((this.#states[index] ?? null) === null) continue;
      this.#machines.get(name)?.restore(this.#states[index]);
    }
  }
}

/** Returns the failure of a request for a state machine that doesn't exist. */
export function unknownMachine(name: string): Result<never, Failure> {
  return Err(fail("malformed_request", `there is no machine ${name}`));
}
