/**
 * A model of engines and a weight store, in virtual time, for the benchmark of rollout plans.
 *
 * @module
 */
import { type Milliseconds, type RandomSource, SeededRandom } from "#core";
import { needsOrder, type RolloutEngine, RolloutPlan } from "#weights";

const TICK_MS: Milliseconds = 100;
/** Time from the end of a load until the leader has read the served version back. */
const READ_BACK_MS: Milliseconds = 500;
const STORE_RETRY_MS: Milliseconds = 1_000;
const FAILED_LOAD_DELAY_MS: Milliseconds = 1_000;
const TIME_LIMIT_MS: Milliseconds = 3_600_000;

/** Parameters of a site. */
export interface RolloutSite {
  readonly engines: number;
  readonly zones: number;
  readonly loadsPerSecond: number;
  readonly servingFloor: number;
  readonly transferMs: Milliseconds;
  /** Fraction of the loads that fail partway. */
  readonly failedLoadFraction: number;
}

/** Duration and cost of one rollout. */
export interface RolloutOutcome {
  /** Time from the publication until all engines serve the version. */
  readonly allServeMs: Milliseconds;
  /** Lowest fraction of the capacity that was serving, in the worst zone. */
  readonly lowestServing: number;
  /** Generation lost, as time of the whole fleet, by which the trainer waits longer. */
  readonly idleMs: Milliseconds;
  /** Number of requests that the store rejected. */
  readonly storeRejections: number;
}

/** Orders all engines at once, regardless of the rate limit of the store. */
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

/** Orders one engine at a time. */
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
  /** Time of the next request to the store, or null during the transfer. */
  requestAtMs: Milliseconds | null;
  doneAtMs: Milliseconds;
}

/** Rolls out one version over a site and returns the outcome. */
export function runRollout(
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
  #storeRejections = 0;
  #lowestServing = 1;
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
    while (this.#nowMs < TIME_LIMIT_MS) {
      const selected = new Set(
        this.#plan.selectEngines(this.#engines, goal, this.#nowMs),
      );
      for (const [index, engine] of this.#engines.entries()) {
        if (selected.has(engine.upstream)) this.#startLoad(index, engine);
      }
      this.#recordServing();
      this.#nowMs += TICK_MS;
      this.#admitTransfers();
      this.#finishLoads();
      if (this.#engines.every((engine) => engine.serving === 2)) break;
    }
    return {
      allServeMs: this.#nowMs,
      lowestServing: this.#lowestServing,
      idleMs: this.#idleMs,
      storeRejections: this.#storeRejections,
    };
  }

  #startLoad(index: number, engine: RolloutEngine): void {
    this.#engines[index] = { ...engine, loading: true };
    this.#loads.set(index, {
      requestAtMs: this.#nowMs,
      doneAtMs: Number.MAX_SAFE_INTEGER,
    });
  }

  #admitTransfers(): void {
    const { loadsPerSecond, transferMs } = this.#site;
    const addedTokens = loadsPerSecond * TICK_MS / 1_000;
    const maximumTokens = Math.max(1, loadsPerSecond);
    this.#storeTokens = Math.min(
      maximumTokens,
      this.#storeTokens + addedTokens,
    );
    for (const load of this.#loads.values()) {
      if (load.requestAtMs === null || load.requestAtMs > this.#nowMs) continue;
      if (this.#storeTokens < 1) {
        this.#storeRejections += 1;
        load.requestAtMs = this.#nowMs + STORE_RETRY_MS;
        continue;
      }
      this.#storeTokens -= 1;
      load.requestAtMs = null;
      load.doneAtMs = this.#nowMs + transferMs + READ_BACK_MS;
    }
  }

  #finishLoads(): void {
    for (const [index, load] of this.#loads) {
      if (load.doneAtMs > this.#nowMs) continue;
      this.#loads.delete(index);
      const engine = this.#engines[index];
      if (engine === undefined) continue;
      const failed = this.#random.fraction() < this.#site.failedLoadFraction;
      this.#engines[index] = failed
        ? {
          ...engine,
          loading: false,
          serving: null,
          consecutiveFailures: engine.consecutiveFailures + 1,
          earliestOrderMs: this.#nowMs + FAILED_LOAD_DELAY_MS,
        }
        : { ...engine, loading: false, serving: 2, consecutiveFailures: 0 };
    }
  }

  #recordServing(): void {
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
      const fraction = (serving.get(zone) ?? 0) / count;
      this.#lowestServing = Math.min(this.#lowestServing, fraction);
    }
    this.#idleMs += TICK_MS * (1 - total / this.#engines.length);
  }
}
