/**
 * Outcomes of the operator commands.
 *
 * @module
 */
import { ERROR_TABLE, type Failure } from "#core";
import { EXIT_CODES, failureExitCode } from "../exit_codes.ts";

/** The result of a command, as text for people and as JSON for programs. */
export interface CommandOutcome {
  readonly exitCode: number;
  readonly text: string;
  readonly json: unknown;
  /** Values of which each is a line of JSON, instead of `json`. */
  readonly jsonLines?: readonly unknown[];
}

/** Help text of a command in the form that clipanion prints. */
export interface CommandHelp {
  readonly category: string;
  readonly description: string;
  readonly details: string;
  readonly examples: [string, string][];
}

/** Returns the outcome of a command that succeeded. */
export function successOutcome(text: string, json: unknown): CommandOutcome {
  return { exitCode: EXIT_CODES.success, text, json };
}

/** Returns the outcome of a command that failed. */
export function failureOutcome(failure: Failure): CommandOutcome {
  const hint = ERROR_TABLE[failure.kind].hint;
  const field = failure.field === undefined ? "" : ` (${failure.field})`;
  return {
    exitCode: failureExitCode(failure),
    text: `${failure.kind}${field}: ${failure.message}\n${hint}`,
    json: { ...failure, hint },
  };
}
