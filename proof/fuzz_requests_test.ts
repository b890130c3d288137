import { test } from "node:test";
import { fuzz as fuzzOnce } from "./fuzz_requests_once.ts";

test("no call that may not be repeated runs twice and no refusal is false, under faults", async () => {
  await fuzzOnce({ seed: 20, runs: 200 });
});
