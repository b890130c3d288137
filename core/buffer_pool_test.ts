import assert from "node:assert/strict";
import { test } from "node:test";
import { BodyBuffer } from "./body_buffer.ts";
import { BufferPool } from "./buffer_pool.ts";
import { ByteBudget } from "./byte_budget.ts";
import { KIBIBYTE, MEBIBYTE } from "./units.ts";

test("a buffer that was given back is used again for the same size only, and one is kept of each size", () => {
  const pool = new BufferPool();
  const first = pool.take(1_000);
  const second = pool.take(1_000);
  assert.equal(pool.give(first), true);
  assert.equal(pool.give(second), false);
  assert.notEqual(pool.take(2_000), first);
  assert.equal(pool.take(1_000), first);
  assert.notEqual(pool.take(1_000), first);
});

// Guards against a buffer that two bodies share.
test("a body keeps its bytes whatever becomes of others that grow beside it or were dropped", () => {
  const budget = new ByteBudget({
    maximumBytes: 64 * MEBIBYTE,
    maximumBodyBytes: 32 * MEBIBYTE,
  });
  const open = (): BodyBuffer =>
    new BodyBuffer({
      maximumBytes: 32 * MEBIBYTE,
      reservation: budget.open(),
    });
  const kept: (readonly [Uint8Array, number])[] = [];
  for (let round = 0; round < 12; round += 1) {
    const bodies = [open(), open(), open()];
    for (let part = 0; part < 10 + round; part += 1) {
      for (const [at, body] of bodies.entries()) {
        const chunk = Buffer.alloc(48 * KIBIBYTE, round * 3 + at);
        assert.equal(body.append(chunk), "appended");
      }
    }
    bodies[round % 3]?.clear();
    const whole = bodies[(round + 1) % 3];
    assert.ok(whole !== undefined);
    kept.push([whole.bytes(), round * 3 + (round + 1) % 3]);
  }
  for (const [bytes, fill] of kept) {
    assert.ok(bytes.every((each) => each === fill), `body ${fill}`);
  }
});
