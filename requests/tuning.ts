/**
 * What the policy under load can be tuned by.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Settings of the policy. */
export interface PolicyTuning {
  /** Upstreams on the ring that a prefix is tried on. */
  readonly affinitySteps: number;
  /** Load over the mean up to which a prefix stays with its upstream. */
  readonly affinityLoadFactor: number;
  /** Part of an upstream's bound up to which a prefix stays with it however idle the others are. */
  readonly affinityFreePart: number;
  /** Part of its time that a request may spend in the queue. */
  readonly maximumWaitShare: number;
  /** Part of another zone's spare capacity that one entry uses on overflow. */
  readonly overflowPart: number;
  /** Bound of an upstream over its announced capacity at most. */
  readonly maximumLimitFactor: number;
  /** Part of an upstream's announced capacity up to which classes below the first may fill it. */
  readonly lowerClassPart: number;
  /** How long a class must have waiting work without a break before its queue counts as standing. */
  readonly standingAfterMs: Milliseconds;
  /** Least waiting work of a class that can be a standing queue. */
  readonly standingLength: number;
  /** Longest expected wait with which work is admitted to a standing queue. */
  readonly standingWaitMs: Milliseconds;
  /** Whether waiting work of lower classes is given up once its expected wait is too long. */
  readonly givesUpByForecast: boolean;
}

/** The policy before the last change that was kept. */
export const PREVIOUS_TUNING: PolicyTuning = {
  affinitySteps: 2,
  affinityLoadFactor: 1.25,
  affinityFreePart: 0,
  maximumWaitShare: 0.5,
  overflowPart: 0.5,
  maximumLimitFactor: 2,
  lowerClassPart: 0.75,
  standingAfterMs: 100,
  standingLength: 2,
  standingWaitMs: 50,
  givesUpByForecast: true,
};

/** The policy in use. */
export const DEFAULT_TUNING: PolicyTuning = {
  ...PREVIOUS_TUNING,
  overflowPart: 0.25,
};
