/**
 * Beginnings of answers: how they grow, and which versions made them.
 *
 * @module
 */
import type { CompletionAnswer, CompletionChunk, PartialAnswer } from "#core";
import { oldestVersion } from "./ledger_types.ts";

/** Before the first token. */
export const EMPTY_PARTIAL_ANSWER: PartialAnswer = {
  text: "",
  tokens: 0,
  runs: [],
};

/** Whether the runs name a version for each token. */
export function coversAllTokens(answer: CompletionAnswer): boolean {
  if (answer.runs === null || answer.runs.length === 0) return false;
  let tokens = 0;
  for (const run of answer.runs) tokens += run.tokens;
  return tokens === answer.tokens;
}

/** The oldest version of a beginning; the largest number if it has no token. */
export function oldestVersionOf(partial: PartialAnswer): number {
  return partial.runs.length === 0
    ? Number.MAX_SAFE_INTEGER
    : oldestVersion(partial.runs);
}

/** Adds a chunk to a beginning; null if the version of any token is not named. */
export function appendChunk(
  partial: PartialAnswer | null,
  chunk: CompletionChunk,
): PartialAnswer | null {
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
