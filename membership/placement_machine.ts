/**
 * Which VMs keep the replicated logs, as the control log holds it.
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

/** A change of the placement. */
export interface PlacementCommand {
  /** The revision that the change was made from. */
  readonly from: number;
  readonly placement: Placement;
}

/** The placement with its revision. */
export interface VersionedPlacement {
  /** Index of the entry that set it, or 0. */
  readonly revision: number;
  readonly placement: Placement;
}

const EMPTY_STATE: VersionedPlacement = {
  revision: 0,
  placement: { controls: [], stores: [], retiring: [] },
};

/** Holds the placement; a change made from an older revision fails with `conflict`. */
export class PlacementMachine
  extends StateMachine<PlacementCommand, number, null, VersionedPlacement> {
  override readonly name = "placement";
  #state = EMPTY_STATE;

  /** The placement now. */
  get current(): VersionedPlacement {
    return this.#state;
  }

  override apply(
    entry: Committed<PlacementCommand>,
  ): Result<number, Failure> {
    const { from, placement } = entry.command;
    if (from !== this.#state.revision) {
      return Err(fail("conflict", "the placement has changed meanwhile"));
    }
    this.#state = { revision: entry.index, placement };
    return Ok(entry.index);
  }

  override ask(): Result<VersionedPlacement, Failure> {
    return Ok(this.#state);
  }

  override snapshot(): unknown {
    return this.#state;
  }

  override restore(state: unknown): void {
    this.#state = state as VersionedPlacement;
  }
}
