/**
 * The routing configuration as the log holds it: the highest version is in force.
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

/**
 * Takes configurations. One whose version is not above that in force changes nothing and succeeds, so that
 * an order that is sent again is acknowledged again.
 */
export class ConfigurationMachine extends StateMachine<
  StoredConfiguration,
  number,
  null,
  StoredConfiguration | null
> {
  override readonly name = "configuration";
  #active: StoredConfiguration | null = null;

  /** The configuration in force; null before the first. */
  get current(): StoredConfiguration | null {
    return this.#active;
  }

  override apply(
    entry: Committed<StoredConfiguration>,
  ): Result<number, Failure> {
    const offered = entry.command;
    const version = this.#active?.rules.version ?? -1;
    if (offered.rules.version > version) this.#active = offered;
    return Ok(this.#active?.rules.version ?? version);
  }

  override ask(): Result<StoredConfiguration | null, Failure> {
    return Ok(this.#active);
  }

  override snapshot(): unknown {
    return { current: this.#active };
  }

  override restore(state: unknown): void {
    const { current } = state as { current: StoredConfiguration | null };
    this.#active = current;
  }
}
