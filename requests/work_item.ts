/**
 * A piece of work as the scheduler sees it.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** What serves a piece of work: engines with a model, or services of a name. */
export interface Target {
  readonly kind: "model" | "service";
  readonly name: string;
}

/** A piece of work that waits for an upstream. */
export interface WorkItem {
  readonly id: string;
  readonly tenant: string;
  readonly class: string;
  /** Trainer for whose share it counts, or null. */
  readonly trainer: string | null;
  readonly target: Target;
  readonly prefixKey: string;
  /** Lowest model version that may serve it, or null. */
  readonly minimumVersion: number | null;
  /** Goes before other work of its tenant and trainer. */
  readonly urgent: boolean;
  /** Upstreams that may not serve it. */
  readonly avoid: readonly string[];
  /** Whether it was admitted before, for an attempt that failed. */
  readonly admitted: boolean;
  readonly arrivedMs: Milliseconds;
  readonly deadlineMs: Milliseconds;
  /** Expected work, in any unit that is equal within a target. */
  readonly cost: number;
}

/** The key of a target in maps. */
export function targetKey(target: Target): string {
  return `${target.kind}:${target.name}`;
}
