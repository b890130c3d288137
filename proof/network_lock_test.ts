import assert from "node:assert/strict";
import { test } from "node:test";
import { lockNetwork } from "./network_lock.ts";

test("a second cluster waits until the first releases its address range", async () => {
  const site = { block: "127.7", network: 71 };
  const order: string[] = [];
  const first = await lockNetwork(site);
  const second = lockNetwork(site).then((lock) => {
    order.push("second acquires");
    return lock;
  });
  await new Promise((resolve) => setImmediate(resolve));
  order.push("first releases");
  await first.release();
  await (await second).release();
  assert.deepEqual(order, ["first releases", "second acquires"]);
});
