/**
 * Named model versions, and who may give orders to engines, as the log holds them.
 *
 * @module
 */
import {
  type Committed,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  type ServedVersion,
  StateMachine,
} from "#core";

/** A change of the versions or of the holder of orders. */
export type VersionsCommand =
  | {
    readonly kind: "name";
    readonly model: string;
    readonly version: number;
  }
  /** This VM is to be the only one that gives orders. */
  | { readonly kind: "hold"; readonly vm: string }
  /** This VM gives no more orders under its fence. */
  | { readonly kind: "release"; readonly fence: number };

/** The right to give orders. */
export interface OrderHold {
  readonly vm: string;
  /** Index of the entry that gave the right; grows from holder to holder. */
  readonly fence: number;
  /** Whether the holder said that it gives no more orders. */
  readonly released: boolean;
}

/** What a `hold` gives. */
export interface HoldReply {
  readonly fence: number;
  /** Whether another VM may still act on an earlier hold. */
  readonly mustWait: boolean;
}

/** All that the machine holds. */
export interface VersionsState {
  readonly versions: readonly ServedVersion[];
  readonly hold: OrderHold | null;
}

/** Keeps the newest version of each model and the one holder of orders. */
export class VersionsMachine extends StateMachine<
  VersionsCommand,
  HoldReply | null,
  null,
  VersionsState
> {
  override readonly name = "versions";
  #state: VersionsState = { versions: [], hold: null };

  /** The state now. */
  get current(): VersionsState {
    return this.#state;
  }

  override apply(
    entry: Committed<VersionsCommand>,
  ): Result<HoldReply | null, Failure> {
    const { command, index } = entry;
    if (command.kind === "name") return this.#name(command);
    if (command.kind === "hold") return Ok(this.#hold(command.vm, index));
    if (command.kind === "release") return this.#release(command.fence);
    return Err(fail("malformed_request", "an unknown command for versions"));
  }

  override ask(): Result<VersionsState, Failure> {
    return Ok(this.#state);
  }

  override snapshot(): unknown {
    return this.#state;
  }

  override restore(state: unknown): void {
    this.#state = state as VersionsState;
  }

  #name(named: ServedVersion): Result<null, Failure> {
    const { model, version } = named;
    const known = this.#state.versions.find((each) => each.model === model);
    if (known !== undefined && known.version >= version) return Ok(null);
    const others = this.#state.versions.filter((each) => each !== known);
    const versions = [...others, { model, version }];
    this.#state = { ...this.#state, versions };
    return Ok(null);
  }

  #hold(vm: string, index: number): HoldReply {
    const before = this.#state.hold;
    const hold: OrderHold = { vm, fence: index, released: false };
    this.#state = { ...this.#state, hold };
    const mustWait = before !== null && !before.released && before.vm !== vm;
    return { fence: index, mustWait };
  }

  #release(fence: number): Result<null, Failure> {
    const { hold } = this.#state;
    if (hold === null || hold.fence !== fence) return Ok(null);
    this.#state = { ...this.#state, hold: { ...hold, released: true } };
    return Ok(null);
  }
}
