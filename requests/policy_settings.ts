/**
 * Settings of the admission and selection policy.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Settings of the admission and selection policy; fractions are 0 to 1. */
export interface PolicySettings {
  /** Number of upstreams, in ring order, that are candidates for a prefix. */
  readonly affinityCandidates: number;
  /** Ratio of an upstream's load to the mean load up to which it is selected by prefix. */
  readonly affinityLoadFactor: number;
  /** Fraction of an upstream's limit up to which it is selected by prefix, however idle the others are. */
  readonly affinityFreeFraction: number;
  /** Fraction of the time until its deadline that a request may spend in the queue. */
  readonly maximumWaitFraction: number;
  /** Fraction of the spare capacity of another zone's upstream that one entry uses on overflow. */
  readonly overflowFraction: number;
  /** Maximum ratio of an upstream's adaptive limit to its announced capacity. */
  readonly maximumLimitFactor: number;
  /** Fraction of an upstream's announced capacity that classes below the first may fill. */
  readonly lowerClassFraction: number;
  /** How long the queue of a class must be non-empty without a break to count as a standing queue. */
  readonly standingQueueAfterMs: Milliseconds;
  /** Minimum number of waiting items of a standing queue. */
  readonly standingQueueMinimumLength: number;
  /** Maximum expected wait at which work is admitted to a standing queue. */
  readonly standingQueueMaximumWaitMs: Milliseconds;
  /** Whether waiting work of lower classes is abandoned once its expected wait is too long. */
  readonly abandonsByForecast: boolean;
}

/** The policy before the latest change, which benchmarks compare against. */
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

/** The default policy. */
export const DEFAULT_POLICY_SETTINGS: PolicySettings = {
  ...BASELINE_POLICY_SETTINGS,
  overflowFraction: 0.25,
};
