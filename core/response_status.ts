/**
 * The statuses with which an HTTP exchange can end.
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
