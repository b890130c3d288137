/**
 * The state machine of the control log that stores which VMs hold the replicas of the replicated logs.
 *
 * @module
 */
import {
  type Committed,
  Err,
  fail,
  type Failure,
  Ok,
  type Placement,
  type Result,
  StateMachine,
} from "#core";

/** Replaces the placement. */
export interface PlacementCommand {
  /** The revision on which the change is based. */
  readonly from: number;
  readonly placement: Placement;
}

/** The placement with its revision. */
export interface VersionedPlacement {
  /** Log index of the entry that set the placement, or 0 for the empty initial state. */
  readonly revision: number;
  readonly placement: Placement;
}

const EMPTY_STATE: VersionedPlacement = {
  revision: 0,
  placement: { controls: [], stores: [], retiring: [] },
};

/** Stores the placement; a change that is based on an older revision fails with `conflict`. */
export class PlacementMachine
  extends StateMachine<PlacementCommand, number, null, VersionedPlacement> {
  override readonly name = "placement";
  #state = EMPTY_STATE;

  /** The current placement. */
  get current(): VersionedPlacement {
    return this.#state;
  }

  override apply(
    entry: Committed<PlacementCommand>,
  ): Result<number, Failure> {
    const { from, placement } = entry.command;
    if (from !== this.#state.revision) {
      return Err(fail("conflict", "the placement has changed in the meantime"));
    }
    this.#state = { revision: entry.index, placement };
    return Ok(entry.index);
  }

  override query(): Result<VersionedPlacement, Failure> {
    return Ok(this.#state);
  }

  override snapshot(): unknown {
    return this.#state;
  }

  override restore(state: unknown): void {
    this.#state = state as VersionedPlacement;
  }
}
