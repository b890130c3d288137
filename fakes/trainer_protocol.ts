/**
 * The calls of trainers to entry VMs, as the stand-in trainer sends and reads them.
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

/** A step as it is submitted. */
export interface StepBody {
  readonly groups: readonly StepGroup[];
  /** Samples of each group. */
  readonly groupSize: number;
  readonly maximumTokens: number;
  /** Most versions that a sample may be behind at hand-over. */
  readonly bound: number;
  /** Time from submission within which the step is wanted whole. */
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
/** What one read of samples gives. */
export type SamplePage = z.infer<typeof PAGE_SCHEMA>;

/** Reads a page of samples; undefined if it is malformed. */
export function parseSamplePage(text: string): SamplePage | undefined {
  const parsed = PAGE_SCHEMA.safeParse(parseJsonObject(text));
  return parsed.success ? parsed.data : undefined;
}

/** Path of a step. */
export function stepPath(trainer: string, step: number): string {
  return `/v1/trainers/${encodeURIComponent(trainer)}/steps/${step}`;
}

/** Path of a version. */
export function versionPath(trainer: string, version: number): string {
  return `/v1/trainers/${encodeURIComponent(trainer)}/versions/${version}`;
}

/** Path of the samples after a cursor; reading on acknowledges what came before it. */
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
