import assert from "node:assert/strict";
import { test } from "node:test";
import { delay } from "./managed_process.ts";
import type { StreamCounts } from "./stream_counts.ts";
import { StreamSite } from "./stream_site.ts";

const LOAD = { spanMs: 4_000, callers: 40 };
const SITE = { block: "127.8", network: 13, seed: 41, isPlain: true };

/** Checks that nothing was joined. */
function checkJoined(phase: string, counts: StreamCounts): void {
  console.log(phase, JSON.stringify(counts));
  const seen = `${phase}: ${JSON.stringify(counts)}`;
  assert.equal(counts.joinedWithinResponse, 0, seen);
  assert.equal(counts.joinedOverTries, 0, seen);
  assert.equal(counts.outOfOrder, 0, seen);
}

/** Checks that streams which broke off went on at least half as often as new ones began. */
function checkTakeUps(phase: string, counts: StreamCounts): void {
  const { streams, begun, takenUp, completedAfterTakeUp } = counts;
  const goneOn = completedAfterTakeUp / Math.max(1, takenUp);
  const seen = `${phase}: ${JSON.stringify(counts)}`;
  assert.ok(takenUp < 12 || goneOn >= 0.5 * begun / streams, seen);
}

function checkStreams(phase: string, counts: StreamCounts): void {
  checkJoined(phase, counts);
  checkTakeUps(phase, counts);
}

// Guards against streams joined from two versions because a VM believes the last heartbeat of a worker that has started
// again with other software and does not say who it is.
test("no stream of a plain service is joined from two software versions, also by a VM that stood still", async (context) => {
  const site = await StreamSite.start(SITE);
  let counts: StreamCounts | undefined;
  /** Workers 0 and 2 start again under their identifiers, four times in turn. */
  const replaceWorkers = async (): Promise<void> => {
    for (const softwareVersion of ["v2", "v1"]) {
      for (const at of [0, 2]) {
        await delay(200);
        await site.replaceWorker(at, { softwareVersion, downMs: 50 });
      }
    }
  };
  try {
    await context.test("while workers break off streams", async () => {
      checkStreams("breaks", await site.load(LOAD));
    });

    await context.test("while workers come back newer and older under their identifiers", async () => {
      const load = site.load(LOAD);
      await replaceWorkers();
      checkStreams("restarts", await load);
    });

    await context.test("while an entry VM stands still in a release", async () => {
      const load = site.load(LOAD);
      const release = replaceWorkers();
      for (const zone of [0, 1]) {
        await delay(100);
        await site.suspendEntry(zone, 1_200);
      }
      await release;
      counts = await load;
      checkJoined("stands still", counts);
    });

    const knownRed = "KNOWN-RED 35: fails on a busy machine";
    await context.test(
      "and half of its take-ups go on",
      { todo: knownRed },
      () => {
        assert.ok(counts !== undefined);
        checkTakeUps("stands still", counts);
      },
    );
  } finally {
    await site.close();
  }
});
