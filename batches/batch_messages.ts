/**
 * Requests on the `batches` peer channel, sent by entry VMs to the leading store VM.
 *
 * @module
 */
import { z } from "zod";
import type { Milliseconds } from "#core";
import type { Batch, BatchReader } from "./batch_types.ts";

/** A request of an entry VM. */
export type BatchRequest =
  /** Succeeds if the VM leads. */
  | { readonly kind: "leader" }
  | {
    readonly kind: "accept";
    readonly batch: Batch;
    /** Retention time of the batch once it has ended, counted from its acceptance. */
    readonly keepMs: Milliseconds;
  }
  | {
    readonly kind: "read";
    readonly id: string;
    /** Position of the first result to return. */
    readonly after: number;
    readonly waitMs: Milliseconds;
  } & BatchReader
  | {
    readonly kind: "body";
    readonly id: string;
    readonly item: string;
  } & BatchReader
  | { readonly kind: "end"; readonly id: string } & BatchReader;

const requestKind = z.object({
  kind: z.enum(["leader", "accept", "read", "body", "end"]),
});

/** Returns the request, or undefined if its kind is unknown. Does not validate the other fields. */
export function parseBatchRequest(body: unknown): BatchRequest | undefined {
  if (!requestKind.safeParse(body).success) return undefined;
  return body as BatchRequest;
}
