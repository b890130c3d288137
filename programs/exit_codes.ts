/**
 * Exit codes of all programs, as documented in `docs/OPERATORS.md`.
 *
 * @module
 */
import { ERROR_TABLE, type Failure } from "#core";

/** Exit code for each reason for which a program ends. */
export const EXIT_CODES = {
  /** The operation succeeded. */
  success: 0,
  /** The program could not start or could not continue, or a checked configuration has errors. */
  failure: 1,
  /** Settings, arguments or a file were invalid; nothing was sent or changed. */
  usage: 2,
  /** The system rejected the request; nothing was changed, and a retry does not help. */
  refused: 3,
  /** No VM could respond, or the outcome is unknown; a retry is safe. */
  unreachable: 4,
  /** The condition that the command waited for was not met in time. */
  timeout: 5,
} as const;

/** Returns the exit code for a failure that an entry VM returned, or that represents a missing response. */
export function failureExitCode(failure: Failure): number {
  if (failure.kind === "invalid_settings") return EXIT_CODES.usage;
  if (failure.ran === "unknown" || ERROR_TABLE[failure.kind].again) {
    return EXIT_CODES.unreachable;
  }
  return EXIT_CODES.refused;
}
