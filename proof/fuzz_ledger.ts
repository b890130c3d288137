/**
 * Stateful fuzz model of the sample ledger against an oracle of maps: entries crash before and after a commit,
 * responses are lost, cursors are repeated and skipped, duplicate commits arrive late, and versions are published
 * and the machine is restored from a snapshot at any time.
 *
 * @module
 */
import assert from "node:assert/strict";
import {
  formatCursor,
  HOLDER_LEASE_MS,
  type LeasedGroup,
  type SubmitCommand,
} from "#samples";
import { decodeValue, encodeValue } from "#wire";
import fc from "fast-check";
import type { FuzzOptions } from "./fuzz.ts";
import {
  type LedgerOperation,
  operationArbitrary,
  TRAINERS,
} from "./ledger_operations.ts";
import {
  groupKey,
  type LedgerOracle,
  MAXIMUM_STALENESS,
  MODEL_OF,
} from "./ledger_oracle.ts";
import { createLedger, LedgerRun } from "./ledger_run.ts";

const MAXIMUM_UNFINISHED_STEPS = 4;
const RETAINED_PAGES = 4;
const MAXIMUM_COMMANDS = 60;

class OperationCommand implements fc.Command<LedgerOracle, LedgerRun> {
  readonly operation: LedgerOperation;

  constructor(operation: LedgerOperation) {
    this.operation = operation;
  }

  check(): boolean {
    return true;
  }

  run(_oracle: LedgerOracle, run: LedgerRun): void {
    runOperation(run, this.operation);
  }

  toString(): string {
    return JSON.stringify(this.operation);
  }
}

function runOperation(run: LedgerRun, operation: LedgerOperation): void {
  if (operation.kind === "submit") return runSubmit(run, operation);
  if (operation.kind === "lease") return runLease(run, operation);
  if (operation.kind === "commit") return runCommit(run, operation);
  if (operation.kind === "publish") return runPublish(run, operation);
  if (operation.kind === "deliver") return runDeliver(run, operation);
  if (operation.kind === "bad_cursor") return runBadCursor(run, operation);
  if (operation.kind === "release") return runRelease(run, operation.holder);
  if (operation.kind === "wait") {
    run.nowMs += operation.durationMs;
    return;
  }
  const state = decodeValue(encodeValue(run.machine.snapshot()));
  run.machine = createLedger();
  run.machine.restore(state);
}

function runSubmit(
  run: LedgerRun,
  operation: Extract<LedgerOperation, { readonly kind: "submit" }>,
): void {
  const { trainer, step } = operation;
  const command: SubmitCommand = {
    kind: "submit",
    trainer,
    step,
    groupSize: operation.size,
    bound: operation.bound,
    deadlineMs: 60_000,
    maximumTokens: 64,
    groups: Array.from({ length: operation.groups }, (_, group) => ({
      group,
      prompt: `${trainer} ${step} ${group}`,
    })),
  };
  const known = run.oracle.steps.get(`${trainer}/${step}`);
  if (known !== undefined) {
    const same = JSON.stringify(known.command) === JSON.stringify(command);
    if (!same) return run.expectRejection(command, "conflict");
    assert.ok(run.apply(command).ok);
    return;
  }
  if (operation.bound > MAXIMUM_STALENESS) {
    return run.expectRejection(command, "bound_cannot_be_met");
  }
  if (run.oracle.countUnfinishedSteps(trainer) >= MAXIMUM_UNFINISHED_STEPS) {
    return run.expectRejection(command, "too_many_requests");
  }
  assert.ok(run.apply(command).ok);
  run.oracle.steps.set(`${trainer}/${step}`, {
    command,
    model: MODEL_OF.get(trainer) ?? "",
  });
}

