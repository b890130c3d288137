/**
 * Requests to run a suspect apart from other suspects, and their replies.
 *
 * @module
 */
import { z } from "zod";
import type { Milliseconds } from "#core";
import type { CrashRecord } from "#membership";

/** Kind of the request, beside others on the same channel. */
export const ISOLATION_KIND = "isolated_run";
/** Kind of the notice that a run has ended. */
export const ISOLATION_END_KIND = "isolated_run_ended";

const MAXIMUM_TEXT = 256;
/** Most upstreams that a request names as tried. */
export const MAXIMUM_TRIED = 256;

const text = z.string().max(MAXIMUM_TEXT);
const durationMs = z.number().finite().nonnegative();

const crashRecordSchema = z.object({
  digest: text,
  bodyBytes: z.number().int().nonnegative(),
  crashes: z.array(z.object({ incarnation: text, ageMs: durationMs })).max(64),
  answeredAgeMs: durationMs.nullable(),
});

const requestSchema = z.object({
  kind: z.literal(ISOLATION_KIND),
  digest: text,
  service: text,
  /** Zone of the sender, whose upstreams are preferred. */
  zone: text,
  /** Upstreams that the call was sent to. */
  tried: z.array(text).max(MAXIMUM_TRIED),
  /** How long the call may wait. */
  patienceMs: durationMs,
  /** What the sender knows of the call, as its report may still be under way. */
  record: crashRecordSchema.nullable(),
});

const endSchema = z.object({
  kind: z.literal(ISOLATION_END_KIND),
  digest: text,
  /** The incarnation that ran it. */
  incarnation: text,
});

/** Asks for an upstream for a suspect. */
export interface IsolationRequest {
  readonly kind: typeof ISOLATION_KIND;
  readonly digest: string;
  readonly service: string;
  readonly zone: string;
  readonly tried: readonly string[];
  readonly patienceMs: Milliseconds;
  readonly record: CrashRecord | null;
}

/** States that an isolated run has ended. */
export type IsolationEnd = z.infer<typeof endSchema>;

/** The upstream for a suspect; or why it must not run now, or any more. */
export type IsolationDecision =
  | { readonly kind: "granted"; readonly incarnation: string }
  | { readonly kind: "rejected"; readonly reason: string }
  | { readonly kind: "blocked" };

/** Validates a request; returns undefined if it is malformed. */
export function parseIsolationRequest(
  body: unknown,
): IsolationRequest | undefined {
  const parsed = requestSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}

/** Validates a notice that a run has ended; returns undefined if it is malformed. */
export function parseIsolationEnd(body: unknown): IsolationEnd | undefined {
  const parsed = endSchema.safeParse(body);
  return parsed.success ? parsed.data : undefined;
}
