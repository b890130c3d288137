import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { after, before, test, type TestContext } from "node:test";
import { type FleetRole, MEBIBYTE } from "#core";
import { delay, waitUntil } from "../../proof/managed_process.ts";
import { CrowdClient } from "./crowd_client.ts";
import {
  CrowdSite,
  isServed,
  type ProcessLimits,
  WAIT_LIMIT_MS,
} from "./crowd_site.ts";
import { type Crowd, CROWDS } from "./crowds.ts";

const LIMITS: ProcessLimits = {
  memoryMegabytes: 150,
  maximumDescriptors: 800,
};
/** The smallest VM on which a request of the largest size is served. */
const SMALL_VM: ProcessLimits = {
  memoryMegabytes: 210,
  maximumDescriptors: 800,
};
const MEGABYTE = 1_000_000;
const LARGEST_BODY_BYTES = 32 * MEBIBYTE;
const LARGEST_HEAD_BYTES = 16_384;
const CHUNKED_BODY_BYTES = MEBIBYTE;
const DESCRIPTOR_SAMPLE_MS = 50;
/** Samples without a further descriptor after which the process has accepted what it accepts. */
const STEADY_SAMPLES = 6;

const site = new CrowdSite();

before(() => site.start(SMALL_VM));
after(() => site.close());

/** Returns the highest resident memory of a process since its start, in megabytes. */
function peakMegabytes(processId: number | undefined): number {
  const status = readFileSync(`/proc/${processId}/status`, "utf8");
  const kibibytes = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
  return kibibytes * 1_024 / MEGABYTE;
}

function descriptorCount(processId: number | undefined): number {
  return readdirSync(`/proc/${processId}/fd`).length;
}

/** Runs all clients of a crowd, and returns the largest number of descriptors that the process had open meanwhile. */
async function runCrowd(
  crowd: Crowd,
  processId: number | undefined,
): Promise<{ readonly clients: CrowdClient[]; readonly descriptors: number }> {
  const clients: CrowdClient[] = [];
  let isOver = false;
  const acting = Array.from({ length: crowd.clients }, (_, number) => {
    const client = new CrowdClient(site.address(crowd.target), {
      reads: crowd.reads ?? true,
    });
    clients.push(client);
    return crowd.act(client, number);
  });
  const all = Promise.all(acting).then(() => isOver = true);
  let descriptors = 0;
  let steadySamples = 0;
  while (!isOver || steadySamples < STEADY_SAMPLES) {
    await Promise.race([
      isOver ? delay(DESCRIPTOR_SAMPLE_MS) : all,
      delay(DESCRIPTOR_SAMPLE_MS),
    ]);
    const count = descriptorCount(processId);
    steadySamples = count > descriptors ? 0 : steadySamples + 1;
    descriptors = Math.max(descriptors, count);
  }
  return { clients, descriptors };
}

async function check(crowd: Crowd, context: TestContext): Promise<void> {
  const role: FleetRole = crowd.target === "control" ? "control" : "entry";
  const managed = await site.restart(role, LIMITS);
  const { processId } = managed;
  const startMegabytes = peakMegabytes(processId);
  const { clients, descriptors } = await runCrowd(crowd, processId);
  const leave = (): void => {
    for (const client of clients) client.destroy();
  };
  try {
    if (crowd.leaves === true) leave();
    await waitUntil(
      "an ordinary request is served",
      WAIT_LIMIT_MS,
      () => site.sendOrdinaryRequest(crowd.target),
    );
  } finally {
    const peak = managed.isRunning ? peakMegabytes(processId) : NaN;
    context.diagnostic(
      `${startMegabytes.toFixed(0)} MB at the start, peak ${
        peak.toFixed(0)
      } MB, ${descriptors} descriptors, running: ${managed.isRunning}`,
    );
    leave();
  }
  assert.ok(managed.isRunning, managed.logTail());
  assert.equal(managed.processId, processId);
  assert.ok(descriptors < LIMITS.maximumDescriptors, `${descriptors} open`);
  const { knownRed } = crowd;
  await context.test(
    "and stays within its memory",
    knownRed === undefined ? {} : { todo: knownRed },
    () => {
      const megabytes = peakMegabytes(processId);
      assert.ok(megabytes < LIMITS.memoryMegabytes, `${megabytes} MB`);
    },
  );
}

// Each guards against a process that clients can end, fill or block; see docs/design/misbehaving-clients.md.
for (const crowd of CROWDS) {
  const title = `${crowd.target}: ${crowd.name}`;
  test(`the process withstands a crowd at ${title}`, {
    timeout: 2 * WAIT_LIMIT_MS,
  }, (context) => check(crowd, context));
}

// Guards against limits that reject what a single client may send.
test(
  "a single request with the largest body and a long head is served on a VM of 210 MB",
  {
    timeout: 2 * WAIT_LIMIT_MS,
  },
  async (context) => {
    const { processId } = await site.restart("entry", SMALL_VM);
    const body = Buffer.alloc(LARGEST_BODY_BYTES, "x");
    await waitUntil(
      "the worker is known",
      WAIT_LIMIT_MS,
      () => site.sendOrdinaryRequest("callers"),
    );
    const path = `/cards/${"a".repeat(LARGEST_HEAD_BYTES - 200)}`;
    for (let times = 0; times < 2; times += 1) {
      assert.ok(await isServed(site.address("callers"), path, { body }));
    }
    const megabytes = peakMegabytes(processId);
    context.diagnostic(`peak ${megabytes.toFixed(0)} MB`);
    assert.ok(megabytes < SMALL_VM.memoryMegabytes, `${megabytes} MB`);
  },
);

// Guards against a legal request that is refused in calm for the number of its fields or chunks.
test(
  "a single request of 200, 1,000 or 2,400 short fields, or in chunks of 4 bytes, is served on a VM of 210 MB",
  {
    timeout: 2 * WAIT_LIMIT_MS,
  },
  async (context) => {
    const { processId } = await site.restart("entry", SMALL_VM);
    await waitUntil(
      "the worker is known",
      WAIT_LIMIT_MS,
      () => site.sendOrdinaryRequest("callers"),
    );
    const callers = site.address("callers");
    for (const count of [200, 1_000, 2_400]) {
      const fields = Object.fromEntries(
        Array.from({ length: count }, (_, at) => [`${at.toString(36)}f`, ""]),
      );
      assert.ok(await isServed(callers, "/cards/a", { fields }), `${count}`);
    }
    const body = Buffer.alloc(CHUNKED_BODY_BYTES, "x");
    assert.ok(await isServed(callers, "/cards/a", { body, chunkBytes: 4 }));
    const megabytes = peakMegabytes(processId);
    context.diagnostic(`peak ${megabytes.toFixed(0)} MB`);
    assert.ok(megabytes < SMALL_VM.memoryMegabytes, `${megabytes} MB`);
  },
);
