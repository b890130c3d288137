/**
 * How far behind the newest version a model's work may be, learnt from the versions that trainers ask for.
 *
 * @module
 */
import type { ServedVersion } from "#core";

/** Requests whose lag is kept in mind; the smallest of them counts. */
const REMEMBERED = 4;

interface Observed {
  asked: number;
  lags: readonly number[];
}

/**
 * Watches named and asked versions.
 *
 * @example
 * ```ts
 * lag.observe([{ model: "m", version: 7 }], [{ model: "m", version: 6 }]);
 * lag.of("m"); // 1
 * ```
 */
export class VersionLag {
  readonly #observed = new Map<string, Observed>();

  /** Takes what is named and what the newest work of each model asks for at least. */
  observe(
    named: readonly ServedVersion[],
    asked: readonly ServedVersion[],
  ): void {
    for (const { model, version } of asked) {
      const newest = named.find((each) => each.model === model)?.version;
      const known = this.#observed.get(model);
      if (newest === undefined || known?.asked === version) continue;
      const lag = Math.max(0, newest - version);
      const lags = [...known?.lags ?? [], lag].slice(-REMEMBERED);
      this.#observed.set(model, { asked: version, lags });
    }
  }

  /** Versions that work may be behind; 0 while nothing is known. */
  of(model: string): number {
    const lags = this.#observed.get(model)?.lags ?? [];
    return lags.length === 0 ? 0 : Math.min(...lags);
  }
}
