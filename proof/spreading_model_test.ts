import { test } from "node:test";
import { checkLaggingControls, fuzzSpreading } from "./spreading_model.ts";

test("every entry VM receives accepted bundles and never reverts to an earlier one, despite partitions, lagging control VMs, pauses and restarts", async () => {
  await fuzzSpreading({ seed: 61, runs: 40 });
});

test("a new bundle reaches every zone within 5 s although a control VM lost the quorum", async () => {
  await checkLaggingControls();
});
