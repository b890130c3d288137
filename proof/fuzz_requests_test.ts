import { test } from "node:test";
import { fuzz as fuzzOnce } from "./fuzz_requests_once.ts";
import { fuzz as fuzzQueue } from "./fuzz_requests_queue.ts";

test("no call that may not be repeated runs twice and no refusal is false, under faults", async () => {
  await fuzzOnce({ seed: 20, runs: 200 });
});

test("the queue gives what a sorted array gives, and no class less than its floor", async () => {
  await fuzzQueue({ seed: 21, runs: 300 });
});
