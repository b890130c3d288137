import { test } from "node:test";
import { fuzzLog } from "./fuzz_model.ts";

test("no fault loses or changes what was acknowledged, and a majority that can talk goes on", async () => {
  await fuzzLog({ seed: 4, runs: 2_000 });
});
