import assert from "node:assert/strict";
import { test } from "node:test";
import { waitUntil } from "./managed_process.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { siteFakes } from "./site_fakes.ts";
import { StepReader } from "./step_reader.ts";

const GROUPS = 64;
const GROUP_SIZE = 8;
const BOUND = 2;
const READ_TIMEOUT_MS = 150_000;
const SITE = { ...CLUSTER_DEFAULTS, block: "127.6", network: 1 };
const TRAINERS = [
  { trainer: "advice-tuning", model: "advice" },
  { trainer: "draft-tuning", model: "draft" },
];

function createReaders(cluster: ProcessCluster): readonly StepReader[] {
  const body = {
    groups: Array.from({ length: GROUPS }, (_, group) => ({
      group,
      prompt: `field note ${group}: ${"loose flake ".repeat(10)}`,
    })),
    groupSize: GROUP_SIZE,
    maximumTokens: 48,
    bound: BOUND,
    deadlineMs: 540_000,
  };
  return TRAINERS.map((names) =>
    new StepReader({ cluster, ...names, step: 1, body })
  );
}

/** Waits until each trainer has received this many samples. */
async function waitForSamples(
  readers: readonly StepReader[],
  count: number,
): Promise<void> {
  await waitUntil(
    `${count} samples for each trainer`,
    READ_TIMEOUT_MS,
    () => readers.every((reader) => reader.tally.counts().samples >= count),
  );
}

async function killProcesses(
  cluster: ProcessCluster,
  readers: readonly StepReader[],
): Promise<void> {
  const publish = (version: number): Promise<unknown> =>
    Promise.all(readers.map((reader) => reader.publish(version)));
  await waitForSamples(readers, 32);
  await cluster.process("entry-a1").kill();
  await publish(2);
  await waitForSamples(readers, 128);
  await cluster.process("engine-advice-b").kill();
  await waitForSamples(readers, 192);
  const leader = (await cluster.status("entry-b1"))?.leader;
  assert.ok(leader, "no leader is known");
  await cluster.process(leader).kill();
  for (const reader of readers) {
    assert.ok(
      !reader.tally.isComplete(1),
      "the step was complete before the last fault",
    );
  }
  await publish(3);
}

test("two steps of 512 samples arrive complete, once, correct and within their staleness bound while an entry, an engine and the leader are killed", async () => {
  const standIns = siteFakes({
    ...SITE,
    models: TRAINERS.map(({ model }) => model),
    engineFlags: [],
  });
  const cluster = await ProcessCluster.start({ ...SITE, fakes: standIns });
  try {
    await cluster.waitForUpstreams(standIns.length);
    const readers = createReaders(cluster);
    for (const reader of readers) await reader.submit();
    const reads = readers.map((reader) => reader.readAll(READ_TIMEOUT_MS));
    await killProcesses(cluster, readers);
    await Promise.all(reads);
    for (const reader of readers) {
      const { samples, doubled, unasked, untrue } = reader.tally.counts();
      assert.deepEqual({
        samples,
        doubled,
        unasked,
        untrue,
        overBound: reader.overBound,
        changedPages: reader.changedPages,
      }, {
        samples: GROUPS * GROUP_SIZE,
        doubled: 0,
        unasked: 0,
        untrue: 0,
        overBound: 0,
        changedPages: 0,
      });
    }
  } finally {
    await cluster.cleanUp();
  }
});
