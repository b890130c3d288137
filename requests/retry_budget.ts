/**
 * Limits retries to a fraction of first attempts, so that failures can't multiply load.
 *
 * @module
 */

/** Retries that each first attempt adds to the budget. */
export const RETRIES_PER_FIRST_ATTEMPT = 0.2;
/** Maximum balance per class, which is also the initial balance. */
export const MAXIMUM_SAVED_RETRIES = 50;

/** Retry budgets by class. */
export class RetryBudget {
  readonly #balances = new Map<string, number>();

  /** Adds the share of a first attempt to the budget of its class. */
  deposit(name: string): void {
    const left = this.#balances.get(name) ?? MAXIMUM_SAVED_RETRIES;
    this.#balances.set(
      name,
      Math.min(MAXIMUM_SAVED_RETRIES, left + RETRIES_PER_FIRST_ATTEMPT),
    );
  }

  /** Spends one retry; returns false if the budget is exhausted. */
  spend(name: string): boolean {
    const left = this.#balances.get(name) ?? MAXIMUM_SAVED_RETRIES;
    if (left < 1) return false;
    this.#balances.set(name, left - 1);
    return true;
  }
}
