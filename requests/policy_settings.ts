/**
 * What the policy under load can be tuned by.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Settings of the policy. */
export interface PolicySettings {
  /** Upstreams on the ring that a prefix is tried on. */
  readonly affinityCandidates: number;
  /** Load over the mean up to which a prefix stays with its upstream. */
  readonly affinityLoadFactor: number;
  /** Part of an upstream's bound up to which a prefix stays with it however idle the others are. */
  readonly affinityFreeFraction: number;
  /** Part of its time that a request may spend in the queue. */
  readonly maximumWaitFraction: number;
  /** Part of another zone's spare capacity that one entry uses on overflow. */
  readonly overflowFraction: number;
  /** Bound of an upstream over its announced capacity at most. */
  readonly maximumLimitFactor: number;
  /** Part of an upstream's announced capacity up to which classes below the first may fill it. */
  readonly lowerClassFraction: number;
  /** How long a class must have waiting work without a break before its queue counts as standing. */
  readonly standingQueueAfterMs: Milliseconds;
  /** Least waiting work of a class that can be a standing queue. */
  readonly standingQueueMinimumLength: number;
  /** Longest expected wait with which work is admitted to a standing queue. */
  readonly standingQueueMaximumWaitMs: Milliseconds;
  /** Whether waiting work of lower classes is given up once its expected wait is too long. */
  readonly abandonsByForecast: boolean;
}

/** The policy before the last change that was kept. */
export const BASELINE_POLICY_SETTINGS: PolicySettings = {
  affinityCandidates: 2,
  affinityLoadFactor: 1.25,
  affinityFreeFraction: 0,
  maximumWaitFraction: 0.5,
  overflowFraction: 0.5,
  maximumLimitFactor: 2,
  lowerClassFraction: 0.75,
  standingQueueAfterMs: 100,
  standingQueueMinimumLength: 2,
  standingQueueMaximumWaitMs: 50,
  abandonsByForecast: true,
};

/** The policy in use. */
export const DEFAULT_POLICY_SETTINGS: PolicySettings = {
  ...BASELINE_POLICY_SETTINGS,
  overflowFraction: 0.25,
};
