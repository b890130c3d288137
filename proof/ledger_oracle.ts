/**
 * The oracle of the ledger: maps of what was submitted, committed and handed over, and what each
 * trainer has received.
 *
 * @module
 */
import assert from "node:assert/strict";
import type { DeliveredGroup, SubmitCommand } from "#samples";

/** A step that the ledger accepted. */
export interface OracleStep {
  readonly command: SubmitCommand;
  readonly model: string;
}

/** A whole group that the ledger took. */
export interface OracleGroup {
  readonly trainer: string;
  readonly step: number;
  readonly group: number;
  readonly oldestVersion: number;
  /** Names the commit, and is the text of its first sample. */
  readonly commitLabel: string;
}

/** Model that a trainer trains; two share one. */
export const MODEL_OF: ReadonlyMap<string, string> = new Map([
  ["tuner", "advice"],
  ["second", "advice"],
  ["drafter", "routes"],
]);
/** Bound that the bundle allows. */
export const MAXIMUM_STALENESS = 2;

/** What must be true, kept as plain maps. */
export class LedgerOracle {
  readonly steps = new Map<string, OracleStep>();
  readonly ready = new Map<string, OracleGroup>();
  readonly delivered = new Map<string, string>();
  readonly newestVersions = new Map<string, number>();
  readonly publishers = new Map<string, string>();
  /** Pages by trainer and the cursor before them, as JSON. */
  readonly pagesByCursor = new Map<string, string>();
  /** Newest cursor of each trainer, whether its answer arrived or not. */
  readonly newestOffsets = new Map<string, number>();
  /** Cursors before the pages of each trainer, oldest first. */
  readonly pageOffsets = new Map<string, number[]>();

  /** Whether a sample of the step may be handed over now. */
  isWithinBound(step: OracleStep, oldest: number): boolean {
    const newest = this.newestVersions.get(step.model);
    return newest === undefined || oldest >= newest - step.command.bound;
  }

  /** Unfinished steps of a trainer. */
  countUnfinishedSteps(trainer: string): number {
    let count = 0;
    for (const step of this.steps.values()) {
      if (step.command.trainer !== trainer) continue;
      const left = step.command.groups.some(({ group }) =>
        !this.delivered.has(groupKey(step.command, group))
      );
      if (left) count += 1;
    }
    return count;
  }

  /** Publishes a version: what is now too old is no longer ready. */
  publish(model: string, version: number): void {
    this.newestVersions.set(model, version);
    for (const [key, group] of this.ready) {
      const step = this.steps.get(`${group.trainer}/${group.step}`);
      assert.ok(step);
      if (!this.isWithinBound(step, group.oldestVersion)) {
        this.ready.delete(key);
      }
    }
  }

  /** Checks one group that was handed over now, and notes it. */
  recordDelivery(trainer: string, group: DeliveredGroup): void {
    const key = `${trainer}/${group.step}/${group.group}`;
    const step = this.steps.get(`${trainer}/${group.step}`);
    assert.ok(step, `${key} is of no step`);
    assert.ok(!this.delivered.has(key), `${key} was handed over twice`);
    const known = this.ready.get(key);
    assert.ok(known, `${key} was handed over, but is not ready`);
    assert.equal(group.samples.length, step.command.groupSize, "not whole");
    let oldest = Number.MAX_SAFE_INTEGER;
    for (const sample of group.samples) {
      for (const run of sample.versions) {
        oldest = Math.min(oldest, run.version);
      }
    }
    assert.ok(this.isWithinBound(step, oldest), `${key} is over the bound`);
    assert.equal(
      new TextDecoder().decode(group.text),
      known.commitLabel,
      "twin won",
    );
    this.ready.delete(key);
    this.delivered.set(key, known.commitLabel);
  }

  /** Ready groups of a trainer. */
  readyGroupsOf(trainer: string): readonly OracleGroup[] {
    return [...this.ready.values()].filter((group) =>
      group.trainer === trainer
    );
  }
}

/** Names a group of a step. */
export function groupKey(
  step: { readonly trainer: string; readonly step: number },
  group: number,
): string {
  return `${step.trainer}/${step.step}/${group}`;
}
