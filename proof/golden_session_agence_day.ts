/**
 * Golden session: a day at the Agence, with drafting batches, lookups, and a partition of one zone and its repair.
 *
 * @module
 */
import { Caller } from "./caller.ts";
import {
  CLUSTER_DEFAULTS,
  ProcessCluster,
  retryUntilConclusive,
} from "./process_cluster.ts";
import { siteFakes } from "./site_fakes.ts";
import type { Transcript } from "./transcript.ts";
import { runDraftTrainer, submitNextVersion } from "./zone_cut.ts";

const SITE = { block: "127.7", network: 21, zones: CLUSTER_DEFAULTS.zones };
const REPAIR_TIMEOUT_MS = 30_000;

/** The partitioned zone, and the entry VMs on both sides of the partition. */
interface PartitionSides {
  readonly zone: string;
  readonly inside: readonly string[];
  readonly outside: readonly string[];
}

/** Runs the session against a new cluster. */
export async function session(transcript: Transcript): Promise<void> {
  const cluster = await ProcessCluster.start({
    ...CLUSTER_DEFAULTS,
    ...SITE,
    fakes: siteFakes({ ...SITE, models: ["draft"], engineFlags: [] }),
  });
  try {
    await cluster.waitForUpstreams(7);
    const cursor = await runDrafting(cluster, transcript);
    const sides = await chooseSides(cluster);
    await runDuringPartition(cluster, { transcript, sides });
    await runAfterRepair(cluster, { transcript, sides, cursor });
  } finally {
    await cluster.cleanUp();
  }
}

async function runDrafting(
  cluster: ProcessCluster,
  transcript: Transcript,
): Promise<string> {
  transcript.startSection("drafting and lookups at the same time");
  const climber = new Caller(cluster, { tenant: "agence", class: "lookup" });
  const entries = cluster.vms("entry").map((vm) => vm.name);
  const drafted = runDraftTrainer(cluster, {
    entries,
    run: 1,
    cursor: "",
  });
  const lookups = await Promise.all(
    entries.map((vm) =>
      climber.service(vm, {
        method: "GET",
        service: "lookup",
        path: "/crags/ngor",
      })
    ),
  );
  const report = await drafted;
  const found = lookups.filter((response) => response.status === 200);
  transcript.addObservation(
    `${found.length} of ${lookups.length} lookups answered`,
  );
  transcript.addObservation(
    `${report.samples} samples, ${report.doubled} doubled, ${report.untrue} untrue`,
  );
  return report.cursor;
}

/** Selects the zone to partition: the last one that does not contain the leader of the control VMs. */
async function chooseSides(cluster: ProcessCluster): Promise<PartitionSides> {
  const entries = cluster.vms("entry");
  const leader = (await cluster.status("entry-a1"))?.leader;
  const leading = cluster.vms("control").find((vm) => vm.name === leader);
  const zone = SITE.zones.findLast((each) => each !== leading?.zone) ?? "c";
  const names = (isInside: boolean): readonly string[] =>
    entries.filter((vm) => (vm.zone === zone) === isInside)
      .map((vm) => vm.name);
  return { zone, inside: names(true), outside: names(false) };
}

async function runDuringPartition(
  cluster: ProcessCluster,
  context: { readonly transcript: Transcript; readonly sides: PartitionSides },
): Promise<void> {
  const { transcript, sides } = context;
  const [insider = ""] = sides.inside;
  const [outsider = ""] = sides.outside;
  const editor = new Caller(cluster, { tenant: "agence", class: "lookup" });
  cluster.partitionZone(sides.zone);
  await cluster.waitForPartition(insider);
  transcript.startSection(
    "a zone is partitioned: inside, lookups and drafting continue",
  );
  for (const [index, vm] of sides.inside.entries()) {
    const lookup = await editor.service(vm, {
      method: "GET",
      service: "lookup",
      path: "/crags/mamelles",
    });
    transcript.addObservation(`entry ${index + 1}: lookup ${lookup.status}`);
    const draft = await editor.completion(vm, {
      model: "draft",
      prompt: "new bolts at the Mamelles, six pitches",
      max_tokens: 8,
      seed: 1,
    });
    transcript.addObservation(`entry ${index + 1}: completion ${draft.status}`);
  }
  transcript.startSection(
    "inside, a save with an idempotency key is rejected and not sent",
  );
  const rejected = await editor.service(insider, {
    method: "POST",
    service: "cards",
    path: "/cards",
    body: { id: "card-c" },
    key: "note-1",
  });
  const kind = /"kind":"(\w+)"/.exec(rejected.text)?.[1];
  transcript.addObservation(`status ${rejected.status}, kind ${kind}`);
  transcript.addObservation(`ran ${rejected.headers["cicadafield-ran"]}`);
  const retryAfter = rejected.headers["retry-after"] !== undefined;
  transcript.addObservation(`retry-after header: ${retryAfter}`);
  transcript.startSection(
    "outside, a save with an idempotency key is accepted",
  );
  transcript.addCall(
    "POST card-a, key note-2",
    await retryUntilConclusive(() =>
      editor.service(outsider, {
        method: "POST",
        service: "cards",
        path: "/cards",
        body: { id: "card-a" },
        key: "note-2",
      })
    ),
  );
  transcript.startSection(
    "outside, version 2 is accepted; inside, version 1 remains active",
  );
  const submitted = await submitNextVersion(cluster, {
    vm: outsider,
    from: cluster.firstBundle,
  });
  transcript.addObservation(`status ${submitted.status}`);
  await cluster.waitForVersion(2, {
    vms: sides.outside,
    timeoutMs: REPAIR_TIMEOUT_MS,
  });
  transcript.addObservation("outside: version 2 active on 4 of 4");
  for (const vm of sides.inside) {
    transcript.addObservation(
      `inside: version ${await cluster.activeVersion(vm)}`,
    );
  }
}

async function runAfterRepair(
  cluster: ProcessCluster,
  context: {
    readonly transcript: Transcript;
    readonly sides: PartitionSides;
    readonly cursor: string;
  },
): Promise<void> {
  const { transcript, sides, cursor } = context;
  const [insider = ""] = sides.inside;
  cluster.partitionZone(undefined);
  transcript.startSection(
    "the partition is repaired: version 2 becomes active inside",
  );
  await cluster.waitForVersion(2, {
    vms: sides.inside,
    timeoutMs: REPAIR_TIMEOUT_MS,
  });
  transcript.addObservation("inside: version 2 active on 2 of 2");
  const editor = new Caller(cluster, { tenant: "agence", class: "lookup" });
  transcript.startSection(
    "inside, the rejected save is sent again and accepted",
  );
  transcript.addCall(
    "POST card-c, key note-1",
    await retryUntilConclusive(() =>
      editor.service(insider, {
        method: "POST",
        service: "cards",
        path: "/cards",
        body: { id: "card-c" },
        key: "note-1",
      })
    ),
  );
  transcript.startSection("drafting continues through the reconnected zone");
  const report = await runDraftTrainer(cluster, {
    entries: sides.inside,
    run: 2,
    cursor,
  });
  transcript.addObservation(`${report.stepsWhole} step complete`);
}
