/**
 * Decides which engine is to load which version next. Models share the engines of their service: each has
 * its own part of them, so that no engine need load every version of every model.
 *
 * @module
 */
import type { FleetUpstream, ServedVersion } from "#core";

/** Part of a service's engines that may load at once. */
const LOADING_SHARE = 0.25;

/** What the plan is made from. */
export interface LoadPlanInput {
  /** Engines of one service that take work. */
  readonly engines: readonly FleetUpstream[];
  /** Models of the service, in the order of the configuration. */
  readonly models: readonly string[];
  /** Newest version of each model. */
  readonly named: readonly ServedVersion[];
  /** Versions that engines have by a newer account than their heartbeats. */
  readonly loaded: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Engines that carry out an order, or whose last order is not accounted for. */
  readonly busy: ReadonlySet<string>;
}

/** One load. */
export interface PlannedLoad {
  readonly engine: FleetUpstream;
  readonly model: string;
  readonly version: number;
}

/** Names one life of an engine. */
export function incarnationOf(engine: FleetUpstream): string {
  return `${engine.id}:${engine.bornMs}`;
}

/** The version of a model that an engine has, as far as is known; 0 if it has none. */
export function versionOn(
  engine: FleetUpstream,
  model: string,
  loaded: LoadPlanInput["loaded"],
): number {
  const told = engine.serves.find((each) => each.model === model)?.version ??
    0;
  return Math.max(told, loaded.get(incarnationOf(engine))?.get(model) ?? 0);
}

/**
 * The model that each engine is meant for. Engines keep theirs; a new one gets the model that has the
 * fewest, and one engine changes over when another model has two more than its own.
 */
export function assignModels(
  engines: readonly FleetUpstream[],
  models: readonly string[],
  before: ReadonlyMap<string, string>,
): ReadonlyMap<string, string> {
  const assigned = new Map<string, string>();
  const counts = new Map(models.map((model) => [model, 0]));
  const fresh: FleetUpstream[] = [];
  for (const engine of [...engines].sort(byZone)) {
    const kept = before.get(engine.id);
    const count = kept === undefined ? undefined : counts.get(kept);
    if (kept === undefined || count === undefined) {
      fresh.push(engine);
      continue;
    }
    assigned.set(engine.id, kept);
    counts.set(kept, count + 1);
  }
  for (const engine of fresh) {
    const model = fewest(counts);
    if (model === undefined) break;
    assigned.set(engine.id, model);
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  changeOver(assigned, counts);
  return assigned;
}

function byZone(a: FleetUpstream, b: FleetUpstream): number {
  if (a.zone !== b.zone) return a.zone < b.zone ? -1 : 1;
  return a.id < b.id ? -1 : 1;
}

function fewest(counts: ReadonlyMap<string, number>): string | undefined {
  let best: string | undefined;
  for (const [model, count] of counts) {
    if (best === undefined || count < (counts.get(best) ?? 0)) best = model;
  }
  return best;
}

function changeOver(
  assigned: Map<string, string>,
  counts: Map<string, number>,
): void {
  const least = fewest(counts);
  if (least === undefined) return;
  const leastCount = counts.get(least) ?? 0;
  for (const [engine, model] of assigned) {
    if ((counts.get(model) ?? 0) < leastCount + 2) continue;
    assigned.set(engine, least);
    return;
  }
}

/** Loads to begin now, the model that lags most first. */
export function planLoads(
  input: LoadPlanInput & { readonly assigned: ReadonlyMap<string, string> },
): readonly PlannedLoad[] {
  const most = Math.max(1, Math.ceil(input.engines.length * LOADING_SHARE));
  const loading = input.engines.filter((each) => input.busy.has(each.id));
  const wanted: { load: PlannedLoad; behind: number }[] = [];
  for (const engine of input.engines) {
    if (input.busy.has(engine.id)) continue;
    const model = input.assigned.get(engine.id);
    const named = input.named.find((each) => each.model === model);
    if (named === undefined) continue;
    const has = versionOn(engine, named.model, input.loaded);
    if (has >= named.version) continue;
    const load = { engine, model: named.model, version: named.version };
    wanted.push({ load, behind: named.version - has });
  }
  wanted.sort((a, b) => b.behind - a.behind);
  const free = Math.max(0, most - loading.length);
  return wanted.slice(0, free).map((each) => each.load);
}
