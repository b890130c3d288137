import { test } from "node:test";
import { fuzz } from "./fuzz_ledger.ts";

test("the ledger hands every slot over exactly once, whole and within the bound, whatever fails", async () => {
  await fuzz({ seed: 1, runs: 400 });
});
