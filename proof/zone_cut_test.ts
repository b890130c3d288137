import assert from "node:assert/strict";
import { test } from "node:test";
import { Caller } from "./caller.ts";
import { waitUntil } from "./managed_process.ts";
import {
  CLUSTER_DEFAULTS,
  ProcessCluster,
  retryUntilConclusive,
} from "./process_cluster.ts";
import { siteFakes } from "./site_fakes.ts";
import { runDraftTrainer, submitNextVersion } from "./zone_cut.ts";

const SITE = { block: "127.7", network: 41, zones: CLUSTER_DEFAULTS.zones };
const REPAIR_TIMEOUT_MS = 30_000;

test("after a partition of the leader's zone is repaired, no accepted request or bundle is lost or reverted", async () => {
  const cluster = await ProcessCluster.start({
    ...CLUSTER_DEFAULTS,
    ...SITE,
    fakes: siteFakes({ ...SITE, models: ["draft"], engineFlags: [] }),
  });
  try {
    await cluster.waitForUpstreams(7);
    const leader = (await cluster.status("entry-a1"))?.leader;
    const cutZone = cluster.vms("control").find((vm) => vm.name === leader)
      ?.zone ?? "a";
    const names = (isInside: boolean): readonly string[] =>
      cluster.vms("entry")
        .filter((vm) => (vm.zone === cutZone) === isInside)
        .map((vm) => vm.name);
    const inside = names(true);
    const outside = names(false);
    const [insider = ""] = inside;
    const [outsider = ""] = outside;
    const editor = new Caller(cluster, { tenant: "agence", class: "lookup" });
    const save = (vm: string, id: string) =>
      editor.service(vm, {
        method: "POST",
        service: "cards",
        path: "/cards",
        body: { id },
        key: id,
      });

    assert.equal(
      (await retryUntilConclusive(() => save(insider, "before"))).status,
      201,
    );
    cluster.partitionZone(cutZone);
    await cluster.waitForPartition(insider);

    const rejected = await save(insider, "inside");
    assert.equal(rejected.status, 503);
    assert.notEqual(rejected.headers["cicadafield-ran"], "yes");
    const lookup = await editor.service(insider, {
      method: "GET",
      service: "lookup",
      path: "/crags/ngor",
    });
    assert.equal(lookup.status, 200);
    const completion = await editor.completion(insider, {
      model: "draft",
      prompt: "six pitches at the Mamelles",
      max_tokens: 8,
      seed: 1,
    });
    assert.equal(completion.status, 200);

    assert.equal(
      (await retryUntilConclusive(() => save(outsider, "outside"))).status,
      201,
    );
    const submitted = await submitNextVersion(cluster, {
      vm: outsider,
      from: cluster.firstBundle,
    });
    assert.equal(submitted.status, 200);
    const drafted = runDraftTrainer(cluster, {
      entries: outside,
      run: 1,
      cursor: "",
    });

    cluster.partitionZone(undefined);
    const vms = cluster.vms("entry").map((vm) => vm.name);
    await cluster.waitForVersion(2, { vms, timeoutMs: REPAIR_TIMEOUT_MS });
    const report = await drafted;
    assert.equal(report.samples, 16);
    assert.equal(report.doubled + report.untrue + report.overBound, 0);
    for (const id of ["before", "inside", "outside"]) {
      const again = await retryUntilConclusive(() => save(insider, id));
      assert.equal(again.status, 201);
      assert.equal(JSON.parse(again.text).executions, 1);
    }
    await waitUntil("no VM is cut off", REPAIR_TIMEOUT_MS, async () => {
      const status = await cluster.status(insider);
      return status?.vms.every((row) => row.state !== "cut_off") ?? false;
    });
  } finally {
    await cluster.cleanUp();
  }
});
