import { test } from "node:test";
import { fuzz } from "./fuzz_ledger.ts";

test("the ledger delivers every group exactly once, complete and within its staleness bound, under faults", async () => {
  await fuzz({ seed: 1, runs: 400 });
});
