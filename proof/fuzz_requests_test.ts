import { test } from "node:test";
import { fuzz as fuzzOnce } from "./fuzz_requests_once.ts";
import { fuzz as fuzzQueue } from "./fuzz_requests_queue.ts";

test("under faults no call that is not idempotent runs twice and no call reported as not run was executed", async () => {
  await fuzzOnce({ seed: 20, runs: 200 });
});

test("the queue selects the same items as a sorted array and gives no class less than its floor", async () => {
  await fuzzQueue({ seed: 21, runs: 300 });
});
