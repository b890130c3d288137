import { test } from "node:test";
import { fuzzLog } from "./fuzz_model.ts";
import { SHORT_TIMING } from "./timing.ts";

test("faults never lose or change acknowledged commands, and a connected majority makes progress", async () => {
  await fuzzLog({ seed: 4, runs: 2_000, changesVoters: false });
});

test("faults never lose or change acknowledged commands while the set of control VMs changes", async () => {
  await fuzzLog({ seed: 5, runs: 300, changesVoters: true });
});

test("faults never lose or change acknowledged commands in a group of five", async () => {
  await fuzzLog({ seed: 6, runs: 300, changesVoters: false, fiveVoters: true });
});

test("faults never lose or change acknowledged commands under short time limits", async () => {
  const timing = SHORT_TIMING;
  await fuzzLog({ seed: 7, runs: 400, changesVoters: false, timing });
});
