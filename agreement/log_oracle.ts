/**
 * What a replicated list may and may not show, checked at every step of a simulation.
 *
 * @module
 */
import assert from "node:assert/strict";
import {
  type Committed,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  StateMachine,
} from "#core";

/** An entry as a machine has applied it. */
export interface ListItem {
  readonly index: number;
  readonly atMs: number;
  readonly value: number;
}

/** The list that every replica should hold: one item for each index ever applied anywhere. */
export class LogOracle {
  readonly #decided = new Map<number, ListItem>();
  readonly #indexes = new Map<number, number>();
  readonly #refused = new Set<number>();
  readonly #acknowledged = new Map<number, number>();
  #longestRead = 0;

  /** Number of commands acknowledged so far. */
  get acknowledgedCount(): number {
    return this.#acknowledged.size;
  }

  /** Every index has one decision, and no command is decided twice or after "not run". */
  applied(item: ListItem): void {
    const known = this.#decided.get(item.index) ?? item;
    assert.deepEqual(item, known, `index ${item.index} is decided twice`);
    const index = this.#indexes.get(item.value) ?? item.index;
    assert.equal(item.index, index, `command ${item.value} is applied twice`);
    assert.ok(
      !this.#refused.has(item.value),
      `command ${item.value} was called not run`,
    );
    this.#decided.set(item.index, item);
    this.#indexes.set(item.value, item.index);
  }

  /** A command that was acknowledged is decided where the reply said. */
  acknowledged(value: number, index: number): void {
    assert.equal(this.#decided.get(index)?.value, value);
    this.#acknowledged.set(value, index);
  }

  /** A command of which it was said that it never ran must not be decided. */
  refused(value: number): void {
    const message = `command ${value} was called not run`;
    assert.equal(this.#indexes.get(value), undefined, message);
    this.#refused.add(value);
  }

  /** What a read that starts now has to hold at least. */
  startRead(): ReadonlySet<number> {
    return new Set(this.#acknowledged.keys());
  }

  /** A read holds everything acknowledged before it started and never less than an earlier one. */
  read(items: readonly ListItem[], atLeast: ReadonlySet<number>): void {
    const values = new Set(items.map((item) => item.value));
    for (const value of atLeast) {
      assert.ok(values.has(value), `a read misses acknowledged ${value}`);
    }
    assert.ok(items.length >= this.#longestRead, "a read went back");
    this.#longestRead = items.length;
  }

  /** A replica that has everything holds exactly what was decided, in order. */
  complete(items: readonly ListItem[]): void {
    const decided = [...this.#decided.values()];
    decided.sort((a, b) => a.index - b.index);
    assert.deepEqual(items, decided);
    for (const [at, item] of items.entries()) {
      const before = items[at - 1];
      if (before === undefined) continue;
      assert.ok(before.atMs <= item.atMs, "time steps back in the log");
    }
  }
}

/** The machine under test: a list of numbers. */
export class ListMachine
  extends StateMachine<unknown, number, unknown, readonly ListItem[]> {
  override readonly name = "bundles";
  readonly #oracle: LogOracle;
  #items: ListItem[] = [];

  constructor(oracle: LogOracle) {
    super();
    this.#oracle = oracle;
  }

  /** The list as it stands. */
  get items(): readonly ListItem[] {
    return this.#items;
  }

  override apply(entry: Committed<unknown>): Result<number, Failure> {
    const { index, atMs, command } = entry;
    if (typeof command !== "number") {
      return Err(fail("malformed_request", "the command is no number"));
    }
    const item = { index, atMs, value: command };
    this.#oracle.applied(item);
    this.#items.push(item);
    return Ok(index);
  }

  override ask(): Result<readonly ListItem[], Failure> {
    return Ok([...this.#items]);
  }

  override snapshot(): unknown {
    return [...this.#items];
  }

  override restore(state: unknown): void {
    this.#items = [...state as ListItem[]];
  }
}
