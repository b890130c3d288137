/**
 * Sends orders to load versions, on the control VM that holds the exclusive right to do so (the hold). A new
 * holder waits until the previous one can no longer act. Each order names the number of orders that its
 * engine has accepted so far, so that an order which arrives late changes nothing.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import {
  type Clock,
  type EventLog,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
  type RoutingConfiguration,
  type ServedVersion,
} from "#core";
import { WEIGHTS_EVENTS } from "./events.ts";
import { assignModels, planLoads, type PlannedLoad } from "./load_plan.ts";
import { VersionLag } from "./version_lag.ts";
import type { HoldReply, VersionsMachine } from "./versions_machine.ts";

const CHECK_INTERVAL_MS: Milliseconds = 100;
const EXPECTED_LOAD_MS: Milliseconds = 950;
const REPORT_INTERVAL_MS: Milliseconds = 250;
const LOAD_CONFIRMATION_TIMEOUT_MS: Milliseconds = 4_000;

/** State that an engine reports on request. */
export interface EngineReport {
  readonly serves: readonly ServedVersion[];
  /** Whether the engine is executing an order. */
  readonly busy: boolean;
  /** Number of orders accepted since the engine started. */
  readonly acceptedOrders: number;
  /** Number of runs that it executes or has queued. */
  readonly runs: number;
  /** Tokens in its cache that it cannot release. */
  readonly usedTokens: number;
}

/** Result of an order to an engine; `unknown` if the call failed, so that the engine may have accepted it. */
export type OrderOutcome =
  | "accepted"
  | "holds_already"
  | "conflict"
  | "stale_fence"
  | "refused"
  | "unknown";

/** An order to an engine to load a version. */
export interface LoadOrder {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
  readonly expectedOrders: number;
}

/** Port for calls to engines; the platform implements it. */
export abstract class OrderPort {
  /** Fetches the state of an engine; returns undefined if the call fails. */
  abstract fetchReport(
    engine: FleetUpstream,
  ): Promise<EngineReport | undefined>;
  /** Sends an order to load a version. */
  abstract sendLoadOrder(
    engine: FleetUpstream,
    order: LoadOrder,
  ): Promise<OrderOutcome>;
}

/** Options of `EngineOrders`. */
export interface EngineOrdersOptions {
  readonly vm: string;
  readonly log: ReplicatedLog;
  readonly machine: VersionsMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly port: OrderPort;
  readonly engines: () => readonly FleetUpstream[];
  readonly configuration: () => RoutingConfiguration | null;
  /** Returns the oldest version that the newest work of each model may use. */
  readonly minimumVersions: () => readonly ServedVersion[];
  /** How long a holder may act after it was last known to be the only holder. */
  readonly holdMs: Milliseconds;
}

interface Hold {
  readonly fence: number;
  readonly effectiveFromMs: Milliseconds;
}

