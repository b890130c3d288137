/**
 * Allowed lag of a model: how many versions its work may be behind the newest one, derived from the minimum
 * versions that trainers request.
 *
 * @module
 */
import type { ServedVersion } from "#core";

/** Number of latest requests whose lag is stored; the smallest lag counts. */
const LAG_HISTORY_LENGTH = 4;

interface LagHistory {
  minimumVersion: number;
  lags: readonly number[];
}

/**
 * Derives the allowed lag of each model from published and requested versions.
 *
 * @example
 * ```ts
 * lag.observe([{ model: "m", version: 7 }], [{ model: "m", version: 6 }]);
 * lag.allowedLag("m"); // 1
 * ```
 */
export class VersionLag {
  readonly #histories = new Map<string, LagHistory>();

  /** Records the newest versions and the minimum version that the newest work of each model requests. */
  observe(
    newestVersions: readonly ServedVersion[],
    minimumVersions: readonly ServedVersion[],
  ): void {
    for (const { model, version } of minimumVersions) {
      const newest = newestVersions.find((each) => each.model === model)
        ?.version;
      const known = this.#histories.get(model);
      if (newest === undefined || known?.minimumVersion === version) continue;
      const lag = Math.max(0, newest - version);
      const lags = [...known?.lags ?? [], lag].slice(-LAG_HISTORY_LENGTH);
      this.#histories.set(model, { minimumVersion: version, lags });
    }
  }

  /** Returns how many versions work of the model may be behind; 0 while no request is known. */
  allowedLag(model: string): number {
    const lags = this.#histories.get(model)?.lags ?? [];
    return lags.length === 0 ? 0 : Math.min(...lags);
  }
}
