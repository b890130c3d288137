/**
 * Estimates the cache use of the runs on one engine, now and until they end.
 *
 * A run occupies cache for its prompt and its generated tokens, and grows until it ends. Short runs release
 * their cache before long ones are large, so the peak is far below the sum of the final sizes of all runs.
 * The estimate assumes that the runs on one engine grow equally fast.
 *
 * @module
 */

/** Cache use of one run. */
export interface CacheUse {
  /** Tokens that the run occupies in the cache now. */
  readonly usedTokens: number;
  /** Estimated number of tokens still to be generated. */
  readonly tokensLeft: number;
}

/** Cache use of a run together with its group. */
export interface RunLoad extends CacheUse {
  readonly group: string;
}

/** Load of one engine by its runs. */
export class EngineLoad {
  readonly #groups = new Set<string>();
  /** Cache use of the runs, those with the most tokens left first. */
  readonly #uses: CacheUse[] = [];

  /** Number of runs on the engine. */
  get running(): number {
    return this.#uses.length;
  }

  /** Tokens that the runs occupy in the cache now. */
  get usedTokens(): number {
    let tokens = 0;
    for (const use of this.#uses) tokens += use.usedTokens;
    return tokens;
  }

  /** Returns whether a run of the group is on the engine, so that the prompt of the group is cached there. */
  hasGroup(group: string): boolean {
    return this.#groups.has(group);
  }

  /** Adds a run to the load. */
  add(item: RunLoad): void {
    this.#groups.add(item.group);
    this.#uses.splice(insertionIndex(item, this.#uses), 0, item);
  }

  /** Returns the peak number of cached tokens if a run were added. */
  peakTokensWith(added: CacheUse): number {
    const at = insertionIndex(added, this.#uses);
    return peakTokens(this.#uses.toSpliced(at, 0, added));
  }
}

/**
 * Returns the peak number of tokens that runs occupy together. A peak occurs just before a run ends, when all
 * longer runs have grown by the same number of tokens.
 *
 * @param uses Cache use of the runs, those with the most tokens left first.
 * @example
 * ```ts
 * peakTokens([{ usedTokens: 10, tokensLeft: 90 }, { usedTokens: 10, tokensLeft: 20 }]); // 100
 * ```
 */
export function peakTokens(uses: readonly CacheUse[]): number {
  let peak = 0;
  let usedTokens = 0;
  let count = 0;
  for (const use of uses) {
    usedTokens += use.usedTokens;
    count += 1;
    peak = Math.max(peak, usedTokens + count * use.tokensLeft);
  }
  return peak;
}

function insertionIndex(added: CacheUse, uses: readonly CacheUse[]): number {
  const at = uses.findIndex((each) => each.tokensLeft < added.tokensLeft);
  return at < 0 ? uses.length : at;
}
