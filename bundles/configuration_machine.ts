/**
 * The state machine that stores the routing configuration in the log: the highest version is active.
 *
 * @module
 */
import {
  type Committed,
  type Failure,
  Ok,
  type Result,
  StateMachine,
  type StoredConfiguration,
} from "#core";

/** Asks for the version of the active configuration only; any other question asks for all of it. */
export interface VersionQuestion {
  readonly kind: "version";
}

/**
 * Accepts configurations. One whose version is not higher than the active version changes nothing and succeeds, so
 * that a command that is sent again is acknowledged again.
 */
export class ConfigurationMachine extends StateMachine<
  StoredConfiguration,
  number,
  VersionQuestion | null,
  StoredConfiguration | number | null
> {
  override readonly name = "configuration";
  #active: StoredConfiguration | null = null;

  /** The active configuration; null before the first. */
  get current(): StoredConfiguration | null {
    return this.#active;
  }

  override apply(
    entry: Committed<StoredConfiguration>,
  ): Result<number, Failure> {
    const submitted = entry.command;
    const version = this.#active?.rules.version ?? -1;
    if (submitted.rules.version > version) this.#active = submitted;
    return Ok(this.#active?.rules.version ?? version);
  }

  /** Returns the active configuration, or its version, -1 before the first. */
  override query(
    question: VersionQuestion | null,
  ): Result<StoredConfiguration | number | null, Failure> {
    if (question?.kind !== "version") return Ok(this.#active);
    return Ok(this.#active?.rules.version ?? -1);
  }

  override snapshot(): unknown {
    return { current: this.#active };
  }

  override restore(state: unknown): void {
    const { current } = state as { current: StoredConfiguration | null };
    this.#active = current;
  }
}
