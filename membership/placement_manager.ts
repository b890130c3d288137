/**
 * Manages the placement of the replicated logs on the leading control VM, and retires store VMs on request.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import {
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Placement,
  type Result,
} from "#core";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import type { PlacementMachine } from "./placement_machine.ts";
import {
  isRetirementComplete,
  nextPlacement,
  type ObservedNode,
} from "./placement_plan.ts";

const CHECK_INTERVAL_MS: Milliseconds = 250;
/** Time for which a new leader regards no VM as lost. */
const LEADER_SETTLE_MS: Milliseconds = 2_500;

/** Whether the retirement of a VM is still running or is completed. */
export type RetireState = "running" | "completed";

/** Options of `PlacementManager`. */
export interface PlacementManagerOptions {
  readonly log: ReplicatedLog;
  readonly machine: PlacementMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Returns the control and store VMs. */
  readonly nodes: () => readonly ObservedNode[];
  /** Number of replicas of a log. */
  readonly replicas: number;
  /** Time without an observation after which a VM counts as lost. */
  readonly lostAfterMs: Milliseconds;
}

/** Proposes changes of the placement, one at a time, while this VM is the leader. */
export class PlacementManager {
  readonly #options: PlacementManagerOptions;
  #leaderSinceMs: Milliseconds | undefined;
  #proposing = false;

  constructor(options: PlacementManagerOptions) {
    this.#options = options;
  }

  /** Starts to check regularly whether the placement has to change. */
  start(): void {
    this.#options.clock.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Starts to retire a store VM; fails with `not_found` if it is unknown, `conflict` if too few would remain. */
  async retire(name: string): Promise<Result<null, Failure>> {
    const vm = this.#findStore(name);
    if (vm === undefined) {
      return Err(fail("not_found", `there is no store VM ${name}`));
    }
    const { placement } = this.#options.machine.current;
    if (placement.retiring.includes(vm)) return Ok(null);
    if (this.#remainingStores(vm) < this.#options.replicas) {
      return Err(fail("conflict", "too few store VMs would remain"));
    }
    const retiring = [...placement.retiring, vm];
    return await this.#propose({ ...placement, retiring });
  }

  /** Returns the state of the retirement of a VM; fails with `not_found` if the VM is not being retired. */
  retireState(name: string): Result<RetireState, Failure> {
    const vm = this.#findStore(name);
    const { placement } = this.#options.machine.current;
    if (vm === undefined || !placement.retiring.includes(vm)) {
      return Err(fail("not_found", `${name} is not being retired`));
    }
    const complete = isRetirementComplete(vm, {
      placement,
      nodes: this.#options.nodes(),
      controlVoters: this.#options.log.status().voters,
    });
    return Ok(complete ? "completed" : "running");
  }

  #findStore(name: string): string | undefined {
    for (const { node } of this.#options.nodes()) {
      if (node.role === "store" && node.name === name) return node.vm;
    }
    return undefined;
  }

  #remainingStores(leaving: string): number {
    const { retiring } = this.#options.machine.current.placement;
    let count = 0;
    for (const { node, ageMs } of this.#options.nodes()) {
      if (node.role !== "store" || node.vm === leaving) continue;
      if (retiring.includes(node.vm) || ageMs > this.#options.lostAfterMs) {
        continue;
      }
      count += 1;
    }
    return count;
  }

  async #check(): Promise<void> {
    const { log, clock, machine, nodes, replicas, lostAfterMs } = this.#options;
    const nowMs = clock.nowMs();
    if (log.leaseUntilMs() <= nowMs) {
      this.#leaderSinceMs = undefined;
      return;
    }
    this.#leaderSinceMs ??= nowMs;
    if (this.#proposing) return;
    const settled = nowMs - this.#leaderSinceMs >= LEADER_SETTLE_MS;
    const next = nextPlacement({
      placement: machine.current.placement,
      nodes: nodes(),
      controlVoters: log.status().voters,
      replicas,
      lostAfterMs: settled ? lostAfterMs : Infinity,
    });
    if (next === undefined) return;
    this.#proposing = true;
    await this.#propose(next);
    this.#proposing = false;
  }

  async #propose(placement: Placement): Promise<Result<null, Failure>> {
    const { log, machine, events } = this.#options;
    const from = machine.current.revision;
    const command = { from, placement };
    const result = await log.propose({ machine: "placement", command });
    if (result.ok) {
      events.emit(MEMBERSHIP_EVENTS.placementChanged, { ...placement });
      return Ok(null);
    }
    events.emit(MEMBERSHIP_EVENTS.placementFailed, { ...result.val });
    return Err(result.val);
  }
}
