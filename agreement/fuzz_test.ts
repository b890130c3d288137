import { test } from "node:test";
import { fuzzLog } from "./fuzz_model.ts";
import { SHORT_TIMING } from "./timing.ts";

test("no fault loses or changes what was acknowledged, and a majority that can talk goes on", async () => {
  await fuzzLog({ seed: 4, runs: 2_000, moves: false });
});

test("nor does any fault while the control VMs themselves change", async () => {
  await fuzzLog({ seed: 5, runs: 300, moves: true });
});

test("nor does any fault in a group of five", async () => {
  await fuzzLog({ seed: 6, runs: 300, moves: false, five: true });
});

test("nor does any fault under short time limits", async () => {
  const timing = SHORT_TIMING;
  await fuzzLog({ seed: 7, runs: 400, moves: false, timing });
});
