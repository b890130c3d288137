/**
 * The text that a stand-in engine generates: a pure function of model, version, prompt, seed and position, so that
 * a checker can tell from an answer alone whether its versions are named truly.
 *
 * @module
 */
import xxhash from "xxhash-wasm";
import type { VersionRun } from "#core";

const { h32 } = await xxhash();

/** What the text of an answer depends on, besides the version and the position. */
export interface TextSource {
  readonly model: string;
  readonly prompt: string;
  readonly seed: number;
}

/**
 * The token at a position, counted from 0, as made by a version.
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
  const key =
    `${source.model}/${place.version}/${place.position}/${source.seed}/${source.prompt}`;
  return " " + h32(key).toString(36);
}

/** The text of tokens from `from` up to, but not including, `to`, all made by one version. */
export function tokenRange(
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
    text += tokenRange(source, {
      version: run.version,
      from: position,
      to,
    });
    position = to;
  }
  return text;
}

/** A number from 0 up to, but not including, 1 that depends on the text alone. */
export function hashFraction(text: string): number {
  return h32(text) / 0x1_0000_0000;
}
