/**
 * Re-export of the result type, so that the library's module format matters in one place only.
 *
 * Source: the `ts-results` package, whose ES module build needs its default import on Node.
 *
 * @module
 */
import results from "ts-results";
import type { Err as ErrType, Ok as OkType, Result } from "ts-results";

/** A value that was computed. */
export const Ok = results.Ok;
/** A typed failure. */
export const Err = results.Err;
/** The type of a computed value. */
export type Ok<T> = OkType<T>;
/** The type of a typed failure. */
export type Err<E> = ErrType<E>;
export type { Result };
