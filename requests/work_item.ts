/**
 * A work item, which is one attempt of a request as seen by the scheduler.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** What a work item is addressed to: the engines that serve a model, or the instances of a service. */
export interface Target {
  readonly kind: "model" | "service";
  readonly name: string;
}

/** An attempt that waits for an upstream or runs at one. */
export interface WorkItem {
  readonly id: string;
  readonly tenant: string;
  readonly class: string;
  /** Trainer whose fair share is charged, or null. */
  readonly trainer: string | null;
  readonly target: Target;
  readonly prefixKey: string;
  /** Minimum model version that may serve the item, or null. */
  readonly minimumVersion: number | null;
  /** Whether the item goes before other work of its tenant and trainer. */
  readonly urgent: boolean;
  /** Identifiers of upstreams that must not be selected. */
  readonly avoid: readonly string[];
  /** Whether the request was admitted before, for an earlier attempt that failed. */
  readonly admitted: boolean;
  readonly arrivedMs: Milliseconds;
  readonly deadlineMs: Milliseconds;
  /** Expected work, in a unit that is the same for all items of a target. */
  readonly cost: number;
}

/** Returns the map key of a target. */
export function targetKey(target: Target): string {
  return `${target.kind}:${target.name}`;
}
