import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "#core";
import type { PlannedStart } from "./item_plan.ts";
import { StartQueue } from "./start_queue.ts";

const ITEMS = 272;
const MAXIMUM_PER_TURN = 16;

function starts(): readonly PlannedStart[] {
  return Array.from({ length: ITEMS }, (_, at) => ({
    item: { key: `i${at}` },
    engine: {},
  })) as unknown as readonly PlannedStart[];
}

class Turns {
  readonly clock = new VirtualClock();
  readonly started: string[] = [];
  ended = 0;
  /** Time that a start takes. */
  startMs = 0;
  readonly queue = new StartQueue({
    clock: this.clock,
    start: ({ item }) => {
      this.started.push(item.key);
      this.clock.advance(this.startMs);
    },
    onEmpty: () => {
      this.ended += 1;
    },
  });
}

test("the items of a step start in order, a few in each turn, so that heartbeats of the log go out between them", () => {
  const turns = new Turns();
  turns.queue.add(starts());
  let before = 0;
  while (turns.queue.isBusy) {
    const inThisTurn = turns.started.length - before;
    assert.ok(inThisTurn > 0 && inThisTurn <= MAXIMUM_PER_TURN);
    before = turns.started.length;
    turns.clock.advance(1);
  }
  const expected = starts().map((each) => each.item.key);
  assert.deepEqual(turns.started, expected);
  assert.equal(turns.ended, 1);
});

test("a leader that stands down starts nothing more", () => {
  const turns = new Turns();
  turns.queue.add(starts());
  turns.queue.clear();
  turns.clock.advance(100);
  assert.equal(turns.started.length, MAXIMUM_PER_TURN);
  assert.equal(turns.queue.isBusy, false);
});

test("on a VM where a start takes long, a turn has fewer of them", () => {
  const turns = new Turns();
  turns.startMs = 4;
  turns.queue.add(starts());
  assert.equal(turns.started.length, 3);
});
