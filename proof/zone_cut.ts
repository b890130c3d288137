/**
 * What happens to callers, trainers and operators while a zone is cut off and after it is healed; shared by the golden
 * session and the process test.
 *
 * @module
 */
import { bundleDigest } from "#bundles";
import type { Bundle } from "#core";
import { MemoryEventLog, SystemClock } from "#core";
import { FakeTrainer, TRAINER_DEFAULTS, type TrainerReport } from "#fakes";
import type { ProcessCluster } from "./process_cluster.ts";
import { signAs } from "./site_bundle.ts";

/** What a drafting trainer does. */
export interface DraftTrainerOptions {
  /** Entry VMs that it talks to. */
  readonly entries: readonly string[];
  /** Its number among the trainer's runs, from 1; each run goes on where the one before ended. */
  readonly run: number;
  readonly cursor: string;
}

/** Runs a drafting trainer for one step. */
export function runDraftTrainer(
  cluster: ProcessCluster,
  options: DraftTrainerOptions,
): Promise<TrainerReport> {
  const trainer = new FakeTrainer({
    ...TRAINER_DEFAULTS,
    trainer: "draft-tuning",
    model: "draft",
    entries: options.entries.map((vm) => cluster.baseUrl(vm)),
    steps: 1,
    firstStep: options.run,
    version: options.run,
    cursor: options.cursor,
    trainMs: 100,
    clock: new SystemClock(),
    events: new MemoryEventLog(),
  });
  return trainer.run();
}

/** Submits the next version of a bundle, with one more tenant weight; gives the status and the bundle. */
export async function submitNextVersion(
  cluster: ProcessCluster,
  submission: { readonly vm: string; readonly from: Bundle },
): Promise<{ readonly status: number; readonly bundle: Bundle }> {
  const { from, vm } = submission;
  const bundle: Bundle = {
    ...from,
    version: from.version + 1,
    predecessor: bundleDigest(from),
    tenants: from.tenants.map((tenant) => ({
      ...tenant,
      weight: tenant.weight + 1,
    })),
  };
  const answer = await cluster.submitUntilConclusive(
    vm,
    signAs(cluster.operators[0], bundle),
  );
  return { status: answer.status, bundle };
}
