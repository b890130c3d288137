/**
 * Plans which engine loads which version next. The models of a service are spread over its engines, so that
 * no engine has to load every version of every model.
 *
 * @module
 */
import { type FleetUpstream, incarnationOf, type ServedVersion } from "#core";

/** Fraction of a service's engines that may load at the same time. */
const MAXIMUM_LOADING_FRACTION = 0.25;

/** Input of the load plan of one service. */
export interface LoadPlanInput {
  /** Engines of the service that accept work. */
  readonly engines: readonly FleetUpstream[];
  /** Models of the service, in configuration order. */
  readonly models: readonly string[];
  /** Newest version of each model. */
  readonly newestVersions: readonly ServedVersion[];
  /** Number of versions by which new work of a model may be behind; 0 if unknown. */
  readonly allowedLags: ReadonlyMap<string, number>;
  /** Versions by engine incarnation and model, from reports and order results; may be newer than heartbeats. */
  readonly loadedVersions: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Engines that are executing an order, or whose last order has no known result. */
  readonly busyEngines: ReadonlySet<string>;
}

/** A planned load of one version on one engine. */
export interface PlannedLoad {
  readonly engine: FleetUpstream;
  readonly model: string;
  readonly version: number;
}

/** Returns the newest version of a model that an engine is known to have, or 0 if none is known. */
export function versionOnEngine(
  engine: FleetUpstream,
  model: string,
  loaded: LoadPlanInput["loadedVersions"],
): number {
  const announced =
    engine.serves.find((each) => each.model === model)?.version ??
      0;
  return Math.max(
    announced,
    loaded.get(incarnationOf(engine))?.get(model) ?? 0,
  );
}

/**
 * Assigns a model to each engine. Engines keep their model, and a new engine gets the model with the fewest
 * engines. One engine per call moves to that model if its own model has at least two engines more.
 */
export function assignModels(
  engines: readonly FleetUpstream[],
  models: readonly string[],
  previous: ReadonlyMap<string, string>,
): ReadonlyMap<string, string> {
  const assigned = new Map<string, string>();
  const counts = new Map(models.map((model) => [model, 0]));
  const unassigned: FleetUpstream[] = [];
  for (const engine of [...engines].sort(compareByZone)) {
    const previousModel = previous.get(engine.id);
    const count = previousModel === undefined
      ? undefined
      : counts.get(previousModel);
    if (previousModel === undefined || count === undefined) {
      unassigned.push(engine);
      continue;
    }
    assigned.set(engine.id, previousModel);
    counts.set(previousModel, count + 1);
  }
  for (const engine of unassigned) {
    const model = modelWithFewestEngines(counts);
    if (model === undefined) break;
    assigned.set(engine.id, model);
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  reassignOneEngine(assigned, counts);
  return assigned;
}

function compareByZone(a: FleetUpstream, b: FleetUpstream): number {
  if (a.zone !== b.zone) return a.zone < b.zone ? -1 : 1;
  return a.id < b.id ? -1 : 1;
}

function modelWithFewestEngines(
  counts: ReadonlyMap<string, number>,
): string | undefined {
  let best: string | undefined;
  for (const [model, count] of counts) {
    if (best === undefined || count < (counts.get(best) ?? 0)) best = model;
  }
  return best;
}

function reassignOneEngine(
  assigned: Map<string, string>,
  counts: Map<string, number>,
): void {
  const least = modelWithFewestEngines(counts);
  if (least === undefined) return;
  const leastCount = counts.get(least) ?? 0;
  for (const [engine, model] of assigned) {
    if ((counts.get(model) ?? 0) < leastCount + 2) continue;
    assigned.set(engine, least);
    return;
  }
}

/**
 * Returns the models that an engine serves: its assigned one, and as many more as it has time to load, given
 * how many versions new work may be behind.
 */
export function modelsOnEngine(
  engine: FleetUpstream,
  input: Pick<LoadPlanInput, "models" | "allowedLags"> & {
    readonly assigned: ReadonlyMap<string, string>;
  },
): readonly string[] {
  const { models, assigned, allowedLags } = input;
  const ownIndex = models.indexOf(assigned.get(engine.id) ?? "");
  if (ownIndex < 0) return [];
  const versionsPerLoad = models.map((model) =>
    (allowedLags.get(model) ?? 0) + 1
  );
  const modelCount = Math.min(models.length, ...versionsPerLoad);
  return Array.from(
    { length: modelCount },
    (_, at) => models[(ownIndex + at) % models.length] ?? "",
  );
}

/**
 * Returns the loads to start now. Where work may be some versions behind, only some of a model's engines
 * load each version, so that the others accept work meanwhile; an engine that is too far behind for new work
 * always loads. The model with the smallest fraction of engines usable for new work goes first.
 */
export function planLoads(
  input: LoadPlanInput & { readonly assigned: ReadonlyMap<string, string> },
): readonly PlannedLoad[] {
  const planned: { load: PlannedLoad; usable: number }[] = [];
  for (const named of input.newestVersions) {
    if (!input.models.includes(named.model)) continue;
    const plan = planModelLoads(named, input);
    for (const load of plan.loads) planned.push({ load, usable: plan.usable });
  }
  planned.sort((a, b) => a.usable - b.usable);
  const maximumLoading = Math.max(
    1,
    Math.ceil(input.engines.length * MAXIMUM_LOADING_FRACTION),
  );
  const occupied = new Set(
    input.engines.map((each) => each.id).filter((id) =>
      input.busyEngines.has(id)
    ),
  );
  const loads: PlannedLoad[] = [];
  for (const { load } of planned) {
    if (occupied.size >= maximumLoading) break;
    if (occupied.has(load.engine.id)) continue;
    occupied.add(load.engine.id);
    loads.push(load);
  }
  return loads;
}

/** Returns the loads that one model needs, and the fraction of its engines that new work can use. */
function planModelLoads(
  named: ServedVersion,
  input: LoadPlanInput & { readonly assigned: ReadonlyMap<string, string> },
): { readonly loads: readonly PlannedLoad[]; readonly usable: number } {
  const lag = input.allowedLags.get(named.model) ?? 0;
  const engines = input.engines.filter((engine) =>
    modelsOnEngine(engine, input).includes(named.model)
  );
  const behind: { engine: FleetUpstream; has: number }[] = [];
  for (const engine of engines) {
    const has = versionOnEngine(engine, named.model, input.loadedVersions);
    if (has < named.version) behind.push({ engine, has });
  }
  behind.sort((a, b) => a.has - b.has);
  const currentCount = engines.length - behind.length;
  const neededLoads = Math.ceil(engines.length / (lag + 1)) - currentCount;
  const loads: PlannedLoad[] = [];
  let usable = engines.length;
  for (const { engine, has } of behind) {
    const isTooOld = has < named.version - lag;
    if (isTooOld) usable -= 1;
    if (!isTooOld && loads.length >= neededLoads) continue;
    loads.push({ engine, model: named.model, version: named.version });
  }
  return { loads, usable: usable / Math.max(1, engines.length) };
}
