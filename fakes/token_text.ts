/**
 * The text that a stand-in engine generates: a pure function of model, version, prompt, seed and position, so that
 * a checker can tell from an answer alone whether its versions are named truly.
 *
 * @module
 */
import xxhash from "xxhash-wasm";
import type { VersionRun } from "#core";

const { h32 } = await xxhash();
const TOKEN_SEPARATOR = ".";

/** What the text of an answer depends on, besides the version and the position. */
export interface TextSource {
  readonly model: string;
  readonly prompt: string;
  readonly seed: number;
}

/**
 * The token at a position, counted from 0, as made by a version: version, position, a hash of model and prompt, and a
 * hash with the seed.
 *
 * @example
 * ```ts
 * tokenText({ model: "advice", prompt: "E4 on a heat interface unit", seed: 1 }, { version: 3, position: 0 });
 * ```
 */
export function tokenText(
  source: TextSource,
  place: { readonly version: number; readonly position: number },
): string {
  const start = tokenPrefix(source, place);
  const own = h32(`${source.seed}/${start}`).toString(36);
  return `${start}${TOKEN_SEPARATOR}${own}`;
}

function tokenPrefix(
  source: Omit<TextSource, "seed">,
  place: { readonly version: number; readonly position: number },
): string {
  const prompt = h32(`${source.model}/${source.prompt}`).toString(36);
  return ` ${place.version}.${place.position}.${prompt}`;
}

/** The text of tokens from `from` up to, but not including, `to`, all made by one version. */
export function tokenRangeText(
  source: TextSource,
  range: {
    readonly version: number;
    readonly from: number;
    readonly to: number;
  },
): string {
  let text = "";
  for (let position = range.from; position < range.to; position += 1) {
    text += tokenText(source, { version: range.version, position });
  }
  return text;
}

/** The whole text that an answer must have if its tokens were made by these runs of versions. */
export function expectedText(
  source: TextSource,
  runs: readonly VersionRun[],
): string {
  let text = "";
  let position = 0;
  for (const run of runs) {
    const to = position + run.tokens;
    text += tokenRangeText(source, {
      version: run.version,
      from: position,
      to,
    });
    position = to;
  }
  return text;
}

/**
 * Whether a text can be the whole answer to a prompt with its tokens made by these runs of versions, whatever the
 * seed.
 */
export function matchesVersionRuns(
  text: string,
  source: Omit<TextSource, "seed">,
  runs: readonly VersionRun[],
): boolean {
  const tokens = text.split(" ").slice(1);
  let position = 0;
  for (const run of runs) {
    for (let made = 0; made < run.tokens; made += 1) {
      const place = { version: run.version, position };
      const start = tokenPrefix(source, place) + TOKEN_SEPARATOR;
      if (!` ${tokens[position]}`.startsWith(start)) return false;
      position += 1;
    }
  }
  return tokens.length === position;
}

/** A number from 0 up to, but not including, 1 that depends on the text alone. */
export function hashFraction(text: string): number {
  return h32(text) / 0x1_0000_0000;
}
