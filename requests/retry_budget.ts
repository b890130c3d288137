/**
 * Retries are paid from a budget that first attempts fill, so that failures can't multiply load.
 *
 * @module
 */

/** Part of a retry that each first attempt pays for. */
export const RETRIES_PER_FIRST_ATTEMPT = 0.2;
/** Most retries saved up per class. */
export const MAXIMUM_SAVED_RETRIES = 50;

/** Budgets by class. */
export class RetryBudget {
  readonly #balances = new Map<string, number>();

  /** Notes a first attempt. */
  deposit(name: string): void {
    const left = this.#balances.get(name) ?? MAXIMUM_SAVED_RETRIES;
    this.#balances.set(
      name,
      Math.min(MAXIMUM_SAVED_RETRIES, left + RETRIES_PER_FIRST_ATTEMPT),
    );
  }

  /** Takes one retry; false if the budget is used up. */
  spend(name: string): boolean {
    const left = this.#balances.get(name) ?? MAXIMUM_SAVED_RETRIES;
    if (left < 1) return false;
    this.#balances.set(name, left - 1);
    return true;
  }
}
