/**
 * Engines and a weight store in virtual time for the measurement of rollout plans.
 *
 * @module
 */
import { type Milliseconds, type RandomSource, SeededRandom } from "#core";
import { needsOrder, type RolloutEngine, RolloutPlan } from "#weights";

const TICK_MS: Milliseconds = 100;
/** Time from the end of a load until the leader has read it back. */
const READ_BACK_MS: Milliseconds = 500;
const STORE_RETRY_MS: Milliseconds = 1_000;
const REST_MS: Milliseconds = 1_000;
const LIMIT_MS: Milliseconds = 3_600_000;

/** One site. */
export interface RolloutSite {
  readonly engines: number;
  readonly zones: number;
  readonly loadsPerSecond: number;
  readonly servingFloor: number;
  readonly transferMs: Milliseconds;
  /** Part of loads that fail partway. */
  readonly failedPart: number;
}

/** What one rollout took. */
export interface RolloutOutcome {
  /** From the publication until all engines serve the version. */
  readonly allServeMs: Milliseconds;
  /** Lowest part of capacity that served, in the worst zone. */
  readonly lowestServing: number;
  /** Generation lost, as time of the whole fleet: the trainer waits that much longer. */
  readonly idleMs: Milliseconds;
  /** Requests that the store refused. */
  readonly refusals: number;
}

/** All engines at once, whatever the store allows. */
export class AllAtOncePlan extends RolloutPlan {
  override selectEngines(
    engines: readonly RolloutEngine[],
    goal: { readonly version: number },
    nowMs: Milliseconds,
  ): readonly string[] {
    return engines
      .filter((engine) => needsOrder(engine, goal.version, nowMs))
      .map((engine) => engine.upstream);
  }
}

/** One engine after the other. */
export class OneByOnePlan extends RolloutPlan {
  override selectEngines(
    engines: readonly RolloutEngine[],
    goal: { readonly version: number },
    nowMs: Milliseconds,
  ): readonly string[] {
    if (engines.some((engine) => engine.loading)) return [];
    const next = engines.find((engine) =>
      needsOrder(engine, goal.version, nowMs)
    );
    return next === undefined ? [] : [next.upstream];
  }
}

interface Load {
  /** When the store is asked next, or null while the transfer is on. */
  askAtMs: Milliseconds | null;
  doneAtMs: Milliseconds;
}

/** Rolls one version out over a site. */
export function rollOut(
  plan: RolloutPlan,
  site: RolloutSite,
  seed: number,
): RolloutOutcome {
  return new RolloutModel(plan, site, seed).run();
}

class RolloutModel {
  readonly #plan: RolloutPlan;
  readonly #site: RolloutSite;
  readonly #random: RandomSource;
  readonly #engines: RolloutEngine[];
  readonly #loads = new Map<number, Load>();
  #nowMs: Milliseconds = 0;
  #storeTokens = 1;
  #refusals = 0;
  #lowest = 1;
  #idleMs: Milliseconds = 0;

  constructor(plan: RolloutPlan, site: RolloutSite, seed: number) {
    this.#plan = plan;
    this.#site = site;
    this.#random = new SeededRandom(seed);
    this.#engines = Array.from({ length: site.engines }, (_, index) => ({
      upstream: `e${index}`,
      zone: `z${index % site.zones}`,
      capacity: 16,
      serving: 1,
      loading: false,
      earliestOrderMs: 0,
      consecutiveFailures: 0,
    }));
  }

  run(): RolloutOutcome {
    const goal = { ...this.#site, version: 2 };
    while (this.#nowMs < LIMIT_MS) {
      const chosen = new Set(
        this.#plan.selectEngines(this.#engines, goal, this.#nowMs),
      );
      for (const [index, engine] of this.#engines.entries()) {
        if (chosen.has(engine.upstream)) this.#begin(index, engine);
      }
      this.#measure();
      this.#nowMs += TICK_MS;
      this.#store();
      this.#finish();
      if (this.#engines.every((engine) => engine.serving === 2)) break;
    }
    return {
      allServeMs: this.#nowMs,
      lowestServing: this.#lowest,
      idleMs: this.#idleMs,
      refusals: this.#refusals,
    };
  }

  #begin(index: number, engine: RolloutEngine): void {
    this.#engines[index] = { ...engine, loading: true };
    this.#loads.set(index, {
      askAtMs: this.#nowMs,
      doneAtMs: Number.MAX_SAFE_INTEGER,
    });
  }

  #store(): void {
    const { loadsPerSecond, transferMs } = this.#site;
    const more = loadsPerSecond * TICK_MS / 1_000;
    const most = Math.max(1, loadsPerSecond);
    this.#storeTokens = Math.min(most, this.#storeTokens + more);
    for (const load of this.#loads.values()) {
      if (load.askAtMs === null || load.askAtMs > this.#nowMs) continue;
      if (this.#storeTokens < 1) {
        this.#refusals += 1;
        load.askAtMs = this.#nowMs + STORE_RETRY_MS;
        continue;
      }
      this.#storeTokens -= 1;
      load.askAtMs = null;
      load.doneAtMs = this.#nowMs + transferMs + READ_BACK_MS;
    }
  }

  #finish(): void {
    for (const [index, load] of this.#loads) {
      if (load.doneAtMs > this.#nowMs) continue;
      this.#loads.delete(index);
      const engine = this.#engines[index];
      if (engine === undefined) continue;
      const failed = this.#random.fraction() < this.#site.failedPart;
      this.#engines[index] = failed
        ? {
          ...engine,
          loading: false,
          serving: null,
          consecutiveFailures: engine.consecutiveFailures + 1,
          earliestOrderMs: this.#nowMs + REST_MS,
        }
        : { ...engine, loading: false, serving: 2, consecutiveFailures: 0 };
    }
  }

  #measure(): void {
    const serving = new Map<string, number>();
    const all = new Map<string, number>();
    let total = 0;
    for (const engine of this.#engines) {
      all.set(engine.zone, (all.get(engine.zone) ?? 0) + 1);
      if (engine.serving === null || engine.loading) continue;
      serving.set(engine.zone, (serving.get(engine.zone) ?? 0) + 1);
      total += 1;
    }
    for (const [zone, count] of all) {
      const part = (serving.get(zone) ?? 0) / count;
      this.#lowest = Math.min(this.#lowest, part);
    }
    this.#idleMs += TICK_MS * (1 - total / this.#engines.length);
  }
}
