/**
 * What entry VMs tell control VMs about streams, and ask them.
 *
 * @module
 */
import { z } from "zod";
import type { Milliseconds } from "#core";
import type { OriginRecord } from "./origin_table.ts";

/** Kind of the request, beside others on the same channel. */
export const ORIGINS_KIND = "stream_origins";
/** Most streams in one request; the others follow with the next one. */
export const MAXIMUM_REPORTED = 512;

const MAXIMUM_TEXT = 256;

const text = z.string().max(MAXIMUM_TEXT);
const durationMs = z.number().finite().nonnegative();

const requestSchema = z.object({
  kind: z.literal(ORIGINS_KIND),
  /** Streams by their software, so that its names are sent once. */
  groups: z.array(z.object({
    service: text,
    softwareVersion: text,
    /** Key of the attempt that brought the first event, and how long the stream may be taken up. */
    streams: z.array(z.tuple([text, durationMs])).max(MAXIMUM_REPORTED),
  })).max(MAXIMUM_REPORTED),
  /** Key of the attempt whose stream is asked for, or null. */
  find: text.nullable(),
});

const replySchema = z.object({
  /** Identifies the incarnation of the control VM, which forgets all streams when it ends. */
  epoch: text,
  found: z.object({
    service: text,
    softwareVersion: text,
    ageMs: durationMs,
    isContradictory: z.boolean(),
  }).nullable(),
});

/** Reports streams, and asks for one. */
export type OriginsRequest = Readonly<z.infer<typeof requestSchema>>;
/** What a control VM knows of the stream that it was asked for. */
export type OriginsReply = Readonly<z.infer<typeof replySchema>>;

/** Validates a request; returns undefined if it is malformed. */
export function parseOriginsRequest(body: unknown): OriginsRequest | undefined {
  const parsed = requestSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}

/** Validates a reply; returns undefined if it is malformed. */
export function parseOriginsReply(body: unknown): OriginsReply | undefined {
  const parsed = replySchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}

/** Groups records by their software. */
export function groupRecords(
  records: readonly OriginRecord[],
): OriginsRequest["groups"] {
  const groups = new Map<string, OriginsRequest["groups"][number]>();
  for (const { key, service, softwareVersion, retentionMs } of records) {
    const name = JSON.stringify([service, softwareVersion]);
    const group = groups.get(name) ??
      { service, softwareVersion, streams: [] };
    groups.set(name, group);
    group.streams.push([key, Math.ceil(retentionMs)]);
  }
  return [...groups.values()];
}

/** Returns the records of a request. */
export function recordsOf(
  { groups }: OriginsRequest,
): readonly OriginRecord[] {
  const records: OriginRecord[] = [];
  for (const { service, softwareVersion, streams } of groups) {
    for (const [key, retentionMs] of streams) {
      records.push({ key, service, softwareVersion, retentionMs });
    }
  }
  return records;
}

/** Longest time that a reply takes to a VM that does not wait for anything. */
export const ORIGINS_TIMEOUT_MS: Milliseconds = 300;
