import { test } from "node:test";
import {
  checkPropagationWithoutFaults,
  fuzzRegistry,
} from "./registry_model.ts";

test("the entries of a zone agree with a map of the upstreams' announcements through partitions, pauses and restarts", async () => {
  await fuzzRegistry({ seed: 51, runs: 150 });
});

test("without faults every entry of the zone learns of an announcement and a leave within 2 s", async () => {
  await checkPropagationWithoutFaults();
});
