/**
 * Mean time to data loss, from a Markov chain over the number of failed devices.
 *
 * @module
 */

/** Parameters of devices that fail and are repaired one at a time. */
export interface LossModel {
  readonly devices: number;
  /** Failures of one device per hour. */
  readonly failuresPerHour: number;
  /** Repairs of one failed device per hour. */
  readonly repairsPerHour: number;
  /** Fraction of the sets of failed devices without data loss, by number of failures; 0 beyond the end of the list. */
  readonly survivingFractions: readonly number[];
}

/**
 * Returns the mean hours to data loss, starting without failed devices.
 *
 * @example
 * ```ts
 * meanHoursToLoss({ devices: 1, failuresPerHour: 0.1, repairsPerHour: 1, survivingFractions: [1] }); // 10
 * ```
 */
export function meanHoursToLoss(model: LossModel): number {
  const { devices, survivingFractions } = model;
  // `climbHours` is the mean time from the current number of failures to one more failure or a data loss, and
  // `climbProbability` the probability of the former. `reachProbability` is the probability that no data has been
  // lost before this number of failures is first reached.
  let hours = 0;
  let reachProbability = 1;
  let climbHours = 0;
  let climbProbability = 1;
  for (let failed = 0; failed < survivingFractions.length; failed += 1) {
    const failureRate = (devices - failed) * model.failuresPerHour;
    const repairRate = failed * model.repairsPerHour;
    const survivalProbability = conditionalSurvival(survivingFractions, failed);
    // From `failed` failures the next event is a failure with or without data loss, or a repair, after which the
    // chain climbs back from one failure less.
    const totalRate = failureRate + repairRate;
    const returnProbability = failed === 0 ? 1 : climbProbability;
    const returnHours = failed === 0 ? 0 : climbHours;
    const loopProbability = repairRate / totalRate * returnProbability;
    const stepHours = (1 + repairRate * returnHours) / totalRate;
    climbHours = stepHours / (1 - loopProbability);
    climbProbability = (failureRate / totalRate * survivalProbability) /
      (1 - loopProbability);
    hours += reachProbability * climbHours;
    reachProbability *= climbProbability;
  }
  return hours;
}

function conditionalSurvival(
  survivingFractions: readonly number[],
  failed: number,
): number {
  const now = survivingFractions[failed] ?? 0;
  const next = survivingFractions[failed + 1] ?? 0;
  return now === 0 ? 0 : Math.min(1, next / now);
}
