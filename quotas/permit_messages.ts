/**
 * Requests for permits and their replies.
 *
 * @module
 */
import { z } from "zod";
import type { Milliseconds } from "#core";

/** How long a permit is valid after it was issued. */
export const PERMIT_VALIDITY_MS: Milliseconds = 750;

const MAXIMUM_PERMITS = 65_536;

const permitCount = z.number().int().min(0).max(MAXIMUM_PERMITS);

const permitRequestSchema = z.object({
  kind: z.literal("permits"),
  service: z.string().max(256),
  /** Requests that wait for a permit. */
  waiting: permitCount,
  /** Requests that are likely to follow while a permit is valid. */
  expected: permitCount,
  /** Priority of the most urgent waiting request; 0 is the highest. */
  priority: z.number(),
  /** How long the most patient waiting request waits. */
  patienceMs: z.number().finite().nonnegative(),
});

/** Asks for permits for requests to one service. */
export type PermitRequest = z.infer<typeof permitRequestSchema>;

/** Permits for one upstream. */
export interface PermitGrant {
  readonly incarnation: string;
  readonly count: number;
}

/** The permits issued, none if the patience of the request ended or would not suffice. */
export interface PermitReply {
  readonly grants: readonly PermitGrant[];
  /** Time from the arrival of the request until the permits were issued. */
  readonly heldMs: Milliseconds;
  /** When the next permit is likely to be available for requests that got none; 0 unless some did. */
  readonly retryAfterMs: Milliseconds;
}

/** Validates a request for permits; returns undefined if it is malformed. */
export function parsePermitRequest(body: unknown): PermitRequest | undefined {
  const parsed = permitRequestSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}
