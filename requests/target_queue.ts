/**
 * The waiting work for one model or service.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import { AdmissionQueue } from "./admission_queue.ts";
import { DrainEstimate } from "./drain_estimate.ts";
import type { BundlePolicy } from "./policy.ts";
import type { Target } from "./work_item.ts";

/** Waiting work for one target, and how fast it is served. */
export interface TargetQueue {
  readonly target: Target;
  readonly queue: AdmissionQueue;
  readonly drain: DrainEstimate;
  /** When each class that has waiting work began to have some. */
  readonly backloggedSinceMs: Map<string, Milliseconds>;
  running: number;
}

/** An empty queue. */
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
