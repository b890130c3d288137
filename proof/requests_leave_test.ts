import assert from "node:assert/strict";
import { test } from "node:test";
import { JsonClient } from "#fakes";
import { Caller } from "./caller.ts";
import { delay } from "./managed_process.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { type FakeProcess, fakeProcessUrl, siteFakes } from "./site_fakes.ts";

const SITE = { block: "127.5", network: 31, zones: CLUSTER_DEFAULTS.zones };
const INCARNATION = 7;
const WORK_MS = 100;
const WORKERS_PER_ENTRY = 2;
const NOTICE_MS = 2_000;
const OBSERVATION_MS = 2_000;

function withWorkTime(standIn: FakeProcess): FakeProcess {
  if (standIn.kind !== "service") return standIn;
  const flags = [
    ...standIn.flags,
    ...["--incarnation", String(INCARNATION)],
    ...["--work-ms", String(WORK_MS)],
  ];
  return { ...standIn, flags };
}

async function callsReceivedBy(standIn: FakeProcess): Promise<number> {
  const client = new JsonClient();
  const answer = await client.send({
    method: "GET",
    baseUrl: fakeProcessUrl(standIn),
    path: "/fakes/record",
    timeoutMs: 10_000,
  });
  client.close();
  return (JSON.parse(answer.text) as { calls: number }).calls;
}

test("an upstream that leaves at one entry VM receives no new calls from any entry VM after 2 s and finishes its open calls", async () => {
  const standIns = siteFakes({ ...SITE, models: [], engineFlags: [] })
    .map(withWorkTime);
  const leaving = standIns.find((each) => each.id === "service-a");
  assert(leaving !== undefined);
  const cluster = await ProcessCluster.start({
    ...CLUSTER_DEFAULTS,
    ...SITE,
    fakes: standIns,
  });
  try {
    await cluster.waitForUpstreams(4);
    let isDone = false;
    let calls = 0;
    const failures: string[] = [];
    const caller = new Caller(cluster, { tenant: "tana", class: "lookup" });
    const work = async (vm: string, worker: number): Promise<void> => {
      for (let call = 0; !isDone; call += 1) {
        const answer = await caller.service(vm, {
          method: "POST",
          service: "cards",
          path: "/cards",
          body: { id: `${vm}-${worker}-${call}` },
        });
        calls += 1;
        if (answer.status !== 201) failures.push(`${vm}: ${answer.text}`);
      }
    };
    const running: Promise<void>[] = [];
    for (const vm of cluster.vms("entry")) {
      for (let worker = 0; worker < WORKERS_PER_ENTRY; worker += 1) {
        running.push(work(vm.name, worker));
      }
    }
    await delay(OBSERVATION_MS);
    const callsBefore = await callsReceivedBy(leaving);
    const left = await cluster.call("entry-a1", {
      method: "POST",
      path: "/v1/upstreams/service-a/leave",
      body: { incarnation: INCARNATION },
    });
    await delay(NOTICE_MS);
    const atNotice = await callsReceivedBy(leaving);
    await delay(OBSERVATION_MS);
    const after = await callsReceivedBy(leaving);
    isDone = true;
    await Promise.all(running);
    console.log(`${calls} calls, ${failures.length} failed`);
    assert.ok(left.status >= 200 && left.status < 300, left.text);
    assert.ok(callsBefore > 0);
    assert.equal(after, atNotice);
    assert.deepEqual(failures.slice(0, 5), []);
  } finally {
    await cluster.cleanUp();
  }
});
