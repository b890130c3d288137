/**
 * Metrics of group generation at an entry.
 *
 * @module
 */
import type { Metrics, Milliseconds, TrainerEntry } from "#core";

const LABELS = ["trainer", "tenant", "class"] as const;

/** Counts finished groups by outcome, and records the duration of committed ones. */
export class SampleMetrics {
  readonly #groups;
  readonly #seconds;

  constructor(metrics: Metrics) {
    this.#groups = metrics.counter({
      name: "cicadafield_groups_total",
      help: "Groups whose generation finished at this entry, by outcome.",
      labels: [...LABELS, "outcome"],
    });
    this.#seconds = metrics.latency({
      name: "cicadafield_group_seconds",
      help: "Time from the lease of a group until its commit.",
      labels: LABELS,
    });
  }

  /** Records a group whose generation finished. */
  recordGroup(
    trainer: TrainerEntry,
    finished: { readonly outcome: string; readonly durationMs: Milliseconds },
  ): void {
    const labels = {
      trainer: trainer.name,
      tenant: trainer.tenant,
      class: trainer.class,
    };
    this.#groups.inc({ ...labels, outcome: finished.outcome });
    if (finished.outcome !== "committed") return;
    this.#seconds.observe(labels, finished.durationMs / 1_000);
  }
}
