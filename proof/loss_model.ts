/**
 * Mean time until data is lost, by a Markov chain over the number of failed devices.
 *
 * @module
 */

/** Devices that fail and are repaired one by one. */
export interface LossModel {
  readonly devices: number;
  /** Failures of one device an hour. */
  readonly failuresPerHour: number;
  /** Repairs of one failed device an hour. */
  readonly repairsPerHour: number;
  /** Part of the sets of that many failures that lose nothing, by number of failures; 0 beyond. */
  readonly survivingParts: readonly number[];
}

/**
 * Mean hours until data is lost, from a start with no failure.
 *
 * @example
 * ```ts
 * meanHoursToLoss({ devices: 1, failuresPerHour: 0.1, repairsPerHour: 1, survivingParts: [1] }); // 10
 * ```
 */
export function meanHoursToLoss(model: LossModel): number {
  const { devices, survivingParts } = model;
  // climb(i) is the mean time from i failures to the first time with i + 1 or a loss; `reach` is the
  // probability that the loss had not happened by then.
  let hours = 0;
  let reach = 1;
  let climbHours = 0;
  let climbReach = 1;
  for (let failed = 0; failed < survivingParts.length; failed += 1) {
    const up = (devices - failed) * model.failuresPerHour;
    const down = failed * model.repairsPerHour;
    const stays = conditionalSurvival(survivingParts, failed);
    // From `failed`: up with survival, up with loss, or down and then back by a climb from below.
    const total = up + down;
    const backReach = failed === 0 ? 1 : climbReach;
    const backHours = failed === 0 ? 0 : climbHours;
    const loop = down / total * backReach;
    const stepHours = (1 + down * backHours) / total;
    climbHours = stepHours / (1 - loop);
    climbReach = (up / total * stays) / (1 - loop);
    hours += reach * climbHours;
    reach *= climbReach;
  }
  return hours;
}

function conditionalSurvival(
  survivingParts: readonly number[],
  failed: number,
): number {
  const now = survivingParts[failed] ?? 0;
  const next = survivingParts[failed + 1] ?? 0;
  return now === 0 ? 0 : Math.min(1, next / now);
}