/** Brings engines to the newest published versions while this VM is the leader. */
export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  readonly #lag = new VersionLag();
  readonly #busyEngines = new Set<string>();
  readonly #loadedVersions = new Map<string, Map<string, number>>();
  readonly #orderCounts = new Map<string, number>();
  readonly #assignments = new Map<string, ReadonlyMap<string, string>>();
  #hold: Hold | undefined;
  #acquiringHold = false;
  #stopped = false;

  constructor(options: EngineOrdersOptions) {
    this.#options = options;
  }

  /** Starts the periodic check for engines that lack a version. */
  start(): void {
    this.#options.clock.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Stops sending orders and releases the hold in the replicated log. */
  async stop(): Promise<void> {
    this.#stopped = true;
    const hold = this.#hold;
    this.#hold = undefined;
    if (hold === undefined) return;
    const command = { kind: "release", fence: hold.fence };
    const result = await this.#options.log.propose({
      machine: "versions",
      command,
    });
    if (result.err) {
      this.#options.events.emit(WEIGHTS_EVENTS.holdNotReleased, {
        ...result.val,
      });
    }
  }

  #isLeading(): boolean {
    const { log, clock } = this.#options;
    return !this.#stopped && log.leaseUntilMs() > clock.nowMs();
  }

  #check(): void {
    if (!this.#isLeading()) {
      this.#hold = undefined;
      return;
    }
    if (this.#hold === undefined) {
      this.#acquireHold();
      return;
    }
    if (this.#options.clock.nowMs() < this.#hold.effectiveFromMs) return;
    for (const load of this.#planLoads()) this.#executeLoad(load);
  }

  async #acquireHold(): Promise<void> {
    if (this.#acquiringHold || !this.#hasPlannedLoads()) return;
    this.#acquiringHold = true;
    const { log, vm, clock, holdMs, events } = this.#options;
    const command = { kind: "hold", vm };
    const result = await log.propose({ machine: "versions", command });
    this.#acquiringHold = false;
    if (result.err) return;
    const { fence, mustWait } = result.val as HoldReply;
    this.#orderCounts.clear();
    this.#loadedVersions.clear();
    const effectiveFromMs = clock.nowMs() + (mustWait ? holdMs : 0);
    this.#hold = { fence, effectiveFromMs };
    events.emit(WEIGHTS_EVENTS.holdAcquired, { fence, mustWait });
  }

  #hasPlannedLoads(): boolean {
    return this.#planLoads().length > 0;
  }

  #planLoads(): readonly PlannedLoad[] {
    const {
      configuration,
      engines,
      machine,
      minimumVersions,
    } = this.#options;
    this.#lag.observe(machine.current.versions, minimumVersions());
    const loads: PlannedLoad[] = [];
    for (const service of configuration()?.services ?? []) {
      if (service.engine === null) continue;
      const readyEngines = engines().filter((each) =>
        each.service === service.name && each.phase === "ready"
      );
      const { models } = service.engine;
      const input = {
        engines: readyEngines,
        models,
        newestVersions: machine.current.versions,
        allowedLags: this.#allowedLags(models),
        loadedVersions: this.#loadedVersions,
        busyEngines: this.#busyEngines,
      };
      const previous = this.#assignments.get(service.name) ?? new Map();
      const assigned = assignModels(readyEngines, models, previous);
      this.#assignments.set(service.name, assigned);
      loads.push(...planLoads({ ...input, assigned }));
    }
    return loads;
  }

  #allowedLags(models: readonly string[]): ReadonlyMap<string, number> {
    return new Map(models.map((model) => [model, this.#lag.allowedLag(model)]));
  }

  async #executeLoad(load: PlannedLoad): Promise<void> {
    const key = load.engine.id;
    this.#busyEngines.add(key);
    try {
      await this.#sendOrder(load);
    } finally {
      this.#busyEngines.delete(key);
    }
  }

  async #sendOrder(load: PlannedLoad): Promise<void> {
    const { engine, model, version } = load;
    const { port, clock, events, vm } = this.#options;
    const expectedOrders = await this.#acceptedOrderCount(engine);
    const hold = this.#hold;
    if (expectedOrders === undefined || hold === undefined) {
      await clock.sleep(REPORT_INTERVAL_MS);
      return;
    }
    if (!this.#isLeading()) return;
    const order = {
      model,
      version,
      holder: vm,
      fence: hold.fence,
      expectedOrders,
    };
    const outcome = await port.sendLoadOrder(engine, order);
    events.emit(WEIGHTS_EVENTS.orderSent, {
      engine: engine.id,
      ...order,
      outcome,
    });
    if (outcome === "accepted") {
      this.#orderCounts.set(incarnationOf(engine), expectedOrders + 1);
      await clock.sleep(EXPECTED_LOAD_MS);
      await this.#waitForLoad(load);
      return;
    }
    if (outcome === "holds_already") {
      this.#recordVersions(engine, [{ model, version }]);
      return;
    }
    this.#orderCounts.delete(incarnationOf(engine));
    if (outcome === "stale_fence") this.#hold = undefined;
    await clock.sleep(REPORT_INTERVAL_MS);
  }

  /** Returns the number of orders that an engine has accepted; cached after the first order of this hold. */
  async #acceptedOrderCount(
    engine: FleetUpstream,
  ): Promise<number | undefined> {
    const known = this.#orderCounts.get(incarnationOf(engine));
    if (known !== undefined) return known;
    const report = await this.#options.port.fetchReport(engine);
    if (report === undefined || report.busy) return undefined;
    this.#recordVersions(engine, report.serves);
    return report.acceptedOrders;
  }

  /** Waits until a heartbeat shows the version or the engine reports that it is no longer busy. */
  async #waitForLoad(load: PlannedLoad): Promise<void> {
    const { clock, port } = this.#options;
    const untilMs = clock.nowMs() + LOAD_CONFIRMATION_TIMEOUT_MS;
    while (clock.nowMs() < untilMs && this.#isLeading()) {
      if (this.#isLoadedByHeartbeat(load)) return;
      const report = await port.fetchReport(load.engine);
      if (report !== undefined) {
        this.#recordVersions(load.engine, report.serves);
        if (!report.busy) return;
      }
      await clock.sleep(REPORT_INTERVAL_MS);
    }
    this.#orderCounts.delete(incarnationOf(load.engine));
  }

  #isLoadedByHeartbeat(load: PlannedLoad): boolean {
    const engine = this.#options.engines().find((each) =>
      each.id === load.engine.id
    );
    const served = engine?.serves.find((each) => each.model === load.model);
    return (served?.version ?? 0) >= load.version;
  }

  #recordVersions(
    engine: FleetUpstream,
    serves: readonly ServedVersion[],
  ): void {
    const key = incarnationOf(engine);
    const known = this.#loadedVersions.get(key) ?? new Map<string, number>();
    for (const { model, version } of serves) known.set(model, version);
    this.#loadedVersions.set(key, known);
  }
}
