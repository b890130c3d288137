/**
 * Re-exports the result type, so that only this file depends on the module format of the library.
 *
 * Source: the `ts-results` package, whose ES module build needs its default import on Node.
 *
 * @module
 */
import results from "ts-results";
import type { Err as ErrType, Ok as OkType, Result } from "ts-results";

/** Creates a successful result. */
export const Ok = results.Ok;
/** Creates a failed result. */
export const Err = results.Err;
/** Type of a successful result. */
export type Ok<T> = OkType<T>;
/** Type of a failed result. */
export type Err<E> = ErrType<E>;
export type { Result };
