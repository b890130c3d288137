/**
 * In-memory log with a single replica, for tests of programs and as the baseline of benchmarks.
 *
 * @module
 */
import {
  type AnyStateMachine,
  type Clock,
  type Failure,
  LocalControl,
  type MachineCommand,
  type MachineQuery,
  MINUTE_MS,
  type Result,
} from "#core";
import { type LogStatus, ReplicatedLog } from "./replicated_log.ts";

/** Options of `SingleReplicaLog`. */
export interface SingleReplicaOptions {
  readonly vm: string;
  readonly clock: Clock;
  readonly machines: readonly AnyStateMachine[];
}

/** Log with a single replica, which is always the leader. */
export class SingleReplicaLog extends ReplicatedLog {
  readonly #options: SingleReplicaOptions;
  readonly #control: LocalControl;
  readonly #listeners = new Set<(index: number) => void>();
  #index = 0;

  constructor(options: SingleReplicaOptions) {
    super();
    this.#options = options;
    this.#control = new LocalControl(options.machines, options.clock);
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }

  override async propose(
    request: MachineCommand,
  ): Promise<Result<unknown, Failure>> {
    const result = await this.#control.propose(request);
    this.#index += 1;
    for (const listener of this.#listeners) listener(this.#index);
    return result;
  }

  override query(request: MachineQuery): Promise<Result<unknown, Failure>> {
    return this.#control.query(request);
  }

  override status(): LogStatus {
    return {
      replica: "single",
      role: "leader",
      term: 1,
      leader: this.#options.vm,
      committedIndex: this.#index,
      appliedIndex: this.#index,
      hearsLeader: true,
      voters: [this.#options.vm],
      ready: true,
    };
  }

  override leaseUntilMs(): number {
    return this.#options.clock.nowMs() + MINUTE_MS;
  }

  override onApplied(listener: (index: number) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
