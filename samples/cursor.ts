/**
 * Delivery cursors: the trainer's name and the number of samples delivered to it so far.
 *
 * @module
 */
import { Err, fail, type Failure, Ok, type Result } from "#core";

const SEPARATOR = "~";
const COUNT_PATTERN = /^(0|[1-9][0-9]{0,14})$/;

/**
 * Formats a cursor.
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
 * Returns the sample count of a cursor. An empty text is the cursor before the first sample. Rejects
 * text that is not a cursor, and the cursor of another trainer, with `malformed_request`.
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
      malformedCursor(`after: ${text} belongs to trainer ${owner}`),
    );
  }
  return Ok(Number(count));
}

function malformedCursor(message: string): Failure {
  return fail("malformed_request", message, { field: "after" });
}
