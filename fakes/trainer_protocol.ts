/**
 * The calls of trainers to entry VMs, as the fake trainer sends and parses them.
 *
 * @module
 */
import { z } from "zod";
import type { Milliseconds } from "#core";
import { parseJsonObject } from "./fake_server.ts";

/** A group of samples that share a prompt. */
export interface StepGroup {
  readonly group: number;
  readonly prompt: string;
}

/** The request body that submits a step. */
export interface StepBody {
  readonly groups: readonly StepGroup[];
  /** Number of samples per group. */
  readonly groupSize: number;
  readonly maximumTokens: number;
  /** Maximum number of versions that a sample may be behind at hand-over. */
  readonly bound: number;
  /** Time from submission by which the step must be complete. */
  readonly deadlineMs: Milliseconds;
}

const SAMPLE_SCHEMA = z.object({
  step: z.number().int(),
  group: z.number().int(),
  index: z.number().int(),
  text: z.string(),
  versions: z.array(z.object({
    version: z.number().int(),
    tokens: z.number().int(),
  })),
  score: z.number().nullable().optional(),
});

const PAGE_SCHEMA = z.object({
  samples: z.array(SAMPLE_SCHEMA),
  cursor: z.union([z.string(), z.number()]),
});

/** A sample as delivered. */
export type DeliveredSample = z.infer<typeof SAMPLE_SCHEMA>;
/** The response to one read of samples. */
export type SamplePage = z.infer<typeof PAGE_SCHEMA>;

/** Parses a page of samples; returns undefined if it is malformed. */
export function parseSamplePage(text: string): SamplePage | undefined {
  const parsed = PAGE_SCHEMA.safeParse(parseJsonObject(text));
  return parsed.success ? parsed.data : undefined;
}

/** Returns the path of a step. */
export function stepPath(trainer: string, step: number): string {
  return `/v1/trainers/${encodeURIComponent(trainer)}/steps/${step}`;
}

/** Returns the path of a version. */
export function versionPath(trainer: string, version: number): string {
  return `/v1/trainers/${encodeURIComponent(trainer)}/versions/${version}`;
}

/** Returns the path of the samples after a cursor; reading it acknowledges the samples up to the cursor. */
export function samplesPath(
  trainer: string,
  read: {
    readonly after: string;
    readonly limit: number;
    readonly waitMs: Milliseconds;
  },
): string {
  const query = new URLSearchParams({
    after: read.after,
    limit: String(read.limit),
    wait_ms: String(read.waitMs),
  });
  return `/v1/trainers/${encodeURIComponent(trainer)}/samples?${query}`;
}
