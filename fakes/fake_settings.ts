/**
 * Settings of the stand-ins by kind.
 *
 * @module
 */
import { z } from "zod";
import type { SettingDefinitions } from "#core";

const HIGHEST_PORT = 65_535;

const host = z.string().regex(
  /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}$/,
  "must be an address of 127.0.0.0/8",
);
const name = z.string().regex(
  /^[A-Za-z0-9_.-]{1,64}$/,
  "must be 1 to 64 letters, digits, dots, dashes or underscores",
);
const address = z.string().regex(
  /^http:\/\/127\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}$/,
  "must look like http://127.0.1.1:8000",
);
const addresses = z.string().transform((text) =>
  text.split(",").filter((part) => part !== "")
).pipe(z.array(address));
const names = z.string().transform((text) => text.split(",")).pipe(
  z.array(name).min(1),
);
const flag = z.enum(["yes", "no"]).transform((text) => text === "yes");
const count = z.coerce.number().int().min(0);
const positive = z.coerce.number().int().min(1);
const duration = z.coerce.number().min(0);
const part = z.coerce.number().min(0).max(1);

/** Settings of every stand-in that announces itself. */
export const COMMON_SETTINGS = {
  "id": {
    help: "Identifier under which it is announced",
    schema: name,
    example: "engine-1",
  },
  "incarnation": {
    help: "Number that grows with each start; 0 takes the wall clock",
    schema: count,
    fallback: "0",
    example: "3",
  },
  "zone": { help: "Availability zone", schema: name, example: "a" },
  "listen-host": {
    help: "IP number to listen on",
    schema: host,
    example: "127.0.1.20",
  },
  "listen-port": {
    help: "TCP port to listen on",
    schema: z.coerce.number().int().min(0).max(HIGHEST_PORT),
    example: "9000",
  },
  "entry": {
    help: "Entry VMs of the zone, in the order in which they are tried",
    schema: addresses,
    fallback: "",
    example: "http://127.0.1.1:8000,http://127.0.1.2:8000",
  },
  "renew-ms": {
    help: "Time between two announcements, in milliseconds",
    schema: positive,
    fallback: "1000",
    example: "1000",
  },
  "report-ms": {
    help: "Time between two reports of load, in milliseconds; 0 for none",
    schema: count,
    fallback: "500",
    example: "500",
  },
  "report-lag-ms": {
    help: "Age of a reported load, in milliseconds",
    schema: count,
    fallback: "1000",
    example: "1000",
  },
  "capacity": {
    help: "Requests that it runs at once without slowing down",
    schema: positive,
    fallback: "16",
    example: "16",
  },
} as const;

/** Settings of `cicadafield-fakes engine`. */
export const ENGINE_SETTINGS = {
  ...COMMON_SETTINGS,
  "model": { help: "Model that it serves", schema: name, example: "advice" },
  "version": {
    help: "Version that it serves at the start",
    schema: positive,
    fallback: "1",
    example: "4",
  },
  "weight-store": {
    help: "Weight store from which it loads; empty to load at once",
    schema: z.union([z.literal("").transform(() => null), address]),
    fallback: "",
    example: "http://127.0.1.40:9300",
  },
  "swap-ms": {
    help: "Time from the end of a transfer until the version serves",
    schema: duration,
    fallback: "50",
    example: "50",
  },
  "enforces-fences": {
    help: "Whether it refuses orders with an old fence: yes or no",
    schema: flag,
    fallback: "yes",
    example: "no",
  },
  "reports-versions": {
    help: "Whether each chunk names its version: yes or no",
    schema: flag,
    fallback: "yes",
    example: "no",
  },
  "token-ms": {
    help: "Time of a token when one sequence runs, in milliseconds",
    schema: z.coerce.number().min(0.01),
    fallback: "2",
    example: "2",
  },
  "slowdown-at-capacity": {
    help: "How much longer a token takes at capacity, as a part",
    schema: duration,
    fallback: "1",
    example: "1",
  },
  "prefill-token-ms": {
    help: "Time to compute a prompt token that is not cached",
    schema: duration,
    fallback: "0.1",
    example: "0.1",
  },
  "cache-tokens": {
    help: "Tokens of memory for sequences and cached prefixes",
    schema: positive,
    fallback: "8192",
    example: "8192",
  },
  "shortest-answer": {
    help: "Shortest natural length of an answer, in tokens",
    schema: positive,
    fallback: "8",
    example: "8",
  },
  "longest-answer": {
    help: "Longest natural length of an answer, in tokens",
    schema: positive,
    fallback: "64",
    example: "64",
  },
  "slow-part": {
    help: "Part of the requests that are slow on it, 0 to 1",
    schema: part,
    fallback: "0",
    example: "0.01",
  },
  "slow-factor": {
    help: "Times that a slow request takes longer",
    schema: z.coerce.number().min(1),
    fallback: "20",
    example: "20",
  },
} as const;

