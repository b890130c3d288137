/**
 * Metrics of samples at an entry.
 *
 * @module
 */
import type { Metrics, Milliseconds, TrainerEntry } from "#core";

const LABELS = ["trainer", "tenant", "class"] as const;

/** Counts and times groups. */
export class SampleMetrics {
  readonly #groups;
  readonly #seconds;

  constructor(metrics: Metrics) {
    this.#groups = metrics.counter({
      name: "cicadafield_groups_total",
      help: "Groups whose work ended at this entry, by outcome.",
      labels: [...LABELS, "outcome"],
    });
    this.#seconds = metrics.latency({
      name: "cicadafield_group_seconds",
      help: "Time from the lease of a group until it was committed.",
      labels: LABELS,
    });
  }

  /** Notes that the work on a group ended. */
  recordGroup(
    trainer: TrainerEntry,
    ended: { readonly outcome: string; readonly tookMs: Milliseconds },
  ): void {
    const labels = {
      trainer: trainer.name,
      tenant: trainer.tenant,
      class: trainer.class,
    };
    this.#groups.inc({ ...labels, outcome: ended.outcome });
    if (ended.outcome !== "committed") return;
    this.#seconds.observe(labels, ended.tookMs / 1_000);
  }
}
