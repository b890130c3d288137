/**
 * Messages on the `bundles` channel, by which VMs get the bundle in force.
 *
 * @module
 */
import type { BundleUpdate } from "#bundles";
import { z } from "zod";

/** Asks for what is newer than the bundle with a digest, waiting a while for it. */
export const watchRequestSchema = z.object({
  kind: z.literal("watch"),
  digest: z.string().nullable(),
  version: z.number().int().min(0),
  waitMs: z.number().min(0).max(60_000),
});

/** The answer to a watch. */
export const watchReplySchema = z.object({
  update: z.unknown(),
  fresh: z.boolean(),
});

/** The answer to a watch. */
export interface WatchReply {
  readonly update: BundleUpdate;
  /** Whether the sender has heard of the quorum itself, directly or through its own source, just now. */
  readonly fresh: boolean;
}
