/**
 * A replicated log of one process for the tests of duties.
 *
 * @module
 */
import { type LogStatus, ReplicatedLog } from "#agreement";
import {
  Err,
  fail,
  type Failure,
  type MachineCommand,
  type Result,
} from "#core";
import type { DutiesMachine } from "./duties_machine.ts";

/**
 * A log that applies each command at once. Tests set its term and lease, and how commands fail.
 *
 * @example
 * ```ts
 * const log = new MachineLog(machine, { indexStep: 10 });
 * log.leaseEndMs = 1_000;
 * ```
 */
export class MachineLog extends ReplicatedLog {
  term = 1;
  leaseEndMs = Infinity;
  /** Commands that were applied. */
  commits = 0;
  /** Whether commands fail without an effect. */
  isBroken = false;
  /** Waits before commands are applied; absent if they are applied within the call. */
  beforeApply: (() => Promise<void>) | undefined;
  readonly #machine: DutiesMachine;
  readonly #indexStep: number;

  constructor(
    machine: DutiesMachine,
    options: { readonly indexStep: number },
  ) {
    super();
    this.#machine = machine;
    this.#indexStep = options.indexStep;
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }

  override status(): LogStatus {
    return { term: this.term } as LogStatus;
  }

  override leaseUntilMs(): number {
    return this.leaseEndMs;
  }

  override onApplied(): () => void {
    return () => {};
  }

  override async propose(
    { command }: MachineCommand,
  ): Promise<Result<unknown, Failure>> {
    if (this.beforeApply !== undefined) await this.beforeApply();
    if (this.isBroken) return Err(fail("no_quorum", "broken"));
    this.commits += 1;
    const index = this.#indexStep * this.commits;
    return this.#machine.apply({ index, atMs: 0, command: command as never });
  }

  override query(): Promise<Result<unknown, Failure>> {
    return Promise.resolve(Err(fail("internal", "not used")));
  }
}
