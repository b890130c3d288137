/**
 * Partial responses: appends streamed chunks, and tracks the versions that generated the tokens.
 *
 * @module
 */
import type {
  CompletionChunk,
  CompletionResult,
  PartialCompletion,
} from "#core";
import { oldestVersion } from "./ledger_types.ts";

/** Partial response before the first token. */
export const EMPTY_PARTIAL_ANSWER: PartialCompletion = {
  text: "",
  tokens: 0,
  runs: [],
};

/** Whether the version runs account for every token of the response. */
export function coversAllTokens(answer: CompletionResult): boolean {
  if (answer.runs === null || answer.runs.length === 0) return false;
  let tokens = 0;
  for (const run of answer.runs) tokens += run.tokens;
  return tokens === answer.tokens;
}

/** Returns the oldest version of a partial response, or the largest safe integer if it has no token. */
export function oldestVersionOf(partial: PartialCompletion): number {
  return partial.runs.length === 0
    ? Number.MAX_SAFE_INTEGER
    : oldestVersion(partial.runs);
}

/** Returns the partial response with a chunk appended, or null if the version of any token is unknown. */
export function appendChunk(
  partial: PartialCompletion | null,
  chunk: CompletionChunk,
): PartialCompletion | null {
  if (partial === null || chunk.version === null) return null;
  const last = partial.runs.at(-1);
  const run = { version: chunk.version, tokens: chunk.tokens };
  const runs = last?.version === chunk.version
    ? [
      ...partial.runs.slice(0, -1),
      { ...run, tokens: last.tokens + chunk.tokens },
    ]
    : [...partial.runs, run];
  return {
    text: partial.text + chunk.text,
    tokens: partial.tokens + chunk.tokens,
    runs,
  };
}
