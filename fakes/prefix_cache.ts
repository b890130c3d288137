/**
 * A limited cache of prompt prefixes, as engines keep it beside the sequences that run.
 *
 * @module
 */
const BLOCK_CHARACTERS = 64;
/** Characters of a prompt that make up one token. */
export const CHARACTERS_PER_TOKEN = 4;
const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

/** Remembers the least recently used blocks of prompts within a number of tokens. */
export class PrefixCache {
  readonly #blocks = new Set<string>();

  /** Tokens of the prompt that must be computed; the rest was cached. Afterwards the prompt is cached. */
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
      const known = this.#blocks.delete(block);
      if (!known) miss = true;
      if (known && !miss) cached += BLOCK_TOKENS;
      this.#blocks.add(block);
    }
    this.evict(roomTokens);
    return total - cached;
  }

  /** Forgets the blocks that were not used for longest until the rest fits. */
  evict(roomTokens: number): void {
    for (const block of this.#blocks) {
      if (this.tokens <= roomTokens) return;
      this.#blocks.delete(block);
    }
  }

  /** Forgets everything, as a change of weights does. */
  clear(): void {
    this.#blocks.clear();
  }

  /** Tokens held. */
  get tokens(): number {
    return this.#blocks.size * BLOCK_TOKENS;
  }
}
