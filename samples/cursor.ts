/**
 * Cursors of trainers: the trainer's name and the count of samples handed over to it so far.
 *
 * @module
 */
import { Err, fail, type Failure, Ok, type Result } from "#core";

const SEPARATOR = "~";
const COUNT_PATTERN = /^(0|[1-9][0-9]{0,14})$/;

/**
 * Writes a cursor.
 *
 * @example
 * ```ts
 * formatCursor("tuner", 64); // "tuner~64"
 * ```
 */
export function formatCursor(trainer: string, count: number): string {
  return `${trainer}${SEPARATOR}${count}`;
}

/**
 * Reads a cursor; empty text is the cursor before the first sample. A cursor of another trainer and
 * one that was never written are `malformed_request`.
 */
export function parseCursor(
  trainer: string,
  text: string,
): Result<number, Failure> {
  if (text === "") return Ok(0);
  const separatorIndex = text.lastIndexOf(SEPARATOR);
  const count = text.slice(separatorIndex + 1);
  if (separatorIndex < 0 || !COUNT_PATTERN.test(count)) {
    return Err(malformedCursor(`after: ${text} is not a cursor`));
  }
  const owner = text.slice(0, separatorIndex);
  if (owner !== trainer) {
    return Err(
      malformedCursor(`after: ${text} is a cursor of trainer ${owner}`),
    );
  }
  return Ok(Number(count));
}

function malformedCursor(message: string): Failure {
  return fail("malformed_request", message, { field: "after" });
}
