/**
 * Messages among replicas. On the wire each is an array: the number of its kind, then its fields in
 * order.
 *
 * @module
 */
import { z } from "zod";
import type { LogEntry } from "./entries.ts";

const ENTRY_KINDS = ["command", "barrier", "seats"] as const;

const nameSchema = z.string().min(1).max(64);
const counterSchema = z.number().int().nonnegative();
const bytes = z.instanceof(Uint8Array);
const header = {
  /** Group, drawn when it was formed; null from a replica without one. */
  group: nameSchema.nullable(),
  /** Replica that sends. */
  from: nameSchema,
  /** Replica that is meant, or null for whichever the VM runs. */
  to: nameSchema.nullable(),
  term: counterSchema,
};

const entry = z.tuple([
  counterSchema,
  counterSchema,
  z.number(),
  z.enum(ENTRY_KINDS),
  bytes,
]);

const MESSAGE_SCHEMAS = {
  /** A replica without a seat makes itself known. */
  hello: z.object({
    ...header,
    formed: z.boolean(),
    /** VM that leads, as far as the sender knows. */
    leader: nameSchema.nullable(),
  }),
  /** Asks for a vote; a trial changes nothing at the voter. */
  vote: z.object({
    ...header,
    trial: z.boolean(),
    handover: z.boolean(),
    lastIndex: counterSchema,
    lastTerm: counterSchema,
  }),
  voteReply: z.object({
    ...header,
    trial: z.boolean(),
    round: counterSchema,
    granted: z.boolean(),
    committedIndex: counterSchema,
    committedTerm: counterSchema,
  }),
  /** Adds entries, or renews the lease without any. */
  append: z.object({
    ...header,
    previousIndex: counterSchema,
    previousTerm: counterSchema,
    committedIndex: counterSchema,
    sentMs: z.number(),
    entries: z.array(entry),
  }),
  appendReply: z.object({
    ...header,
    matched: z.boolean(),
    /** Last index that is synced and equal, or where to try next. */
    index: counterSchema,
    committedIndex: counterSchema,
    sentMs: z.number(),
  }),
  /** Part of a snapshot. */
  chunk: z.object({
    ...header,
    index: counterSchema,
    hash: z.string().max(64),
    offset: counterSchema,
    total: counterSchema,
    sentMs: z.number(),
    bytes,
  }),
  chunkReply: z.object({
    ...header,
    index: counterSchema,
    hash: z.string().max(64),
    /** Bytes held so far. */
    offset: counterSchema,
    sentMs: z.number(),
  }),
  /** The leader stops and asks the receiver to lead. */
  handover: z.object({ ...header }),
} as const;

type MessageSchemas = typeof MESSAGE_SCHEMAS;

/** The kind of a message. */
export type MessageKind = keyof MessageSchemas;

/** A message of one kind. */
export type MessageOf<Kind extends MessageKind> =
  & { readonly kind: Kind }
  & Readonly<z.infer<MessageSchemas[Kind]>>;

/** Any message. */
export type Message = { [Kind in MessageKind]: MessageOf<Kind> }[MessageKind];

const MESSAGE_KINDS = Object.keys(MESSAGE_SCHEMAS) as readonly MessageKind[];

/** An entry as it travels. */
export type WireEntry = z.infer<typeof entry>;

/** Turns a message into its array. */
export function packMessage(message: Message): readonly unknown[] {
  const fields = Object.keys(MESSAGE_SCHEMAS[message.kind].shape);
  const values = message as unknown as Readonly<Record<string, unknown>>;
  return [
    MESSAGE_KINDS.indexOf(message.kind),
    ...fields.map((field) => values[field]),
  ];
}

/** Checks an array that came from a peer; undefined if it is no message. */
export function unpackMessage(body: unknown): Message | undefined {
  if (!Array.isArray(body)) return undefined;
  const kind = MESSAGE_KINDS[body[0] as number];
  if (kind === undefined) return undefined;
  const shape = MESSAGE_SCHEMAS[kind];
  const fields: Record<string, unknown> = {};
  for (const [at, field] of Object.keys(shape.shape).entries()) {
    fields[field] = body[at + 1];
  }
  const parsed = shape.safeParse(fields);
  if (!parsed.success) return undefined;
  return { kind, ...parsed.data } as Message;
}

/** Turns an entry into its array. */
export function packEntry(entry: LogEntry): WireEntry {
  return [
    entry.index,
    entry.term,
    entry.atMs,
    entry.kind,
    entry.body as Uint8Array<ArrayBuffer>,
  ];
}

/** Turns an array back into an entry. */
export function unpackEntry(packed: WireEntry): LogEntry {
  const [index, term, atMs, kind, body] = packed;
  return { index, term, atMs, kind, body: new Uint8Array(body) };
}
