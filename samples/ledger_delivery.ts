/**
 * Commits complete groups, publishes versions and delivers samples to trainers. The order of these
 * commands in the log decides which samples are within the staleness bound.
 *
 * @module
 */
import {
  Err,
  fail,
  type Failure,
  MEBIBYTE,
  Ok,
  type Result,
  type TrainerEntry,
} from "#core";
import { formatCursor, parseCursor } from "./cursor.ts";
import { reopenGroup } from "./ledger_leases.ts";
import {
  emptyTrainer,
  findGroup,
  findStep,
  isStale,
  type LedgerState,
  newestVersion,
  type Page,
  type TrainerState,
} from "./ledger_state.ts";
import { finishStep } from "./ledger_steps.ts";
import {
  type CommitCommand,
  type CommitOutcome,
  type DeliverCommand,
  type DeliveredGroup,
  type DeliverReply,
  oldestVersion,
  type PublishCommand,
} from "./ledger_types.ts";

/** Number of acknowledged pages that can still be requested again. */
export const RETAINED_ACKNOWLEDGED_PAGES = 4;
/** Maximum size of a page; a single group may exceed it. */
const MAXIMUM_PAGE_BYTES = 2 * MEBIBYTE;

/** Commits a complete group. The first commit wins; one over the staleness bound changes nothing. */
export function commitGroup(
  state: LedgerState,
  command: CommitCommand,
): Result<CommitOutcome, Failure> {
  const step = findStep(state, command.trainer, command.step);
  if (step === undefined) return resolveMissingStep(state, command);
  const group = findGroup(step, command.group);
  if (group === undefined) {
    return Err(fail("not_found", `group ${command.group} is not in the step`));
  }
  const failure = validateCommit(command, step.groupSize);
  if (failure !== undefined) return Err(failure);
  if (group.committed !== null || group.phase === "delivered") {
    return Ok("duplicate");
  }
  let oldest = Number.MAX_SAFE_INTEGER;
  for (const sample of command.samples) {
    oldest = Math.min(oldest, oldestVersion(sample.versions));
  }
  if (isStale(state, step, oldest)) return Ok("too_old");
  group.phase = "committed";
  group.holder = null;
  group.committed = { samples: command.samples, text: command.text, oldest };
  const trainer = state.trainers.get(command.trainer);
  trainer?.ready.push({ step: step.step, group: group.group });
  return Ok("committed");
}

/** Publishes a version, and reopens the committed groups that it puts over their staleness bound. */
export function publishVersion(
  state: LedgerState,
  command: PublishCommand,
  trainerEntry: TrainerEntry,
): Result<number, Failure> {
  const { trainer, version } = command;
  const published = state.published.get(trainerEntry.model);
  if (published !== undefined && version < published.version) {
    const message = `version ${version} is below ${published.version}`;
    return Err(fail("conflict", message, { field: "version" }));
  }
  if (published?.version === version) {
    if (published.trainer === trainer) return Ok(version);
    const message = `version ${version} was published by ${published.trainer}`;
    return Err(fail("conflict", message, { field: "version" }));
  }
  state.published.set(trainerEntry.model, {
    model: trainerEntry.model,
    version,
    trainer,
  });
  for (const other of state.trainers.values()) reopenStaleGroups(state, other);
  return Ok(version);
}

function reopenStaleGroups(state: LedgerState, trainer: TrainerState): void {
  trainer.ready = trainer.ready.filter((reference) => {
    const step = findStep(state, trainer.trainer, reference.step);
    const group = step && findGroup(step, reference.group);
    if (step === undefined || !group?.committed) return false;
    if (!isStale(state, step, group.committed.oldest)) return true;
    reopenGroup(group);
    step.reopened += 1;
    return false;
  });
}

/** Delivers the next page, or returns again the page that was delivered after this cursor. */
export function deliverPage(
  state: LedgerState,
  command: DeliverCommand,
): Result<DeliverReply, Failure> {
  const trainer = state.trainers.get(command.trainer) ??
    emptyTrainer(command.trainer);
  const located = findPageAfter(trainer, command.after);
  if (located.err) return located;
  if (located.val !== null) return Ok(pageReply(trainer, located.val));
  trainer.pages.splice(0, trainer.pages.length - RETAINED_ACKNOWLEDGED_PAGES);
  const page = buildPage(state, trainer, command.limit);
  if (page.groups.length > 0) trainer.pages.push(page);
  trainer.handedOver = page.to;
  return Ok(pageReply(trainer, page));
}

