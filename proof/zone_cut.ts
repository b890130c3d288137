/**
 * Actions of trainers and operators during and after the partition of a zone, shared by the golden session and the
 * process test.
 *
 * @module
 */
import { bundleDigest } from "#bundles";
import type { Bundle } from "#core";
import { MemoryEventLog, SystemClock } from "#core";
import { FakeTrainer, TRAINER_DEFAULTS, type TrainerReport } from "#fakes";
import type { ProcessCluster } from "./process_cluster.ts";
import { signAs } from "./site_bundle.ts";

/** Options of `runDraftTrainer`. */
export interface DraftTrainerOptions {
  /** Entry VMs that the trainer calls. */
  readonly entries: readonly string[];
  /** Number of this run of the trainer, from 1. Each run continues where the previous one ended. */
  readonly run: number;
  readonly cursor: string;
}

/** Runs the trainer of the draft model for one step. */
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

/** Submits the next version of a bundle, with each tenant's weight raised by 1; returns status and bundle. */
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
  const response = await cluster.submitUntilConclusive(
    vm,
    signAs(cluster.operators[0], bundle),
  );
  return { status: response.status, bundle };
}
