import { test } from "node:test";
import {
  checkPropagationWithoutFaults,
  fuzzRegistry,
  playRegistry,
  type RegistryCommand,
} from "./registry_model.ts";

/** Kind, entry, other entry, upstream of each command of a run that failed once, and its seed. */
const LEAVE_BEYOND_CUT = [
  ["cut", 0, 1, 0],
  ["leave", 0, 0, 2],
  ["wait", 0, 0, 0],
  ["wait", 0, 0, 0],
  ["freeze", 1, 0, 0],
  ["announce", 0, 0, 0],
  ["wait", 0, 0, 0],
  ["announce", 0, 0, 0],
  ["wait", 0, 0, 0],
  ["wait", 0, 0, 0],
  ["announce", 0, 0, 0],
] as const satisfies readonly [
  RegistryCommand["kind"],
  number,
  number,
  number,
][];
const LEAVE_BEYOND_CUT_SEED = 36641;

test("the entries of a zone agree with a map of the upstreams' announcements through partitions, pauses and restarts", async () => {
  await fuzzRegistry({ seed: 51, runs: 150 });
});

test("without faults every entry of the zone learns of an announcement and a leave within 2 s", async () => {
  await checkPropagationWithoutFaults();
});

// Guards against an upstream that is used for too long by a VM that heard of its home, but not of its leave.
test("an entry beyond a cut learns of a leave from the home of the upstream", async () => {
  const commands = LEAVE_BEYOND_CUT.map(([kind, entry, other, upstream]) => ({
    kind,
    entry,
    other,
    upstream,
  }));
  await playRegistry(commands, LEAVE_BEYOND_CUT_SEED);
});
