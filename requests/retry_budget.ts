/**
 * Retries are paid from a budget that first attempts fill, so that failures can't multiply load.
 *
 * @module
 */

/** Part of a retry that each first attempt pays for. */
export const BUDGET_SHARE = 0.2;
/** Most retries saved up per class. */
export const BUDGET_MAXIMUM = 50;

/** Budgets by class. */
export class RetryBudget {
  readonly #left = new Map<string, number>();

  /** Notes a first attempt. */
  earn(name: string): void {
    const left = this.#left.get(name) ?? BUDGET_MAXIMUM;
    this.#left.set(name, Math.min(BUDGET_MAXIMUM, left + BUDGET_SHARE));
  }

  /** Takes one retry; false if the budget is used up. */
  spend(name: string): boolean {
    const left = this.#left.get(name) ?? BUDGET_MAXIMUM;
    if (left < 1) return false;
    this.#left.set(name, left - 1);
    return true;
  }
}
