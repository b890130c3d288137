/**
 * Exit codes of all programs, as documented in `docs/OPERATORS.md`.
 *
 * @module
 */

/** Why a program ended. */
export const EXIT_CODES = {
  /** It did what was asked. */
  success: 0,
  /** It could not do what was asked, or the answer is no. */
  failure: 1,
  /** Settings, arguments or a file were wrong; nothing was sent or changed. */
  usage: 2,
  /** The system refused the request; nothing was changed. */
  refused: 3,
  /** No VM answered, or the outcome is unknown; asking again is safe. */
  unreachable: 4,
  /** What was waited for did not come in time. */
  timeout: 5,
} as const;
