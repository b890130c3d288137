/**
 * Checks the consistency of a replicated list at every step of a simulation.
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
  type StateRestoration,
} from "#core";

const ITEMS_PER_PART = 16;

/** An entry as applied by a state machine. */
export interface ListItem {
  readonly index: number;
  readonly atMs: number;
  readonly value: number;
}

/** The expected list: one item for each index that any replica has applied. */
export class LogOracle {
  readonly #itemsByIndex = new Map<number, ListItem>();
  readonly #indexByValue = new Map<number, number>();
  readonly #notRun = new Set<number>();
  readonly #acknowledgedIndexes = new Map<number, number>();
  #longestReadLength = 0;

  /** Number of commands acknowledged so far. */
  get acknowledgedCount(): number {
    return this.#acknowledgedIndexes.size;
  }

  /**
   * Records an applied item. Fails if the index already has another item, or if the command was applied at
   * another index or reported as not run.
   */
  recordApplied(item: ListItem): void {
    const known = this.#itemsByIndex.get(item.index) ?? item;
    assert.deepEqual(
      item,
      known,
      `index ${item.index} was applied with different items`,
    );
    const index = this.#indexByValue.get(item.value) ?? item.index;
    assert.equal(
      item.index,
      index,
      `command ${item.value} was applied at two indexes`,
    );
    assert.ok(
      !this.#notRun.has(item.value),
      `command ${item.value} was reported as not run`,
    );
    this.#itemsByIndex.set(item.index, item);
    this.#indexByValue.set(item.value, item.index);
  }

  /** Records an acknowledged command. Fails unless it was applied at the index in the result. */
  recordAcknowledged(value: number, index: number): void {
    assert.equal(this.#itemsByIndex.get(index)?.value, value);
    this.#acknowledgedIndexes.set(value, index);
  }

  /** Records a command that was reported as not run. Fails if it was applied. */
  recordNotRun(value: number): void {
    const message = `command ${value} was reported as not run`;
    assert.equal(this.#indexByValue.get(value), undefined, message);
    this.#notRun.add(value);
  }

  /** Returns the values that a read starting now must include. */
  startRead(): ReadonlySet<number> {
    return new Set(this.#acknowledgedIndexes.keys());
  }

  /** Fails unless a read includes `expected` and is at least as long as every earlier read. */
  checkRead(items: readonly ListItem[], expected: ReadonlySet<number>): void {
    const values = new Set(items.map((item) => item.value));
    for (const value of expected) {
      assert.ok(
        values.has(value),
        `a read lacks the acknowledged command ${value}`,
      );
    }
    assert.ok(
      items.length >= this.#longestReadLength,
      "a read returned fewer items than an earlier read",
    );
    this.#longestReadLength = items.length;
  }

  /** Fails unless the items of an up-to-date replica equal all applied items, in log order. */
  checkComplete(items: readonly ListItem[]): void {
    const expected = [...this.#itemsByIndex.values()];
    expected.sort((a, b) => a.index - b.index);
    assert.deepEqual(items, expected);
    for (const [position, item] of items.entries()) {
      const previous = items[position - 1];
      if (previous === undefined) continue;
      assert.ok(previous.atMs <= item.atMs, "timestamps decrease in the log");
    }
  }
}

/** The state machine under test: a list of numbers. */
export class ListMachine
  extends StateMachine<unknown, number, unknown, readonly ListItem[]> {
  override readonly name = "bundles";
  readonly #oracle: LogOracle;
  #items: ListItem[] = [];

  constructor(oracle: LogOracle) {
    super();
    this.#oracle = oracle;
  }

  /** The current list. */
  get items(): readonly ListItem[] {
    return this.#items;
  }

  override apply(entry: Committed<unknown>): Result<number, Failure> {
    const { index, atMs, command } = entry;
    if (typeof command !== "number") {
      return Err(fail("malformed_request", "the command is not a number"));
    }
    const item = { index, atMs, value: command };
    this.#oracle.recordApplied(item);
    this.#items.push(item);
    return Ok(index);
  }

  override query(): Result<readonly ListItem[], Failure> {
    return Ok([...this.#items]);
  }

  override snapshot(): unknown {
    return [...this.#items];
  }

  override restore(state: unknown): void {
    this.#items = [...state as ListItem[]];
  }

  override snapshotParts(): Iterable<readonly ListItem[]> {
    return partsOf([...this.#items]);
  }

  override startRestoration(): StateRestoration {
    const items: ListItem[] = [];
    return {
      add: (part) => {
        items.push(...part as ListItem[]);
      },
      finish: () => {
        this.#items = items;
      },
    };
  }
}

function* partsOf(
  items: readonly ListItem[],
): Iterable<readonly ListItem[]> {
  for (let start = 0; start < items.length; start += ITEMS_PER_PART) {
    yield items.slice(start, start + ITEMS_PER_PART);
  }
}
