/**
 * Messages between replicas. On the wire each message is an array: the index of its kind in
 * `MESSAGE_SCHEMAS`, followed by its fields in the order of the schema.
 *
 * @module
 */
import { z } from "zod";
import type { LogEntry } from "./entries.ts";

const ENTRY_KINDS = ["command", "barrier", "seats"] as const;

const nameSchema = z.string().min(1).max(64);
const counterSchema = z.number().int().nonnegative();
const bytesSchema = z.instanceof(Uint8Array);
const headerFields = {
  /** Group identifier, generated when the group was formed; null if the sender belongs to no group. */
  group: nameSchema.nullable(),
  /** Identity of the sending replica. */
  from: nameSchema,
  /** Identity of the receiving replica, or null for whichever replica the VM runs. */
  to: nameSchema.nullable(),
  /** Term of the sender; in a vote request, the term that the vote is for. */
  term: counterSchema,
};

const entrySchema = z.tuple([
  counterSchema,
  counterSchema,
  z.number(),
  z.enum(ENTRY_KINDS),
  bytesSchema,
]);

const MESSAGE_SCHEMAS = {
  /** Announces a replica that is not a voter, or replies to such an announcement. */
  hello: z.object({
    ...headerFields,
    /** Whether the sender belongs to a group. */
    formed: z.boolean(),
    /** VM of the leader, if the sender knows one. */
    leader: nameSchema.nullable(),
  }),
  /** Requests a vote. A trial vote (pre-vote) changes no state at the voter. */
  vote: z.object({
    ...headerFields,
    trial: z.boolean(),
    /** Whether the leader asked for this election; voters then grant votes despite their contact with it. */
    handover: z.boolean(),
    /** Index of the candidate's last entry; `lastTerm` is its term. */
    lastIndex: counterSchema,
    lastTerm: counterSchema,
  }),
  voteReply: z.object({
    ...headerFields,
    trial: z.boolean(),
    /** Term of the vote request. */
    round: counterSchema,
    granted: z.boolean(),
    /** Commit index of the voter; `committedTerm` is the term of its entry. */
    committedIndex: counterSchema,
    committedTerm: counterSchema,
  }),
  /** Replicates entries; without entries it is a heartbeat that renews the lease. */
  append: z.object({
    ...headerFields,
    /** Index of the entry before the first of `entries`; `previousTerm` is its term. */
    previousIndex: counterSchema,
    previousTerm: counterSchema,
    /** Commit index of the leader. */
    committedIndex: counterSchema,
    /** Send time on the leader's monotonic clock; the reply returns it. */
    sentMs: z.number(),
    entries: z.array(entrySchema),
  }),
  appendReply: z.object({
    ...headerFields,
    matched: z.boolean(),
    /**
     * If `matched`, the last index that equals the leader's log and is synced; otherwise the index at
     * which the leader should look for a match next.
     */
    index: counterSchema,
    /** Commit index of the follower. */
    committedIndex: counterSchema,
    /** `sentMs` of the append that this message replies to. */
    sentMs: z.number(),
    /** Newest snapshot format that the follower can read; builds that only read the first don't send it. */
    snapshotFormat: counterSchema.optional(),
  }),
  /** Transfers a chunk of a snapshot. */
  chunk: z.object({
    ...headerFields,
    /** Index of the last entry that the snapshot includes. */
    index: counterSchema,
    hash: z.string().max(64),
    /** Offset of the chunk in the encoded snapshot. */
    offset: counterSchema,
    /** Size of the encoded snapshot in bytes. */
    total: counterSchema,
    /** Send time on the leader's monotonic clock; the reply returns it. */
    sentMs: z.number(),
    bytes: bytesSchema,
  }),
  chunkReply: z.object({
    ...headerFields,
    index: counterSchema,
    hash: z.string().max(64),
    /** Number of bytes stored so far. */
    offset: counterSchema,
    /** `sentMs` of the chunk that this message replies to. */
    sentMs: z.number(),
  }),
  /** Transfers leadership: the sender steps down and asks the receiver to start an election. */
  handover: z.object({ ...headerFields }),
} as const;

type MessageSchemas = typeof MESSAGE_SCHEMAS;

/** Kind of a message. */
export type MessageKind = keyof MessageSchemas;

/** Message of one kind. */
export type MessageOf<Kind extends MessageKind> =
  & { readonly kind: Kind }
  & Readonly<z.infer<MessageSchemas[Kind]>>;

/** Message of any kind. */
export type Message = { [Kind in MessageKind]: MessageOf<Kind> }[MessageKind];

const MESSAGE_KINDS = Object.keys(MESSAGE_SCHEMAS) as readonly MessageKind[];

/** Wire format of a log entry. */
export type WireEntry = z.infer<typeof entrySchema>;

/** Returns the wire array of a message. */
export function packMessage(message: Message): readonly unknown[] {
  const fields = Object.keys(MESSAGE_SCHEMAS[message.kind].shape);
  const values = message as unknown as Readonly<Record<string, unknown>>;
  return [
    MESSAGE_KINDS.indexOf(message.kind),
    ...fields.map((field) => values[field]),
  ];
}

/** Parses and validates an array received from a peer; returns undefined if it is not a valid message. */
export function unpackMessage(body: unknown): Message | undefined {
  if (!Array.isArray(body)) return undefined;
  const kind = MESSAGE_KINDS[body[0] as number];
  if (kind === undefined) return undefined;
  const schema = MESSAGE_SCHEMAS[kind];
  const fields: Record<string, unknown> = {};
  for (const [index, field] of Object.keys(schema.shape).entries()) {
    fields[field] = body[index + 1];
  }
  const parsed = schema.safeParse(fields);
  if (!parsed.success) return undefined;
  return { kind, ...parsed.data } as Message;
}

/** Returns the wire array of an entry. */
export function packEntry(entry: LogEntry): WireEntry {
  return [
    entry.index,
    entry.term,
    entry.atMs,
    entry.kind,
    entry.body as Uint8Array<ArrayBuffer>,
  ];
}

/** Restores an entry from its wire array. */
export function unpackEntry(packed: WireEntry): LogEntry {
  const [index, term, atMs, kind, body] = packed;
  return { index, term, atMs, kind, body: new Uint8Array(body) };
}
