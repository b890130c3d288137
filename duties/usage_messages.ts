/**
 * Messages between entry VMs, which count calls, and control VMs, which add up the counts.
 *
 * @module
 */
import { z } from "zod";
import type { Milliseconds } from "#core";
import type { TenantList } from "./tenant_list.ts";

/** Kind of the request, beside others on the same channel. */
export const TALLY_KIND = "tally";
/** Channel of requests to control VMs. */
export const TALLY_CHANNEL = "requests";
/** Time within which a control VM that runs replies. */
export const TALLY_TIMEOUT_MS: Milliseconds = 400;

const MAXIMUM_NAME_CHARACTERS = 256;
const MAXIMUM_WINDOWS = 64;

const text = z.string().max(MAXIMUM_NAME_CHARACTERS);
const window = z.number().int().nonnegative();
const calls = z.number().int().nonnegative();

const requestSchema = z.object({
  kind: z.literal(TALLY_KIND),
  vm: text,
  /** Start of the process, which counts from zero. */
  startedMs: z.number().finite(),
  /** Calls of each tenant since the start of the window; only those that the receiver has not acknowledged. */
  windows: z.array(z.object({
    window,
    counts: z.record(text, calls).default({}),
    /** Positions of tenants in the list, each followed by its calls. */
    listed: z.array(calls).optional(),
  })).max(MAXIMUM_WINDOWS),
  /** Digest of the list of tenants to which positions refer; absent if there are none. */
  list: text.optional(),
  /** Whether the receiver has to pass the counts on, since the sender does not reach the leader. */
  passOn: z.boolean().optional(),
  /** Time by the clock of the sender; in some messages only. */
  nowMs: z.number().finite().optional(),
  /** Calls of each tenant since the start of the process that ran nowhere; only those that changed, absent if none did. */
  unserved: z.record(text, z.number().int().positive()).optional(),
});

const replySchema = z.object({
  /** Identifies the process that replies, which forgets all counts when it ends. */
  epoch: text,
  /** The newest window that is settled; -1 if none is. */
  settled: z.number().int(),
  /** Whether the receiver doesn't know the list of tenants, so that it ignored the message. */
  unknownList: z.boolean().optional(),
  /** Whether the next message is to contain a time, since the receiver has not compared the clock of the sender. */
  needsTime: z.boolean().optional(),
  /** Time by the clock of the replying VM, in replies to messages with a time. */
  nowMs: z.number().finite().optional(),
});

/** Calls that an entry VM has counted. */
export type TallyRequest = Readonly<z.infer<typeof requestSchema>>;
/** The windows of a tally. */
export type TallyWindows = TallyRequest["windows"];
/** Acknowledgement of a control VM. */
export type TallyReply = Readonly<z.infer<typeof replySchema>>;

/**
 * Validates a request; returns undefined if it is malformed.
 *
 * @example
 * ```ts
 * const tally = parseTally(body);
 * if (tally === undefined) return Err(fail("malformed_request", "not a well-formed tally"));
 * ```
 */
export function parseTally(body: unknown): TallyRequest | undefined {
  const parsed = requestSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}

/** Validates a reply; returns undefined if it is malformed. */
export function parseTallyReply(body: unknown): TallyReply | undefined {
  const parsed = replySchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}

/**
 * Returns windows in which tenants of the list have their positions instead of their names.
 *
 * @example
 * ```ts
 * const list = new TenantList(["tenant-a", "tenant-b"]);
 * withPositions([{ window: 7, counts: { "tenant-b": 3 } }], list); // [{ window: 7, counts: {}, listed: [1, 3] }]
 * ```
 */
export function withPositions(
  windows: TallyWindows,
  list: TenantList,
): TallyWindows {
  return windows.map(({ window, counts }) => {
    const listed: number[] = [];
    const others: Record<string, number> = {};
    for (const [tenant, count] of Object.entries(counts)) {
      const position = list.positionOf(tenant);
      if (position === undefined) others[tenant] = count;
      else listed.push(position, count);
    }
    return { window, counts: others, listed };
  });
}

/**
 * Returns windows in which all tenants have their names.
 *
 * @example
 * ```ts
 * const list = new TenantList(["tenant-a", "tenant-b"]);
 * withNames([{ window: 7, counts: {}, listed: [1, 3] }], list); // [{ window: 7, counts: { "tenant-b": 3 } }]
 * ```
 */
export function withNames(
  windows: TallyWindows,
  list: TenantList | undefined,
): TallyWindows {
  return windows.map(({ window, counts, listed = [] }) => {
    const named = { ...counts };
    for (let at = 0; at + 1 < listed.length; at += 2) {
      const tenant = list?.nameAt(listed[at] ?? -1);
      if (tenant !== undefined) named[tenant] = listed[at + 1] ?? 0;
    }
    return { window, counts: named };
  });
}
