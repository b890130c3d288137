/**
 * A bounded cache of prompt prefixes, which shares an engine's memory with the running sequences.
 *
 * @module
 */
const BLOCK_CHARACTERS = 64;
/** Number of prompt characters per token. */
export const CHARACTERS_PER_TOKEN = 4;
const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

/** Caches prompt blocks up to a number of tokens and evicts the least recently used. */
export class PrefixCache {
  readonly #blocks = new Set<string>();

  /** Caches the prompt and returns the number of its tokens that were not cached before. */
  admitPrompt(prompt: string, roomTokens: number): number {
    const total = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    let cached = 0;
    let miss = false;
    for (
      let end = BLOCK_CHARACTERS;
      end <= prompt.length;
      end += BLOCK_CHARACTERS
    ) {
      const block = prompt.slice(0, end);
      const isCached = this.#blocks.delete(block);
      if (!isCached) miss = true;
      if (isCached && !miss) cached += BLOCK_TOKENS;
      this.#blocks.add(block);
    }
    this.evict(roomTokens);
    return total - cached;
  }

  /** Evicts the least recently used blocks until the rest fits in `roomTokens`. */
  evict(roomTokens: number): void {
    for (const block of this.#blocks) {
      if (this.tokens <= roomTokens) return;
      this.#blocks.delete(block);
    }
  }

  /** Removes all blocks, as a change of weights does. */
  clear(): void {
    this.#blocks.clear();
  }

  /** Number of cached tokens. */
  get tokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }
}
