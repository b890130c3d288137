/**
 * A control port that uses state machines in the same process without replication, for tests of the domains.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import { fail, type Failure } from "./error_kinds.ts";
import { Err, type Result } from "./result.ts";
import {
  type AnyStateMachine,
  ControlPort,
  type MachineCommand,
  type MachineQuery,
} from "./state_machine.ts";

/** Applies each command immediately, in call order. */
export class LocalControl extends ControlPort {
  readonly #machines: ReadonlyMap<string, AnyStateMachine>;
  readonly #clock: Clock;
  #index = 0;

  constructor(machines: readonly AnyStateMachine[], clock: Clock) {
    super();
    this.#machines = new Map(
      machines.map((machine) => [machine.name, machine]),
    );
    this.#clock = clock;
  }

  override propose(request: MachineCommand): Promise<Result<unknown, Failure>> {
    const machine = this.#machines.get(request.machine);
    if (machine === undefined) return Promise.resolve(unknownMachine(request));
    this.#index += 1;
    return Promise.resolve(machine.apply({
      index: this.#index,
      atMs: this.#clock.wallMs(),
      command: request.command,
    }));
  }

  override query(request: MachineQuery): Promise<Result<unknown, Failure>> {
    const machine = this.#machines.get(request.machine);
    if (machine === undefined) return Promise.resolve(unknownMachine(request));
    return Promise.resolve(machine.query(request.question));
  }
}

function unknownMachine(
  request: { readonly machine: string },
): Result<never, Failure> {
  return Err(
    fail("malformed_request", `there is no machine ${request.machine}`),
  );
}
