import assert from "node:assert/strict";
import { test } from "node:test";
import { OrdersMachine } from "./orders_machine.ts";

function wishCommand(version: number, upstream = "e1"): unknown {
  return { kind: "wish", wishes: [{ upstream, model: "advice", version }] };
}

test("the fence of an order is the log index of its command, also when the command is committed again", () => {
  const orders = new OrdersMachine();
  orders.apply({ index: 7, atMs: 0, command: wishCommand(4) });
  const again = orders.apply({ index: 9, atMs: 0, command: wishCommand(4) });
  assert.deepEqual(again.unwrap(), {
    orders: [{ upstream: "e1", model: "advice", version: 4, fence: 9 }],
  });
});

test("a command with an older version is a conflict, and no part of it is applied", () => {
  const orders = new OrdersMachine();
  orders.apply({ index: 1, atMs: 0, command: wishCommand(4) });
  const before = orders.snapshot();
  const batch = {
    kind: "wish",
    wishes: [
      { upstream: "e2", model: "advice", version: 5 },
      { upstream: "e1", model: "advice", version: 3 },
    ],
  };
  const reply = orders.apply({ index: 2, atMs: 0, command: batch });
  assert.ok(reply.err);
  assert.equal(reply.val.kind, "conflict");
  assert.deepEqual(orders.snapshot(), before);
});

test("commands that do not match the schema are rejected", () => {
  const orders = new OrdersMachine();
  const none = { kind: "wish", wishes: [] };
  for (
    const command of [
      null,
      {},
      none,
      wishCommand(-1),
      wishCommand(1.5),
      wishCommand(1, ""),
    ]
  ) {
    const reply = orders.apply({ index: 1, atMs: 0, command });
    assert.ok(reply.err);
    assert.equal(reply.val.kind, "malformed_request");
  }
});

test("a machine restored from a snapshot returns the same orders", () => {
  const orders = new OrdersMachine();
  orders.apply({ index: 1, atMs: 0, command: wishCommand(4) });
  orders.apply({ index: 2, atMs: 0, command: wishCommand(4, "e2") });
  orders.apply({
    index: 3,
    atMs: 0,
    command: { kind: "forget", upstreams: ["e1"] },
  });
  const other = new OrdersMachine();
  other.restore(orders.snapshot());
  assert.deepEqual(other.query(null), orders.query(null));
});
