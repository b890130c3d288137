/**
 * The statuses with which an HTTP exchange can end, and those that promise something.
 *
 * @module
 */

const MINIMUM_FINAL_STATUS = 200;
const MAXIMUM_FINAL_STATUS = 599;

/**
 * Returns whether a status can be the end of an exchange. Parsers accept any three digits in a status line, such as 000;
 * bytes with such a status are no response, and belong to no request.
 *
 * @example
 * ```ts
 * isFinalStatus(503); // true
 * isFinalStatus(0); // false
 * ```
 */
export function isFinalStatus(status: number | undefined): boolean {
  return status !== undefined && Number.isInteger(status) &&
    status >= MINIMUM_FINAL_STATUS && status <= MAXIMUM_FINAL_STATUS;
}

/** Request timeout, misdirected request, too many requests, service unavailable. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Returns whether a status tells a caller that its request has not run and never will, so that it may send it again.
 *
 * @example
 * ```ts
 * promisesNotRun(503); // true
 * promisesNotRun(502); // false
 * ```
 */
export function promisesNotRun(status: number): boolean {
  return PROMISE_STATUSES.has(status);
}