/** Returns the page that was delivered after a cursor, or null if the cursor is at the end. */
export function findPageAfter(
  trainer: TrainerState,
  after: string,
): Result<Page | null, Failure> {
  const cursor = parseCursor(trainer.trainer, after);
  if (cursor.err) return cursor;
  const count = cursor.val;
  if (count === trainer.handedOver) return Ok(null);
  if (count > trainer.handedOver) {
    const message = `after: ${after} has not been issued yet`;
    return Err(fail("malformed_request", message, { field: "after" }));
  }
  const first = trainer.pages[0]?.from ?? trainer.handedOver;
  if (count < first) {
    const message = `after: the page after ${after} is no longer stored`;
    return Err(fail("stale_cursor", message, { field: "after" }));
  }
  const page = trainer.pages.find((candidate) => candidate.from === count);
  if (page !== undefined) return Ok(page);
  const message = `after: ${after} is not at the end of a page`;
  return Err(fail("malformed_request", message, { field: "after" }));
}

function buildPage(
  state: LedgerState,
  trainer: TrainerState,
  limit: number,
): Page {
  const groups: DeliveredGroup[] = [];
  let samples = 0;
  let bytes = 0;
  while (trainer.ready.length > 0) {
    const next = nextReadyGroup(state, trainer);
    if (next === undefined) break;
    const groupBytes = next.text.length + next.prompt.length;
    const full = samples + next.samples.length > limit ||
      bytes + groupBytes > MAXIMUM_PAGE_BYTES;
    if (full && groups.length > 0) break;
    groups.push(next);
    samples += next.samples.length;
    bytes += groupBytes;
    markNextDelivered(state, trainer);
  }
  const from = trainer.handedOver;
  return { from, to: from + samples, groups };
}

function nextReadyGroup(
  state: LedgerState,
  trainer: TrainerState,
): DeliveredGroup | undefined {
  const reference = trainer.ready[0];
  if (reference === undefined) return undefined;
  const step = findStep(state, trainer.trainer, reference.step);
  const group = step && findGroup(step, reference.group);
  if (step === undefined || !group?.committed) return undefined;
  return {
    step: step.step,
    group: group.group,
    prompt: group.prompt,
    deliveredAtVersion: newestVersion(state, step.model) ??
      group.committed.oldest,
    samples: group.committed.samples,
    text: group.committed.text,
  };
}

function markNextDelivered(state: LedgerState, trainer: TrainerState): void {
  const reference = trainer.ready.shift();
  if (reference === undefined) return;
  const step = findStep(state, trainer.trainer, reference.step);
  const group = step && findGroup(step, reference.group);
  if (step === undefined || group === undefined) return;
  group.phase = "delivered";
  group.committed = null;
  group.prompt = "";
  const unfinished = step.groups.some((other) => other.phase !== "delivered");
  if (!unfinished) finishStep(trainer, step);
}

function pageReply(trainer: TrainerState, page: Page): DeliverReply {
  return {
    kind: "page",
    cursor: formatCursor(trainer.trainer, page.to),
    groups: page.groups,
  };
}

function resolveMissingStep(
  state: LedgerState,
  command: CommitCommand,
): Result<CommitOutcome, Failure> {
  const trainer = state.trainers.get(command.trainer);
  const finished = trainer?.finished.some((step) =>
    step.progress.step === command.step
  );
  const forgotten = command.step < (trainer?.forgottenBelow ?? 0);
  if (finished || forgotten) return Ok("duplicate");
  return Err(fail("not_found", `unknown step ${command.step}`));
}

function validateCommit(
  command: CommitCommand,
  groupSize: number,
): Failure | undefined {
  if (command.samples.length !== groupSize) {
    const message = `samples: got ${command.samples.length}, need ${groupSize}`;
    return fail("malformed_request", message, { field: "samples" });
  }
  for (const sample of command.samples) {
    let tokens = 0;
    for (const run of sample.versions) tokens += run.tokens;
    if (tokens === sample.tokens) continue;
    const message = `versions: cover ${tokens} of ${sample.tokens} tokens`;
    return fail("malformed_request", message, { field: "versions" });
  }
  return undefined;
}
