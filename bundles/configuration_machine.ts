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
  #current: StoredConfiguration | null = null;

  /** The configuration in force; null before the first. */
  get current(): StoredConfiguration | null {
    return this.#current;
  }

  override apply(
    entry: Committed<StoredConfiguration>,
  ): Result<number, Failure> {
    const offered = entry.command;
    const version = this.#current?.rules.version ?? -1;
    if (offered.rules.version > version) this.#current = offered;
    return Ok(this.#current?.rules.version ?? version);
  }

  override ask(): Result<StoredConfiguration | null, Failure> {
    return Ok(this.#current);
  }

  override snapshot(): unknown {
    return { current: this.#current };
  }

  override restore(state: unknown): void {
    const { current } = state as { current: StoredConfiguration | null };
    this.#current = current;
  }
}
