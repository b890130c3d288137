/**
 * The state machine of published model versions and of the hold: the exclusive right of one control VM to
 * send orders to engines.
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

/** A command that publishes a version, or acquires or releases the hold. */
export type VersionsCommand =
  | {
    readonly kind: "name";
    readonly model: string;
    readonly version: number;
  }
  /** Makes this VM the only one that sends orders. */
  | { readonly kind: "hold"; readonly vm: string }
  /** States that the holder sends no more orders with this fence. */
  | { readonly kind: "release"; readonly fence: number };

/** The exclusive right to send orders to engines. */
export interface OrderHold {
  readonly vm: string;
  /** Log index of the command that granted the hold; increases with each grant. */
  readonly fence: number;
  /** Whether the holder has released the hold. */
  readonly released: boolean;
}

/** Reply to a `hold` command. */
export interface HoldReply {
  readonly fence: number;
  /** Whether another VM may still send orders under an earlier hold. */
  readonly mustWait: boolean;
}

/** State of the versions machine. */
export interface VersionsState {
  readonly versions: readonly ServedVersion[];
  readonly hold: OrderHold | null;
}

/** Stores the newest version of each model and the holder of the right to send orders. */
export class VersionsMachine extends StateMachine<
  VersionsCommand,
  HoldReply | null,
  null,
  VersionsState
> {
  override readonly name = "versions";
  #state: VersionsState = { versions: [], hold: null };

  /** The current state. */
  get current(): VersionsState {
    return this.#state;
  }

  override apply(
    entry: Committed<VersionsCommand>,
  ): Result<HoldReply | null, Failure> {
    const { command, index } = entry;
    if (command.kind === "name") return this.#setVersion(command);
    if (command.kind === "hold") return Ok(this.#grantHold(command.vm, index));
    if (command.kind === "release") return this.#releaseHold(command.fence);
    return Err(
      fail(
        "malformed_request",
        "unknown kind of command to the versions machine",
      ),
    );
  }

  override query(): Result<VersionsState, Failure> {
    return Ok(this.#state);
  }

  override snapshot(): unknown {
    return this.#state;
  }

  override restore(state: unknown): void {
    this.#state = state as VersionsState;
  }

  #setVersion(published: ServedVersion): Result<null, Failure> {
    const { model, version } = published;
    const known = this.#state.versions.find((each) => each.model === model);
    if (known !== undefined && known.version >= version) return Ok(null);
    const others = this.#state.versions.filter((each) => each !== known);
    const versions = [...others, { model, version }];
    this.#state = { ...this.#state, versions };
    return Ok(null);
  }

  #grantHold(vm: string, index: number): HoldReply {
    const previous = this.#state.hold;
    const hold: OrderHold = { vm, fence: index, released: false };
    this.#state = { ...this.#state, hold };
    const mustWait = previous !== null && !previous.released &&
      previous.vm !== vm;
    return { fence: index, mustWait };
  }

  #releaseHold(fence: number): Result<null, Failure> {
    const { hold } = this.#state;
    if (hold === null || hold.fence !== fence) return Ok(null);
    this.#state = { ...this.#state, hold: { ...hold, released: true } };
    return Ok(null);
  }
}
