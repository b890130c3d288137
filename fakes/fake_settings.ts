/**
 * Settings of the fakes by kind.
 *
 * @module
 */
import { z } from "zod";
import type { SettingDefinitions } from "#core";

const MAXIMUM_PORT = 65_535;

const hostSchema = z.string().regex(
  /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}$/,
  "must be an address of 127.0.0.0/8",
);
const nameSchema = z.string().regex(
  /^[A-Za-z0-9_.-]{1,64}$/,
  "must be 1 to 64 letters, digits, dots, dashes or underscores",
);
const urlSchema = z.string().regex(
  /^http:\/\/127\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}$/,
  "must look like http://127.0.1.1:8000",
);
const urlListSchema = z.string().transform((text) =>
  text.split(",").filter((url) => url !== "")
).pipe(z.array(urlSchema));
const nameListSchema = z.string().transform((text) => text.split(",")).pipe(
  z.array(nameSchema).min(1),
);
const yesNoSchema = z.enum(["yes", "no"]).transform((text) => text === "yes");
const countSchema = z.coerce.number().int().min(0);
const positiveCountSchema = z.coerce.number().int().min(1);
const nonNegativeSchema = z.coerce.number().min(0);
const fractionSchema = z.coerce.number().min(0).max(1);

/** Settings of every fake that announces itself. */
export const COMMON_SETTINGS = {
  "id": {
    help: "Identifier of the announced upstream",
    schema: nameSchema,
    example: "engine-1",
  },
  "incarnation": {
    help: "Number that increases with each start; 0 uses the wall clock",
    schema: countSchema,
    fallback: "0",
    example: "3",
  },
  "zone": { help: "Availability zone", schema: nameSchema, example: "a" },
  "listen-host": {
    help: "IP number to listen on",
    schema: hostSchema,
    example: "127.0.1.20",
  },
  "listen-port": {
    help: "TCP port to listen on",
    schema: z.coerce.number().int().min(0).max(MAXIMUM_PORT),
    example: "9000",
  },
  "entry": {
    help:
      "Base URLs of the entry VMs of the zone, in the order in which they are tried",
    schema: urlListSchema,
    fallback: "",
    example: "http://127.0.1.1:8000,http://127.0.1.2:8000",
  },
  "renew-ms": {
    help: "Interval between announcements, in milliseconds",
    schema: positiveCountSchema,
    fallback: "1000",
    example: "1000",
  },
  "report-ms": {
    help: "Interval between load reports, in milliseconds; 0 disables them",
    schema: countSchema,
    fallback: "500",
    example: "500",
  },
  "report-lag-ms": {
    help: "Age of the load measurement in a report, in milliseconds",
    schema: countSchema,
    fallback: "1000",
    example: "1000",
  },
  "capacity": {
    help: "Number of concurrent requests up to which throughput grows",
    schema: positiveCountSchema,
    fallback: "16",
    example: "16",
  },
} as const;

/** Settings of `cicadafield-fakes engine`. */
export const ENGINE_SETTINGS = {
  ...COMMON_SETTINGS,
  "model": {
    help: "Served model",
    schema: nameSchema,
    example: "advice",
  },
  "version": {
    help: "Version served after the start",
    schema: positiveCountSchema,
    fallback: "1",
    example: "4",
  },
  "weight-store": {
    help: "Base URL of the weight store; empty to load without a transfer",
    schema: z.union([z.literal("").transform(() => null), urlSchema]),
    fallback: "",
    example: "http://127.0.1.40:9300",
  },
  "swap-ms": {
    help:
      "Time from the end of a transfer until the version is served, in milliseconds",
    schema: nonNegativeSchema,
    fallback: "50",
    example: "50",
  },
  "enforces-fences": {
    help: "Whether the engine rejects orders with an old fence: yes or no",
    schema: yesNoSchema,
    fallback: "yes",
    example: "no",
  },
  "reports-versions": {
    help: "Whether each chunk reports its version: yes or no",
    schema: yesNoSchema,
    fallback: "yes",
    example: "no",
  },
  "token-ms": {
    help: "Time per token of a sequence that runs alone, in milliseconds",
    schema: z.coerce.number().min(0.01),
    fallback: "2",
    example: "2",
  },
  "slowdown-at-capacity": {
    help: "Additional time per token at capacity, as a fraction of token-ms",
    schema: nonNegativeSchema,
    fallback: "1",
    example: "1",
  },
  "prefill-token-ms": {
    help: "Time to compute a prompt token that is not cached, in milliseconds",
    schema: nonNegativeSchema,
    fallback: "0.1",
    example: "0.1",
  },
  "cache-tokens": {
    help: "Memory for sequences and cached prefixes, in tokens",
    schema: positiveCountSchema,
    fallback: "8192",
    example: "8192",
  },
  "shortest-answer": {
    help: "Minimum natural length of a completion, in tokens",
    schema: positiveCountSchema,
    fallback: "8",
    example: "8",
  },
  "longest-answer": {
    help: "Maximum natural length of a completion, in tokens",
    schema: positiveCountSchema,
    fallback: "64",
    example: "64",
  },
  "slow-part": {
    help: "Fraction of the requests that are slow on this engine, 0 to 1",
    schema: fractionSchema,
    fallback: "0",
    example: "0.01",
  },
  "slow-factor": {
    help: "Factor by which a slow request takes longer",
    schema: z.coerce.number().min(1),
    fallback: "20",
    example: "20",
  },
} as const;