function runLease(
  run: LedgerRun,
  operation: Extract<LedgerOperation, { readonly kind: "lease" }>,
): void {
  const { holder } = operation;
  if (operation.restartsHolder) {
    run.epochs.set(holder, (run.epochs.get(holder) ?? 0) + 1);
    run.sequences.set(holder, 0);
  }
  const last = run.sequences.get(holder) ?? 0;
  const repeats = operation.repeatsSequence && last > 0;
  const sequence = repeats ? last : last + 1;
  run.sequences.set(holder, sequence);
  const newest = operation.returnsNewestGroup
    ? run.leasedGroups.at(-1)
    : undefined;
  const reply = run.apply({
    kind: "lease",
    holder,
    epoch: `epoch-${run.epochs.get(holder) ?? 0}`,
    sequence,
    limit: operation.limit,
    returned: newest === undefined ? [] : [{
      trainer: newest.trainer,
      step: newest.step,
      group: newest.group,
    }],
  });
  assert.ok(reply.ok && reply.val.kind === "leased");
  for (const group of reply.val.groups) {
    const key = groupKey(group, group.group);
    assert.ok(!run.oracle.ready.has(key), `${key} is already complete`);
    assert.ok(!run.oracle.delivered.has(key), `${key} was already delivered`);
    run.leasedGroups.push(group);
  }
}

function runCommit(
  run: LedgerRun,
  operation: Extract<LedgerOperation, { readonly kind: "commit" }>,
): void {
  const group = run
    .leasedGroups[
      operation.groupIndex % Math.max(1, run.leasedGroups.length)
    ];
  if (group === undefined) return;
  const newest = run.oracle.newestVersions.get(group.model) ?? 3;
  commitGroup(run, group, Math.max(0, newest - operation.versionsBehind));
  if (operation.commitsTwice) {
    commitGroup(run, group, Math.max(0, newest - operation.versionsBehind));
  }
}

function commitGroup(run: LedgerRun, group: LeasedGroup, oldest: number): void {
  run.commitCount += 1;
  const commitLabel = `commit ${run.commitCount}`;
  const samples = Array.from({ length: group.groupSize }, (_, index) => ({
    tokens: 4,
    versions: index === 0
      ? [{ version: oldest + 1, tokens: 3 }, { version: oldest, tokens: 1 }]
      : [{ version: oldest, tokens: 4 }],
    score: 0.5,
    textBytes: 1,
  }));
  const reply = run.apply({
    kind: "commit",
    trainer: group.trainer,
    step: group.step,
    group: group.group,
    samples,
    text: new TextEncoder().encode(commitLabel),
  });
  assert.ok(reply.ok && reply.val.kind === "commit");
  const key = groupKey(group, group.group);
  const step = run.oracle.steps.get(`${group.trainer}/${group.step}`);
  assert.ok(step);
  if (run.oracle.ready.has(key) || run.oracle.delivered.has(key)) {
    assert.equal(reply.val.outcome, "duplicate");
    return;
  }
  if (!run.oracle.isWithinBound(step, oldest)) {
    assert.equal(reply.val.outcome, "too_old");
    return;
  }
  assert.equal(reply.val.outcome, "committed");
  run.oracle.ready.set(key, {
    trainer: group.trainer,
    step: group.step,
    group: group.group,
    oldestVersion: oldest,
    commitLabel,
  });
}

function runPublish(
  run: LedgerRun,
  operation: Extract<LedgerOperation, { readonly kind: "publish" }>,
): void {
  const { trainer } = operation;
  const model = MODEL_OF.get(trainer) ?? "";
  const newest = run.oracle.newestVersions.get(model);
  const version = Math.max(0, (newest ?? 3) + operation.versionDelta);
  const command = { kind: "publish", trainer, version };
  const isOlder = newest !== undefined && version < newest;
  const publishedByOther = newest === version &&
    run.oracle.publishers.get(model) !== trainer;
  if (isOlder || publishedByOther) {
    return run.expectRejection(command, "conflict");
  }
  assert.ok(run.apply(command).ok);
  run.oracle.publishers.set(model, trainer);
  run.oracle.publish(model, version);
}

