/**
 * What a fake engine executed, for checkers: executions, the version that generated each token, and discarded
 * work.
 *
 * @module
 */
import type { VersionRun } from "#core";
import type { SequenceChunk } from "./engine_batch.ts";

const MAXIMUM_EXECUTIONS = 50_000;

/** One execution of a request on this engine. */
export interface Execution {
  readonly requestId: string;
  /** Number of tokens that the request resumed from. */
  readonly resumedTokens: number;
  /** The versions that generated the tokens after the resumed ones. */
  readonly runs: readonly VersionRun[];
  readonly outcome: "running" | "whole" | "cancelled" | "cut";
}

/** Totals since the start. */
export interface EngineTotals {
  readonly executions: number;
  readonly tokens: number;
  /** Number of tokens of executions that were cancelled or cut off. */
  readonly tokensWithoutEnd: number;
}

interface MutableExecution {
  readonly requestId: string;
  readonly resumedTokens: number;
  runs: readonly VersionRun[];
  tokens: number;
  outcome: Execution["outcome"];
}

/** Stores the newest executions and the totals. */
export class EngineRecord {
  readonly #executions: MutableExecution[] = [];
  readonly #running = new Map<string, MutableExecution>();
  #count = 0;
  #tokens = 0;
  #unfinishedTokens = 0;

  /** Records the start of a request. */
  startExecution(requestId: string, resumedTokens: number): void {
    const execution: MutableExecution = {
      requestId,
      resumedTokens,
      runs: [],
      tokens: 0,
      outcome: "running",
    };
    this.#count += 1;
    this.#running.set(requestId, execution);
    this.#executions.push(execution);
    if (this.#executions.length > MAXIMUM_EXECUTIONS) this.#executions.shift();
  }

  /** Records generated tokens. */
  addTokens(chunk: SequenceChunk, tokens: number): void {
    const execution = this.#running.get(chunk.requestId);
    if (execution === undefined) return;
    this.#tokens += tokens;
    execution.tokens += tokens;
    execution.runs = appendRun(execution.runs, {
      version: chunk.version,
      tokens,
    });
  }

  /** Records the end of a request. */
  finishExecution(requestId: string, outcome: Execution["outcome"]): void {
    const execution = this.#running.get(requestId);
    if (execution === undefined) return;
    this.#running.delete(requestId);
    execution.outcome = outcome;
    if (outcome !== "whole") this.#unfinishedTokens += execution.tokens;
  }

  /** Returns the newest executions, oldest first. */
  executions(): readonly Execution[] {
    return this.#executions;
  }

  /** Returns the totals since the start. */
  totals(): EngineTotals {
    return {
      executions: this.#count,
      tokens: this.#tokens,
      tokensWithoutEnd: this.#unfinishedTokens,
    };
  }
}

/**
 * Appends a run of tokens of one version, merging it into the last run if the version is the same.
 *
 * @example
 * ```ts
 * appendRun([{ version: 1, tokens: 4 }], { version: 1, tokens: 2 });
 * // [{ version: 1, tokens: 6 }]
 * ```
 */
export function appendRun(
  runs: readonly VersionRun[],
  run: VersionRun,
): readonly VersionRun[] {
  if (run.tokens === 0) return runs;
  const last = runs.at(-1);
  if (last === undefined || last.version !== run.version) return [...runs, run];
  const joined = { version: run.version, tokens: last.tokens + run.tokens };
  return [...runs.slice(0, -1), joined];
}
