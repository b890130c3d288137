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

/** Schema of the announcement of an upstream, without its identifier. */
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

/** Schema of the load that an upstream reports. */
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
/** Loads are sent as integers: a fraction would take nine bytes. */
const encodedLoadSchema = z.object({
  id: name,
  running: count,
  waiting: count,
  cachePercent: z.number().int().min(0).max(100),
});

/** Record of an upstream in a home set. */
export interface SetRecord extends UpstreamAnnouncement {
  /** Increases with each announcement within an incarnation. */
  readonly sequence: number;
}
/** States that an incarnation of an upstream leaves and receives no new work. */
export type Departure = Readonly<z.infer<typeof departureSchema>>;
/** Identifies a version of a home set and states for how long copies of it may be used. */
export type SetHeader = Readonly<z.infer<typeof headerSchema>>;
/** Load as it is sent in notices; the receiver adds its own receive time. */
export type EncodedLoad = Readonly<z.infer<typeof encodedLoadSchema>>;
/** Changes of a set since a version; `since` 0 means the complete set. */
export interface SetUpdate {
  readonly header: SetHeader;
  /** Whether the set belongs to this zone; sets of other zones are not forwarded to other zones. */
  readonly local: boolean;
  readonly since: number;
  readonly records: readonly SetRecord[];
  readonly departures: readonly Departure[];
  /** Upstreams that were removed from the set. */
  readonly gone: readonly string[];
}

/** Schema of the notices (one-way messages) on the registry channel. */
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

/** Schema of the requests on the registry channel: for all headers, or for one set. */
export const registryRequestSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("headers") }),
  z.object({
    kind: z.literal("fetch"),
    home: name,
    epoch: z.number(),
    since: count,
  }),
]);

/** Schema of the reply to a request for headers. */
export const registryHeadersReplySchema = z.object({
  headers: z.array(headerSchema),
});

/** Schema of the reply to a fetch. */
export const registryFetchReplySchema = z.object({
  update: updateSchema.nullable(),
});
