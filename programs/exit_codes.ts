/**
 * Exit codes of all programs, as documented in `docs/OPERATORS.md`.
 *
 * @module
 */
import { ERROR_TABLE, type Failure } from "#core";

/** Why a program ended. */
export const EXIT_CODES = {
  /** It did what was asked. */
  success: 0,
  /** It could not start or go on. */
  failure: 1,
  /** Settings, arguments or a file were wrong; nothing was sent or changed. */
  usage: 2,
  /** The system refused the request; nothing was changed, and asking again does not help. */
  refused: 3,
  /** No VM could answer now, or the outcome is unknown; asking again is safe. */
  unreachable: 4,
  /** What was waited for did not come in time. */
  timeout: 5,
} as const;

/** The exit code for a failure that an entry VM answered, or that stands for no answer. */
export function failureExitCode(failure: Failure): number {
  if (failure.kind === "invalid_settings") return EXIT_CODES.usage;
  if (failure.ran === "unknown" || ERROR_TABLE[failure.kind].again) {
    return EXIT_CODES.unreachable;
  }
  return EXIT_CODES.refused;
}
