/**
 * Messages on the `bundles` channel, through which VMs receive the active bundle.
 *
 * @module
 */
import type { BundleUpdate } from "#bundles";
import { z } from "zod";

/**
 * Schema of a request for an update of the bundle that the sender has. The receiver waits up to `waitMs` for a
 * newer version.
 */
export const watchRequestSchema = z.object({
  kind: z.literal("watch"),
  digest: z.string().nullable(),
  version: z.number().int().min(0),
  waitMs: z.number().min(0).max(60_000),
});

/** Schema of the reply to a watch request. */
export const watchReplySchema = z.object({
  update: z.unknown(),
  fresh: z.boolean(),
});

/** The reply to a watch request. */
export interface WatchReply {
  readonly update: BundleUpdate;
  /** Whether the sender was in contact with the quorum recently, directly or through its own source. */
  readonly fresh: boolean;
}
