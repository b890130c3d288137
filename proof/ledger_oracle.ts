/**
 * Oracle of the sample ledger: plain maps of the submitted steps, the committed and delivered groups, and the
 * pages that each trainer received.
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

/** A complete group that the ledger accepted. */
export interface OracleGroup {
  readonly trainer: string;
  readonly step: number;
  readonly group: number;
  readonly oldestVersion: number;
  /** Identifies the commit; also the text of the group. */
  readonly commitLabel: string;
}

/** Model of each trainer; two trainers share a model. */
export const MODEL_OF: ReadonlyMap<string, string> = new Map([
  ["tuner", "advice"],
  ["second", "advice"],
  ["drafter", "routes"],
]);
/** Largest staleness bound that the bundle allows for a step. */
export const MAXIMUM_STALENESS = 2;

/** Expected state of the ledger. */
export class LedgerOracle {
  readonly steps = new Map<string, OracleStep>();
  readonly ready = new Map<string, OracleGroup>();
  readonly delivered = new Map<string, string>();
  readonly newestVersions = new Map<string, number>();
  readonly publishers = new Map<string, string>();
  /** Delivered pages as JSON, by the cursor that precedes each. */
  readonly pagesByCursor = new Map<string, string>();
  /** Offset of the newest cursor of each trainer, whether or not the response with it arrived. */
  readonly newestOffsets = new Map<string, number>();
  /** Offsets of the cursors that precede the pages of each trainer, oldest first. */
  readonly pageOffsets = new Map<string, number[]>();

  /** Whether a sample of the step with this oldest version may be delivered now. */
  isWithinBound(step: OracleStep, oldest: number): boolean {
    const newest = this.newestVersions.get(step.model);
    return newest === undefined || oldest >= newest - step.command.bound;
  }

  /** Counts the steps of a trainer that have undelivered groups. */
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

  /** Publishes a version and drops ready groups that it makes too old. */
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

  /** Checks a group that the ledger delivered, and records its delivery. */
  recordDelivery(trainer: string, group: DeliveredGroup): void {
    const key = `${trainer}/${group.step}/${group.group}`;
    const step = this.steps.get(`${trainer}/${group.step}`);
    assert.ok(step, `${key} belongs to no submitted step`);
    assert.ok(!this.delivered.has(key), `${key} was delivered twice`);
    const known = this.ready.get(key);
    assert.ok(known, `${key} was delivered but is not ready`);
    assert.equal(
      group.samples.length,
      step.command.groupSize,
      "the delivered group is incomplete",
    );
    let oldest = Number.MAX_SAFE_INTEGER;
    for (const sample of group.samples) {
      for (const run of sample.versions) {
        oldest = Math.min(oldest, run.version);
      }
    }
    assert.ok(
      this.isWithinBound(step, oldest),
      `${key} exceeds its staleness bound`,
    );
    assert.equal(
      new TextDecoder().decode(group.text),
      known.commitLabel,
      "the text of a duplicate commit was delivered",
    );
    this.ready.delete(key);
    this.delivered.set(key, known.commitLabel);
  }

  /** Returns the groups of a trainer that are ready for delivery. */
  readyGroupsOf(trainer: string): readonly OracleGroup[] {
    return [...this.ready.values()].filter((group) =>
      group.trainer === trainer
    );
  }
}

/** Returns the key of a group of a step. */
export function groupKey(
  step: { readonly trainer: string; readonly step: number },
  group: number,
): string {
  return `${step.trainer}/${step.step}/${group}`;
}