/** Settings of `cicadafield-fakes service`. */
export const SERVICE_SETTINGS = {
  ...COMMON_SETTINGS,
  "services": {
    help: "Names under which it is announced",
    schema: names,
    example: "cards,lookup,scorer",
  },
  "work-ms": {
    help: "Time that each call takes, in milliseconds",
    schema: duration,
    fallback: "2",
    example: "2",
  },
} as const;

/** Settings of `cicadafield-fakes weight-store`. */
export const WEIGHT_STORE_SETTINGS = {
  ...COMMON_SETTINGS,
  "loads-per-second": {
    help: "Transfers that may begin in a second",
    schema: z.coerce.number().min(0.01),
    fallback: "4",
    example: "4",
  },
  "transfer-ms": {
    help: "Time of one transfer, in milliseconds",
    schema: duration,
    fallback: "100",
    example: "100",
  },
} as const;

/** Settings of `cicadafield-fakes trainer`. */
export const TRAINER_SETTINGS = {
  "trainer": {
    help: "Name of the trainer in the bundle",
    schema: name,
    example: "advice-tuning",
  },
  "model": { help: "Model that it tunes", schema: name, example: "advice" },
  "entry": {
    help: "Entry VMs, in the order in which they are tried",
    schema: addresses.pipe(z.array(z.string()).min(1)),
    example: "http://127.0.1.1:8000,http://127.0.2.1:8000",
  },
  "steps": {
    help: "Steps to train on before it ends",
    schema: positive,
    fallback: "1",
    example: "5",
  },
  "first-step": {
    help: "Number of the first step",
    schema: positive,
    fallback: "1",
    example: "1",
  },
  "cursor": {
    help: "Cursor to read on from; empty to begin",
    schema: z.string().max(256),
    fallback: "",
    example: "advice-tuning~64",
  },
  "steps-ahead": {
    help: "Steps submitted before the one waited for is whole",
    schema: count,
    fallback: "1",
    example: "1",
  },
  "groups": {
    help: "Groups of a step",
    schema: positive,
    fallback: "4",
    example: "64",
  },
  "group-size": {
    help: "Samples of a group",
    schema: positive,
    fallback: "4",
    example: "8",
  },
  "maximum-tokens": {
    help: "Most tokens of a sample",
    schema: positive,
    fallback: "64",
    example: "64",
  },
  "maximum-staleness": {
    help: "Most versions that a sample may be behind",
    schema: count,
    fallback: "2",
    example: "2",
  },
  "deadline-ms": {
    help: "Time within which a step is wanted whole, in milliseconds",
    schema: positive,
    fallback: "540000",
    example: "540000",
  },
  "train-ms": {
    help: "Time to train on a step, in milliseconds",
    schema: duration,
    fallback: "200",
    example: "200",
  },
  "version": {
    help: "Newest version when it starts",
    schema: positive,
    fallback: "1",
    example: "4",
  },
  "publish-every": {
    help: "Steps between two publications; 0 to publish nothing",
    schema: count,
    fallback: "1",
    example: "1",
  },
  "page-limit": {
    help: "Most samples of one read",
    schema: positive,
    fallback: "256",
    example: "256",
  },
  "wait-ms": {
    help: "Time that one read waits for samples, in milliseconds",
    schema: count,
    fallback: "2000",
    example: "2000",
  },
} as const;

/** A kind of stand-in. */
export interface FakeKind {
  readonly summary: string;
  readonly settings: SettingDefinitions;
}

/** The kinds of stand-ins by name. */
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
    summary: "a weight store with a rate",
    settings: WEIGHT_STORE_SETTINGS,
  },
  "trainer": {
    summary: "a trainer that checks every sample it receives",
    settings: TRAINER_SETTINGS,
  },
};
