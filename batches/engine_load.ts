/**
 * What the runs of one engine take of it, now and until they end.
 *
 * A run holds its prompt and what it has made, and grows until it ends; short runs give their memory back
 * before long ones are large. So the most that is taken at one moment is far below the sum of all that the
 * runs will have made. Runs at one engine grow equally fast.
 *
 * @module
 */

/** What one run takes. */
export interface CacheUse {
  /** Tokens that it holds now. */
  readonly usedTokens: number;
  /** Tokens that it will still make, by estimate. */
  readonly tokensLeft: number;
}

/** A run as the load counts it. */
export interface RunLoad extends CacheUse {
  readonly group: string;
}

/** The runs of one engine. */
export class EngineLoad {
  readonly #groups = new Set<string>();
  /** The longest first. */
  readonly #uses: CacheUse[] = [];

  /** Runs at the engine. */
  get running(): number {
    return this.#uses.length;
  }

  /** Whether a run of the group is there, so that its prompt has been read. */
  hasGroup(group: string): boolean {
    return this.#groups.has(group);
  }

  /** Counts a run. */
  add(item: RunLoad): void {
    this.#groups.add(item.group);
    this.#uses.splice(insertionIndex(item, this.#uses), 0, item);
  }

  /** The most tokens that will be held at one moment if a run is added. */
  peakTokensWith(added: CacheUse): number {
    const at = insertionIndex(added, this.#uses);
    return peakTokens(this.#uses.toSpliced(at, 0, added));
  }
}

/**
 * The most tokens that runs hold at one moment: just before one of them ends, when those that are longer
 * have grown as much as it has.
 *
 * @param uses The longest first.
 * @example
 * ```ts
 * peakTokens([{ heldTokens: 10, tokensLeft: 90 }, { heldTokens: 10, tokensLeft: 20 }]); // 100
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
