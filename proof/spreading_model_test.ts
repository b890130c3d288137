import { test } from "node:test";
import { checkLaggingControls, fuzzSpreading } from "./spreading_model.ts";

test("accepted bundles reach every entry VM and never go back, through cuts, lags, freezes and restarts", async () => {
  await fuzzSpreading({ seed: 61, runs: 40 });
});

test("a control VM that lost the quorum keeps no zone from a new bundle for more than 5 s", async () => {
  await checkLaggingControls();
});
