/**
 * Decides which engine is to load which version next. Models share the engines of their service so that no
 * engine need load every version of every model.
 *
 * @module
 */
import { type FleetUpstream, incarnationOf, type ServedVersion } from "#core";

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
  /** Versions that new work of a model may be behind; 0 where it isn't known. */
  readonly lags: ReadonlyMap<string, number>;
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

/** The models that an engine serves: its own, and as many more as it has versions of time to load. */
export function modelsOf(
  engine: FleetUpstream,
  input: Pick<LoadPlanInput, "models" | "lags"> & {
    readonly assigned: ReadonlyMap<string, string>;
  },
): readonly string[] {
  const { models, assigned, lags } = input;
  const own = models.indexOf(assigned.get(engine.id) ?? "");
  if (own < 0) return [];
  const turns = models.map((model) => (lags.get(model) ?? 0) + 1);
  const held = Math.min(models.length, ...turns);
  return Array.from(
    { length: held },
    (_, at) => models[(own + at) % models.length] ?? "",
  );
}

/**
 * Loads to begin now. Where work may be some versions behind, only a part of a model's engines load each
 * version, so that the others take work meanwhile; an engine that is too far behind for new work always
 * loads. The model with the fewest engines for new work goes first.
 */
export function planLoads(
  input: LoadPlanInput & { readonly assigned: ReadonlyMap<string, string> },
): readonly PlannedLoad[] {
  const wanted: { load: PlannedLoad; usable: number }[] = [];
  for (const named of input.named) {
    if (!input.models.includes(named.model)) continue;
    const plan = loadsOfModel(named, input);
    for (const load of plan.loads) wanted.push({ load, usable: plan.usable });
  }
  wanted.sort((a, b) => a.usable - b.usable);
  const most = Math.max(1, Math.ceil(input.engines.length * LOADING_SHARE));
  const taken = new Set(
    input.engines.map((each) => each.id).filter((id) => input.busy.has(id)),
  );
  const loads: PlannedLoad[] = [];
  for (const { load } of wanted) {
    if (taken.size >= most) break;
    if (taken.has(load.engine.id)) continue;
    taken.add(load.engine.id);
    loads.push(load);
  }
  return loads;
}

/** Loads that one model needs, and the part of its engines that take new work. */
function loadsOfModel(
  named: ServedVersion,
  input: LoadPlanInput & { readonly assigned: ReadonlyMap<string, string> },
): { readonly loads: readonly PlannedLoad[]; readonly usable: number } {
  const lag = input.lags.get(named.model) ?? 0;
  const engines = input.engines.filter((engine) =>
    modelsOf(engine, input).includes(named.model)
  );
  const behind: { engine: FleetUpstream; has: number }[] = [];
  for (const engine of engines) {
    const has = versionOn(engine, named.model, input.loaded);
    if (has < named.version) behind.push({ engine, has });
  }
  behind.sort((a, b) => a.has - b.has);
  const current = engines.length - behind.length;
  const share = Math.ceil(engines.length / (lag + 1)) - current;
  const loads: PlannedLoad[] = [];
  let usable = engines.length;
  for (const { engine, has } of behind) {
    const tooOld = has < named.version - lag;
    if (tooOld) usable -= 1;
    if (!tooOld && loads.length >= share) continue;
    loads.push({ engine, model: named.model, version: named.version });
  }
  return { loads, usable: usable / Math.max(1, engines.length) };
}
