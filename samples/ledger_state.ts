/**
 * What the ledger holds: steps with their groups, and per trainer the queue of whole groups and the
 * pages handed over. All of it survives CBOR.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type {
  DeliveredGroup,
  SampleRecord,
  StepProgress,
} from "./ledger_types.ts";

/** Where a group stands. */
export type GroupPhase = "open" | "leased" | "committed" | "delivered";

/** A group that was made whole. */
export interface CommittedGroup {
  readonly samples: readonly SampleRecord[];
  readonly text: Uint8Array;
  readonly oldest: number;
}

/** One group of a step. */
export interface GroupState {
  readonly group: number;
  prompt: string;
  phase: GroupPhase;
  /** VM that makes the group, while it is leased. */
  holder: string | null;
  committed: CommittedGroup | null;
}

/** One step. */
export interface StepState {
  readonly trainer: string;
  readonly step: number;
  readonly model: string;
  /** SHA-256 of the content, by which a repeated submission is known. */
  readonly digest: string;
  readonly groupSize: number;
  readonly bound: number;
  readonly maximumTokens: number;
  /** Time from the submission until the step shall be whole. */
  readonly allowedMs: Milliseconds;
  readonly deadlineAtMs: Milliseconds;
  readonly groups: GroupState[];
  reopened: number;
}

/** A finished step, kept to answer a repeated submission. */
export interface FinishedStep {
  readonly digest: string;
  readonly progress: StepProgress;
}

/** What was handed over in one answer. */
export interface Page {
  /** Count of samples before this page. */
  readonly from: number;
  readonly to: number;
  readonly groups: readonly DeliveredGroup[];
}

/** Names a group of a trainer. */
export interface GroupReference {
  readonly step: number;
  readonly group: number;
}

/** What the ledger holds of one trainer. */
export interface TrainerState {
  readonly trainer: string;
  steps: StepState[];
  finished: FinishedStep[];
  /** Steps below this number are forgotten and can't be submitted. */
  forgottenBelow: number;
  /** Whole groups in the order of their commits. */
  ready: GroupReference[];
  /** Pages that can be asked for again, oldest first. */
  pages: Page[];
  /** Count of samples handed over. */
  handedOver: number;
}

/** A VM that makes groups. */
export interface HolderState {
  readonly holder: string;
  readonly epoch: string;
  readonly sequence: number;
  readonly renewedAtMs: Milliseconds;
  /** Groups given with the newest sequence. */
  readonly given: readonly (GroupReference & { readonly trainer: string })[];
}

/** A published version. */
export interface PublishedState {
  readonly model: string;
  readonly version: number;
  readonly trainer: string;
}

/** A trainer of whom nothing is known. */
export function emptyTrainer(trainer: string): TrainerState {
  return {
    trainer,
    steps: [],
    finished: [],
    forgottenBelow: 0,
    ready: [],
    pages: [],
    handedOver: 0,
  };
}

/** Counts the groups of a step by phase. */
export function progressOf(step: StepState): StepProgress {
  const counts = { open: 0, leased: 0, committed: 0, delivered: 0 };
  for (const group of step.groups) counts[group.phase] += 1;
  return {
    trainer: step.trainer,
    step: step.step,
    groups: step.groups.length,
    groupSize: step.groupSize,
    ...counts,
    reopened: step.reopened,
    deadlineAtMs: step.deadlineAtMs,
  };
}

/** Finds a group of a step by its number. */
export function findGroup(
  step: StepState,
  number: number,
): GroupState | undefined {
  const direct = step.groups[number];
  if (direct?.group === number) return direct;
  return step.groups.find((group) => group.group === number);
}

/** All that the ledger holds. */
export interface LedgerState {
  readonly trainers: Map<string, TrainerState>;
  readonly published: Map<string, PublishedState>;
  readonly holders: Map<string, HolderState>;
  /** Log time of the newest command. */
  atMs: Milliseconds;
}

/** A ledger that holds nothing. */
export function emptyLedger(): LedgerState {
  return {
    trainers: new Map(),
    published: new Map(),
    holders: new Map(),
    atMs: 0,
  };
}

/** Finds a step that isn't finished. */
export function findStep(
  state: LedgerState,
  trainer: string,
  step: number,
): StepState | undefined {
  const steps = state.trainers.get(trainer)?.steps ?? [];
  return steps.find((candidate) => candidate.step === step);
}

/** Newest published version of a model, or null before the first. */
export function newestVersion(
  state: LedgerState,
  model: string,
): number | null {
  return state.published.get(model)?.version ?? null;
}

/** Whether samples with this oldest version may no longer be handed over. */
export function isStale(
  state: LedgerState,
  step: StepState,
  oldest: number,
): boolean {
  const newest = newestVersion(state, step.model);
  return newest !== null && oldest < newest - step.bound;
}

/** The ledger as a plain value. */
export function serializeLedger(state: LedgerState): unknown {
  return structuredClone({
    trainers: [...state.trainers.values()],
    published: [...state.published.values()],
    holders: [...state.holders.values()],
    atMs: state.atMs,
  });
}

/** Reads a value that `freezeLedger` gave. */
export function deserializeLedger(value: unknown): LedgerState {
  const plain = structuredClone(value) as {
    readonly trainers: readonly TrainerState[];
    readonly published: readonly PublishedState[];
    readonly holders: readonly HolderState[];
    readonly atMs: Milliseconds;
  };
  return {
    trainers: new Map(plain.trainers.map((entry) => [entry.trainer, entry])),
    published: new Map(plain.published.map((entry) => [entry.model, entry])),
    holders: new Map(plain.holders.map((entry) => [entry.holder, entry])),
    atMs: plain.atMs,
  };
}
