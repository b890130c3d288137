/**
 * Messages on the `registry` channel.
 *
 * @module
 */
import type { UpstreamAnnouncement } from "#core";
import { z } from "zod";

const MAXIMUM_NAME_CHARACTERS = 128;
const name = z.string().min(1).max(MAXIMUM_NAME_CHARACTERS);
const count = z.number().int().nonnegative();

const addressSchema = z.object({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65_535),
});

/** What an upstream says of itself, without its identifier. */
export const announcementSchema = z.strictObject({
  incarnation: count,
  sequence: count,
  zone: name,
  address: addressSchema,
  role: z.enum(["engine", "service", "weight_store"]),
  serves: z.array(z.strictObject({ model: name, version: count })).max(1_024),
  services: z.array(name).max(256),
  capacity: z.number().int().min(1).max(100_000),
  enforcesFences: z.boolean(),
  reportsVersions: z.boolean(),
});

/** Load as an upstream reports it. */
export const loadSchema = z.strictObject({
  running: z.number().min(0).max(1_000_000),
  waiting: z.number().min(0).max(1_000_000),
  cacheUse: z.number().min(0).max(1),
});

const recordSchema = announcementSchema.extend({ id: name });
const departureSchema = z.object({ id: name, incarnation: count });
const headerSchema = z.object({
  home: name,
  epoch: z.number(),
  version: count,
  heartbeat: count,
  leaseMs: z.number().nonnegative(),
});
const updateSchema = z.object({
  header: headerSchema,
  local: z.boolean(),
  since: count,
  records: z.array(recordSchema),
  departures: z.array(departureSchema),
  gone: z.array(name),
});
/** Loads cross the network as whole numbers: a fraction would take nine bytes. */
const encodedLoadSchema = z.object({
  id: name,
  running: count,
  waiting: count,
  cachePercent: z.number().int().min(0).max(100),
});

/** A record as sets hold it. */
export interface SetRecord extends UpstreamAnnouncement {
  /** Grows with each announcement within an incarnation. */
  readonly sequence: number;
}
/** That an incarnation of an upstream gets no new work. */
export type Departure = Readonly<z.infer<typeof departureSchema>>;
/** Names a state of a home's set, and for how long its copies may be used. */
export type SetHeader = Readonly<z.infer<typeof headerSchema>>;
/** A load as notices carry it; the receiver notes its own time. */
export type EncodedLoad = Readonly<z.infer<typeof encodedLoadSchema>>;
/** Changes of a set since a version; `since` 0 is the whole set. */
export interface SetUpdate {
  readonly header: SetHeader;
  /** Whether the set belongs to this zone; sets of other zones are not passed on to them. */
  readonly local: boolean;
  readonly since: number;
  readonly records: readonly SetRecord[];
  readonly departures: readonly Departure[];
  /** Upstreams that the set no longer holds. */
  readonly gone: readonly string[];
}

/** A notice on the registry channel. */
export const registryNoticeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("headers"),
    headers: z.array(headerSchema),
    loads: z.array(encodedLoadSchema),
  }),
  z.object({ kind: z.literal("update"), update: updateSchema }),
]);
/** A notice on the registry channel. */
export type RegistryNotice =
  | {
    readonly kind: "headers";
    readonly headers: readonly SetHeader[];
    readonly loads: readonly EncodedLoad[];
  }
  | { readonly kind: "update"; readonly update: SetUpdate };

/** A request on the registry channel: for all headers, or for one set. */
export const registryRequestSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("headers") }),
  z.object({
    kind: z.literal("fetch"),
    home: name,
    epoch: z.number(),
    since: count,
  }),
]);

/** The answer to a request for headers. */
export const registryHeadersReplySchema = z.object({
  headers: z.array(headerSchema),
});

/** The answer to a fetch. */
export const registryFetchReplySchema = z.object({
  update: updateSchema.nullable(),
});
