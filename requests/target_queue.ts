/**
 * The queue of one model or service with its drain rates.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import { AdmissionQueue } from "./admission_queue.ts";
import { DrainEstimate } from "./drain_estimate.ts";
import type { BundlePolicy } from "./policy.ts";
import type { Target } from "./work_item.ts";

/** The waiting items of one target, and how fast they are served. */
export interface TargetQueue {
  readonly target: Target;
  readonly queue: AdmissionQueue;
  readonly drain: DrainEstimate;
  /** Time since which each class with waiting items has had any. */
  readonly backloggedSinceMs: Map<string, Milliseconds>;
  /** Number of items of the target that run at upstreams. */
  running: number;
}

/** Creates an empty queue. */
export function createTargetQueue(
  target: Target,
  policy: BundlePolicy,
): TargetQueue {
  return {
    target,
    queue: new AdmissionQueue(policy),
    drain: new DrainEstimate(),
    backloggedSinceMs: new Map(),
    running: 0,
  };
}