/** Settings of `cicadafield-fakes service`. */
export const SERVICE_SETTINGS = {
  ...COMMON_SETTINGS,
  "services": {
    help: "Names of the announced services",
    schema: nameListSchema,
    example: "cards,lookup,scorer",
  },
  "work-ms": {
    help: "Duration of each call up to the capacity, in milliseconds",
    schema: nonNegativeSchema,
    fallback: "2",
    example: "2",
  },
} as const;

/** Settings of `cicadafield-fakes weight-store`. */
export const WEIGHT_STORE_SETTINGS = {
  ...COMMON_SETTINGS,
  "loads-per-second": {
    help: "Maximum number of transfers started per second",
    schema: z.coerce.number().min(0.01),
    fallback: "4",
    example: "4",
  },
  "transfer-ms": {
    help: "Duration of one transfer, in milliseconds",
    schema: nonNegativeSchema,
    fallback: "100",
    example: "100",
  },
} as const;

/** Settings of `cicadafield-fakes trainer`. */
export const TRAINER_SETTINGS = {
  "trainer": {
    help: "Name of the trainer in the bundle",
    schema: nameSchema,
    example: "advice-tuning",
  },
  "model": {
    help: "Model that the trainer tunes",
    schema: nameSchema,
    example: "advice",
  },
  "entry": {
    help: "Base URLs of the entry VMs, in the order in which they are tried",
    schema: urlListSchema.pipe(z.array(z.string()).min(1)),
    example: "http://127.0.1.1:8000,http://127.0.2.1:8000",
  },
  "steps": {
    help: "Number of steps to train on before the trainer exits",
    schema: positiveCountSchema,
    fallback: "1",
    example: "5",
  },
  "first-step": {
    help: "Number of the first step",
    schema: positiveCountSchema,
    fallback: "1",
    example: "1",
  },
  "cursor": {
    help: "Cursor to resume reading from; empty to start from the first sample",
    schema: z.string().max(256),
    fallback: "",
    example: "advice-tuning~64",
  },
  "steps-ahead": {
    help:
      "Number of steps submitted ahead of the one that the trainer waits for",
    schema: countSchema,
    fallback: "1",
    example: "1",
  },
  "groups": {
    help: "Number of groups per step",
    schema: positiveCountSchema,
    fallback: "4",
    example: "64",
  },
  "group-size": {
    help: "Number of samples per group",
    schema: positiveCountSchema,
    fallback: "4",
    example: "8",
  },
  "maximum-tokens": {
    help: "Maximum number of tokens per sample",
    schema: positiveCountSchema,
    fallback: "64",
    example: "64",
  },
  "maximum-staleness": {
    help: "Maximum number of versions that a sample may be behind",
    schema: countSchema,
    fallback: "2",
    example: "2",
  },
  "deadline-ms": {
    help:
      "Time from submission by which a step must be complete, in milliseconds",
    schema: positiveCountSchema,
    fallback: "540000",
    example: "540000",
  },
  "train-ms": {
    help: "Time to train on a step, in milliseconds",
    schema: nonNegativeSchema,
    fallback: "200",
    example: "200",
  },
  "version": {
    help: "Newest published version at the start",
    schema: positiveCountSchema,
    fallback: "1",
    example: "4",
  },
  "publish-every": {
    help: "Number of steps between publications; 0 disables publishing",
    schema: countSchema,
    fallback: "1",
    example: "1",
  },
  "page-limit": {
    help: "Maximum number of samples per read",
    schema: positiveCountSchema,
    fallback: "256",
    example: "256",
  },
  "wait-ms": {
    help: "Maximum time that one read waits for samples, in milliseconds",
    schema: countSchema,
    fallback: "2000",
    example: "2000",
  },
} as const;

/** A kind of fake. */
export interface FakeKind {
  readonly summary: string;
  readonly settings: SettingDefinitions;
}

/** The kinds of fakes by name. */
export const FAKE_KINDS: Readonly<Record<string, FakeKind>> = {
  "engine": {
    summary: "a model engine that batches continuously",
    settings: ENGINE_SETTINGS,
  },
  "service": {
    summary: "a plain service: job cards, lookups and a scorer",
    settings: SERVICE_SETTINGS,
  },
  "weight-store": {
    summary: "a weight store with a rate limit",
    settings: WEIGHT_STORE_SETTINGS,
  },
  "trainer": {
    summary: "a trainer that validates every sample that it receives",
    settings: TRAINER_SETTINGS,
  },
};
