/**
 * Messages on the `batches` channel, from entry VMs to the leading store VM.
 *
 * @module
 */
import { z } from "zod";
import type { Milliseconds } from "#core";
import type { Batch } from "./batch_types.ts";

/** What an entry VM asks. */
export type BatchRequest =
  | {
    readonly kind: "accept";
    readonly batch: Batch;
    readonly keepMs: Milliseconds;
  }
  | {
    readonly kind: "read";
    readonly id: string;
    /** Position to read from. */
    readonly after: number;
    readonly waitMs: Milliseconds;
  }
  | { readonly kind: "body"; readonly id: string; readonly item: string }
  | { readonly kind: "end"; readonly id: string };

const requestKind = z.object({
  kind: z.enum(["accept", "read", "body", "end"]),
});

/** Checks the outer shape; undefined if it is no request. */
export function parseBatchRequest(body: unknown): BatchRequest | undefined {
  if (!requestKind.safeParse(body).success) return undefined;
  return body as BatchRequest;
}
