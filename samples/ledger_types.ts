/**
 * Commands, queries and replies of the sample ledger, with the schemas that validate input from other
 * VMs.
 *
 * @module
 */
import { type Milliseconds, type VersionRun } from "#core";
import { z } from "zod";

/** Maximum number of groups in one step. */
export const MAXIMUM_GROUPS = 8_192;
/** Maximum number of samples in one group. */
export const MAXIMUM_GROUP_SIZE = 1_024;
/** Maximum number of samples in one step. */
export const MAXIMUM_STEP_SAMPLES = 65_536;
/** Maximum length of one prompt. */
export const MAXIMUM_PROMPT_CHARACTERS = 262_144;
/** Maximum number of tokens in one sample. */
export const MAXIMUM_SAMPLE_TOKENS = 1_048_576;
/** Maximum number of tokens in one group, so that a complete group fits into one message. */
export const MAXIMUM_GROUP_TOKENS = 2_097_152;
/** Maximum number of samples that a trainer may request in one page. */
export const MAXIMUM_PAGE_SAMPLES = 4_096;

const name = z.string().min(1).max(128);
const count = z.number().int().nonnegative();
const version = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

/** Schema of one group in a step submitted by a trainer. */
export const groupRequestSchema = z.object({
  group: count.max(MAXIMUM_GROUPS - 1),
  prompt: z.string().min(1).max(MAXIMUM_PROMPT_CHARACTERS),
});

/** Schema of a step submitted by a trainer. */
export const stepRequestSchema = z.object({
  groups: z.array(groupRequestSchema).min(1).max(MAXIMUM_GROUPS),
  groupSize: z.number().int().min(1).max(MAXIMUM_GROUP_SIZE),
  /** Staleness bound: maximum number of versions that a sample may lag behind the newest at delivery. */
  bound: version,
  /** Time allowed from the submission until the step is complete. */
  deadlineMs: z.number().int().min(1).max(86_400_000),
  maximumTokens: z.number().int().min(1).max(MAXIMUM_SAMPLE_TOKENS),
});

const versionRunSchema = z.object({ version, tokens: count });

const sampleRecordSchema = z.object({
  tokens: count.max(MAXIMUM_SAMPLE_TOKENS),
  versions: z.array(versionRunSchema).min(1).max(1_024),
  score: z.number().finite(),
  /** Size of this sample's text in UTF-8. */
  textBytes: count,
});

const submitSchema = stepRequestSchema.extend({
  kind: z.literal("submit"),
  trainer: name,
  step: version,
});

const leaseSchema = z.object({
  kind: z.literal("lease"),
  holder: name,
  /** Random identifier that the holder generates at each start. */
  epoch: name,
  /** Increases with each lease command of an epoch; a repeated value marks a retry. */
  sequence: count,
  /** Maximum number of groups requested in addition to those held. */
  limit: count.max(MAXIMUM_GROUPS),
  /** Groups that the holder can't generate and returns to the ledger. */
  returned: z.array(
    z.object({ trainer: name, step: version, group: count }),
  ).max(MAXIMUM_GROUPS),
});

const releaseSchema = z.object({
  kind: z.literal("release"),
  holder: name,
  epoch: name,
});

const commitSchema = z.object({
  kind: z.literal("commit"),
  trainer: name,
  step: version,
  group: count,
  samples: z.array(sampleRecordSchema).min(1).max(MAXIMUM_GROUP_SIZE),
  /** Texts of all samples, concatenated and compressed by `packTexts`. */
  text: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

const publishSchema = z.object({
  kind: z.literal("publish"),
  trainer: name,
  version,
});

const deliverSchema = z.object({
  kind: z.literal("deliver"),
  trainer: name,
  after: z.string().max(256),
  limit: z.number().int().min(1).max(MAXIMUM_PAGE_SAMPLES),
});

/** Schema of all commands. */
export const ledgerCommandSchema = z.discriminatedUnion("kind", [
  submitSchema,
  leaseSchema,
  releaseSchema,
  commitSchema,
  publishSchema,
  deliverSchema,
]);

/** Schema of all queries. */
export const ledgerQuerySchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("step"), trainer: name, step: version }),
  z.object({
    kind: z.literal("ready"),
    trainer: name,
    after: z.string().max(256),
  }),
  z.object({ kind: z.literal("published") }),
  z.object({ kind: z.literal("progress") }),
]);