/** Requests a page after the newest cursor, or after the cursor `pagesBack` pages before it. */
function runDeliver(
  run: LedgerRun,
  operation: Extract<LedgerOperation, { readonly kind: "deliver" }>,
): void {
  const { trainer, limit } = operation;
  const pageOffsets = run.oracle.pageOffsets.get(trainer) ?? [];
  const newestOffset = run.oracle.newestOffsets.get(trainer) ?? 0;
  const offset = operation.pagesBack === 0
    ? newestOffset
    : pageOffsets[pageOffsets.length - operation.pagesBack] ?? newestOffset;
  const command = {
    kind: "deliver",
    trainer,
    after: formatCursor(trainer, offset),
    limit,
  };
  if (offset !== newestOffset && operation.pagesBack > RETAINED_PAGES + 1) {
    return run.expectRejection(command, "stale_cursor");
  }
  const reply = run.apply(command);
  if (reply.err && operation.pagesBack > RETAINED_PAGES) {
    assert.equal(reply.val.kind, "stale_cursor");
    return;
  }
  assert.ok(reply.ok && reply.val.kind === "page");
  const { cursor, groups } = reply.val;
  const bytes = JSON.stringify(reply.val);
  if (offset !== newestOffset) {
    const known = run.oracle.pagesByCursor.get(command.after);
    assert.equal(bytes, known, "a repeated cursor returned different bytes");
    return;
  }
  const ready = run.oracle.readyGroupsOf(trainer).length;
  assert.equal(groups.length > 0, ready > 0, "ready groups must be delivered");
  let samples = 0;
  for (const group of groups) {
    run.oracle.recordDelivery(trainer, group);
    samples += group.samples.length;
  }
  assert.ok(
    samples <= limit || groups.length === 1,
    "more samples than the limit",
  );
  assert.equal(cursor, formatCursor(trainer, newestOffset + samples));
  if (groups.length === 0) return;
  run.oracle.pagesByCursor.set(command.after, bytes);
  run.oracle.pageOffsets.set(trainer, [...pageOffsets, offset]);
  run.oracle.newestOffsets.set(trainer, newestOffset + samples);
}

function runBadCursor(
  run: LedgerRun,
  operation: Extract<LedgerOperation, { readonly kind: "bad_cursor" }>,
): void {
  const { trainer } = operation;
  const newestOffset = run.oracle.newestOffsets.get(trainer) ?? 0;
  const other = TRAINERS.find((name) => name !== trainer) ?? "";
  for (
    const after of [
      formatCursor(trainer, newestOffset + operation.samplesPastEnd),
      formatCursor(other, newestOffset),
      "not a cursor",
    ]
  ) {
    const command = { kind: "deliver", trainer, after, limit: 8 };
    run.expectRejection(command, "malformed_request");
  }
}

function runRelease(run: LedgerRun, holder: string): void {
  const epoch = `epoch-${run.epochs.get(holder) ?? 0}`;
  assert.ok(run.apply({ kind: "release", holder, epoch }).ok);
  run.epochs.set(holder, (run.epochs.get(holder) ?? 0) + 1);
  run.sequences.set(holder, 0);
}

/** Expires all leases; a new entry must then be able to finish every step. */
function finishAllSteps(run: LedgerRun): void {
  run.nowMs += HOLDER_LEASE_MS + 1;
  for (let round = 1; round <= 4; round += 1) {
    const reply = run.apply({
      kind: "lease",
      holder: "entry-last",
      epoch: "last",
      sequence: round,
      limit: 1_000,
      returned: [],
    });
    assert.ok(reply.ok && reply.val.kind === "leased");
    for (const group of reply.val.groups) {
      commitGroup(run, group, run.oracle.newestVersions.get(group.model) ?? 3);
    }
    for (const trainer of TRAINERS) {
      runDeliver(run, { kind: "deliver", trainer, pagesBack: 0, limit: 4_096 });
    }
  }
  for (const { command } of run.oracle.steps.values()) {
    for (const { group } of command.groups) {
      const key = groupKey(command, group);
      assert.ok(run.oracle.delivered.has(key), `${key} was never delivered`);
    }
  }
}

/** Runs the fuzz model; on a failed check throws an error with the seed and the shrunk commands. */
export function fuzz(options: FuzzOptions): Promise<void> {
  const commands = fc.commands(
    [operationArbitrary().map((operation) => new OperationCommand(operation))],
    { maxCommands: MAXIMUM_COMMANDS, size: "max" },
  );
  fc.assert(
    fc.property(commands, (list) => {
      const run = new LedgerRun();
      fc.modelRun(() => ({ model: run.oracle, real: run }), list);
      finishAllSteps(run);
    }),
    { seed: options.seed, numRuns: options.runs, includeErrorInReport: true },
  );
  return Promise.resolve();
}
