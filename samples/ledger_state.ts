/**
 * State of the ledger: steps with their groups, and for each trainer the queue of committed groups and
 * the delivered pages. All values can be encoded as CBOR for snapshots.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type {
  DeliveredGroup,
  SampleRecord,
  StepProgress,
} from "./ledger_types.ts";

/** Lifecycle phase of a group. */
export type GroupPhase = "open" | "leased" | "committed" | "delivered";

/** Samples of a committed group that is not delivered yet. */
export interface CommittedGroup {
  readonly samples: readonly SampleRecord[];
  /** Texts of all samples, packed by `packTexts`. */
  readonly text: Uint8Array;
  /** Oldest model version that generated any token of the group. */
  readonly oldest: number;
}

/** One group of a step. */
export interface GroupState {
  readonly group: number;
  /** Empty after delivery. */
  prompt: string;
  phase: GroupPhase;
  /** VM that generates the group, while it is leased. */
  holder: string | null;
  committed: CommittedGroup | null;
}

/** One step. */
export interface StepState {
  readonly trainer: string;
  readonly step: number;
  readonly model: string;
  /** SHA-256 of the content; identifies a repeated submission. */
  readonly digest: string;
  readonly groupSize: number;
  readonly bound: number;
  readonly maximumTokens: number;
  /** Time allowed from the submission until the step is complete. */
  readonly allowedMs: Milliseconds;
  readonly deadlineAtMs: Milliseconds;
  readonly groups: GroupState[];
  /** Number of times that a committed group was reopened because it became stale. */
  reopened: number;
}

/** A finished step, retained to answer repeated submissions. */
export interface FinishedStep {
  readonly digest: string;
  readonly progress: StepProgress;
}

/** Groups delivered in one response. */
export interface Page {
  /** Number of samples delivered before this page. */
  readonly from: number;
  /** Number of samples delivered up to and including this page. */
  readonly to: number;
  readonly groups: readonly DeliveredGroup[];
}

/** Identifies a group of a trainer. */
export interface GroupReference {
  readonly step: number;
  readonly group: number;
}

/** State of one trainer. */
export interface TrainerState {
  readonly trainer: string;
  steps: StepState[];
  finished: FinishedStep[];
  /** Steps below this number are no longer recorded, and can't be submitted. */
  forgottenBelow: number;
  /** Committed groups awaiting delivery, in commit order. */
  ready: GroupReference[];
  /** Pages that can be requested again, oldest first. */
  pages: Page[];
  /** Number of samples delivered. */
  handedOver: number;
}

/** A VM that holds leases of groups. */
export interface HolderState {
  readonly holder: string;
  readonly epoch: string;
  readonly sequence: number;
  readonly renewedAtMs: Milliseconds;
  /** Groups assigned by the lease command with the highest sequence. */
  readonly given: readonly (GroupReference & { readonly trainer: string })[];
}

/** Newest published version of a model, and the trainer that published it. */
export interface PublishedState {
  readonly model: string;
  readonly version: number;
  readonly trainer: string;
}

/** Returns the initial state of a trainer. */
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

/** Returns the progress of a step, with its groups counted by phase. */
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

/** Returns the group of a step with the given number. */
export function findGroup(
  step: StepState,
  number: number,
): GroupState | undefined {
  const direct = step.groups[number];
  if (direct?.group === number) return direct;
  return step.groups.find((group) => group.group === number);
}

/** Complete state of the ledger. */
export interface LedgerState {
  readonly trainers: Map<string, TrainerState>;
  readonly published: Map<string, PublishedState>;
  readonly holders: Map<string, HolderState>;
  /** Highest log time of any command, on the wall clock. */
  atMs: Milliseconds;
}

/** Returns the initial state of the ledger. */
export function emptyLedger(): LedgerState {
  return {
    trainers: new Map(),
    published: new Map(),
    holders: new Map(),
    atMs: 0,
  };
}

/** Returns an unfinished step. */
export function findStep(
  state: LedgerState,
  trainer: string,
  step: number,
): StepState | undefined {
  const steps = state.trainers.get(trainer)?.steps ?? [];
  return steps.find((candidate) => candidate.step === step);
}

/** Returns the newest published version of a model, or null before the first. */
export function newestVersion(
  state: LedgerState,
  model: string,
): number | null {
  return state.published.get(model)?.version ?? null;
}

/** Whether samples with this oldest version are over the staleness bound of the step. */
export function isStale(
  state: LedgerState,
  step: StepState,
  oldest: number,
): boolean {
  const newest = newestVersion(state, step.model);
  return newest !== null && oldest < newest - step.bound;
}

/** Returns a deep copy of the state as a plain value for a snapshot. */
export function serializeLedger(state: LedgerState): unknown {
  return structuredClone({
    trainers: [...state.trainers.values()],
    published: [...state.published.values()],
    holders: [...state.holders.values()],
    atMs: state.atMs,
  });
}

/** Returns the state from a value of `serializeLedger`. */
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