/** A step submitted by a trainer. */
export type StepRequest = Readonly<z.infer<typeof stepRequestSchema>>;
/** Metadata of one sample; its text is stored with the group. */
export type SampleRecord = Readonly<z.infer<typeof sampleRecordSchema>>;
/** A command of the ledger. */
export type LedgerCommand = Readonly<z.infer<typeof ledgerCommandSchema>>;
/** Submits a step. */
export type SubmitCommand = Readonly<z.infer<typeof submitSchema>>;
/** Renews a holder's lease and requests groups. */
export type LeaseCommand = Readonly<z.infer<typeof leaseSchema>>;
/** Releases all groups of a holder. */
export type ReleaseCommand = Readonly<z.infer<typeof releaseSchema>>;
/** Commits a complete group. */
export type CommitCommand = Readonly<z.infer<typeof commitSchema>>;
/** Publishes a version of a trainer's model. */
export type PublishCommand = Readonly<z.infer<typeof publishSchema>>;
/** Delivers the page of samples after a cursor. */
export type DeliverCommand = Readonly<z.infer<typeof deliverSchema>>;
/** A read-only query to the ledger. */
export type LedgerQuery = Readonly<z.infer<typeof ledgerQuerySchema>>;

/** Progress of a step, in numbers of groups. */
export interface StepProgress {
  readonly trainer: string;
  readonly step: number;
  readonly groups: number;
  readonly groupSize: number;
  /** Groups that no holder has leased. */
  readonly open: number;
  readonly leased: number;
  readonly committed: number;
  readonly delivered: number;
  /** Number of times that a committed group was reopened because it became stale before delivery. */
  readonly reopened: number;
  /** Time by which the step must be complete, on the wall clock. */
  readonly deadlineAtMs: Milliseconds;
}

/** A group leased to a holder, with all that is required to generate it. */
export interface LeasedGroup {
  readonly trainer: string;
  readonly step: number;
  readonly group: number;
  readonly prompt: string;
  readonly groupSize: number;
  readonly model: string;
  readonly bound: number;
  readonly maximumTokens: number;
  readonly deadlineAtMs: Milliseconds;
}

/** Newest published version of a model. */
export interface PublishedVersion {
  readonly model: string;
  readonly version: number;
  readonly trainer: string;
}

/** Reply to a lease command. */
export interface LeaseReply {
  readonly kind: "leased";
  /** False if the holder has lost the groups that it held before. */
  readonly renewed: boolean;
  readonly groups: readonly LeasedGroup[];
  readonly published: readonly PublishedVersion[];
  readonly progress: readonly StepProgress[];
  /** Highest log time of any command, on the wall clock. */
  readonly atMs: Milliseconds;
}

/** Outcome of a commit. */
export type CommitOutcome = "committed" | "duplicate" | "too_old";

/** A group as delivered to its trainer. */
export interface DeliveredGroup {
  readonly step: number;
  readonly group: number;
  readonly prompt: string;
  readonly deliveredAtVersion: number;
  readonly samples: readonly SampleRecord[];
  readonly text: Uint8Array;
}

/** Reply to a deliver command. */
export interface DeliverReply {
  readonly kind: "page";
  /** Cursor after these groups. */
  readonly cursor: string;
  readonly groups: readonly DeliveredGroup[];
}

/** Reply of the ledger to a command. */
export type LedgerReply =
  | { readonly kind: "submitted"; readonly progress: StepProgress }
  | LeaseReply
  | { readonly kind: "released" }
  | { readonly kind: "commit"; readonly outcome: CommitOutcome }
  | { readonly kind: "published"; readonly version: number }
  | DeliverReply;

/** Result of a query to the ledger. */
export type LedgerQueryResult =
  | { readonly kind: "step"; readonly progress: StepProgress }
  | { readonly kind: "ready"; readonly ready: boolean }
  | {
    readonly kind: "published";
    readonly published: readonly PublishedVersion[];
  }
  | {
    readonly kind: "progress";
    readonly progress: readonly StepProgress[];
    readonly published: readonly PublishedVersion[];
  };

/** Returns the oldest version in a list of version runs. */
export function oldestVersion(runs: readonly VersionRun[]): number {
  let oldest = Number.MAX_SAFE_INTEGER;
  for (const run of runs) oldest = Math.min(oldest, run.version);
  return oldest;
}
