/**
 * Gives orders to load versions, on the control VM that holds the right to. A new holder waits until the
 * old one can't act any more; each order names the number of orders that its engine has taken, so that one
 * that is carried out late changes nothing.
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

const CHECK_MS: Milliseconds = 100;
const LOAD_MS: Milliseconds = 950;
const REPORT_PAUSE_MS: Milliseconds = 250;
const LOST_ORDER_MS: Milliseconds = 4_000;

/** What an engine tells of itself when asked. */
export interface EngineReport {
  readonly serves: readonly ServedVersion[];
  /** Whether it carries out an order. */
  readonly busy: boolean;
  /** Orders taken since its start. */
  readonly acceptedOrders: number;
}

/** How an engine took an order. */
export type OrderOutcome =
  | "accepted"
  | "holds_already"
  | "conflict"
  | "stale_fence"
  | "refused"
  | "unknown";

/** An order to load a version. */
export interface LoadOrder {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
  readonly expectedOrders: number;
}

/** Calls engines; implemented by the platform. */
export abstract class OrderPort {
  /** Asks an engine for its state; undefined if it can't be had. */
  abstract fetchReport(
    engine: FleetUpstream,
  ): Promise<EngineReport | undefined>;
  /** Gives an order. */
  abstract sendLoadOrder(
    engine: FleetUpstream,
    order: LoadOrder,
  ): Promise<OrderOutcome>;
}

/** What the orders are given with. */
export interface EngineOrdersOptions {
  readonly vm: string;
  readonly log: ReplicatedLog;
  readonly machine: VersionsMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly port: OrderPort;
  readonly engines: () => readonly FleetUpstream[];
  readonly configuration: () => RoutingConfiguration | null;
  /** The oldest version that the newest work of each model may use. */
  readonly minimumVersions: () => readonly ServedVersion[];
  /** How long a holder may act after it was last known to be the only one. */
  readonly holdMs: Milliseconds;
}

interface Hold {
  readonly fence: number;
  readonly fromMs: Milliseconds;
}

/** Brings engines to the named versions while this VM leads. */
export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  readonly #lag = new VersionLag();
  readonly #busy = new Set<string>();
  readonly #loaded = new Map<string, Map<string, number>>();
  readonly #orders = new Map<string, number>();
  readonly #assigned = new Map<string, ReadonlyMap<string, string>>();
  #hold: Hold | undefined;
  #taking = false;
  #stopped = false;

  constructor(options: EngineOrdersOptions) {
    this.#options = options;
  }

  /** Starts to look for engines that lack a version. */
  start(): void {
    this.#options.clock.every(CHECK_MS, () => this.#check());
  }

  /** Gives no more orders and says so in the log. */
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

  #leads(): boolean {
    const { log, clock } = this.#options;
    return !this.#stopped && log.leaseUntilMs() > clock.nowMs();
  }

  #check(): void {
    if (!this.#leads()) {
      this.#hold = undefined;
      return;
    }
    if (this.#hold === undefined) {
      this.#take();
      return;
    }
    if (this.#options.clock.nowMs() < this.#hold.fromMs) return;
    for (const load of this.#plan()) this.#carryOut(load);
  }

  async #take(): Promise<void> {
    if (this.#taking || !this.#isNeeded()) return;
    this.#taking = true;
    const { log, vm, clock, holdMs, events } = this.#options;
    const command = { kind: "hold", vm };
    const result = await log.propose({ machine: "versions", command });
    this.#taking = false;
    if (result.err) return;
    const { fence, mustWait } = result.val as HoldReply;
    this.#orders.clear();
    this.#loaded.clear();
    const fromMs = clock.nowMs() + (mustWait ? holdMs : 0);
    this.#hold = { fence, fromMs };
    events.emit(WEIGHTS_EVENTS.holdAcquired, { fence, mustWait });
  }

  #isNeeded(): boolean {
    return this.#plan().length > 0;
  }

  #plan(): readonly PlannedLoad[] {
    const { configuration, engines, machine, minimumVersions: asked } =
      this.#options;
    this.#lag.observe(machine.current.versions, asked());
    const loads: PlannedLoad[] = [];
    for (const service of configuration()?.services ?? []) {
      if (service.engine === null) continue;
      const own = engines().filter((each) =>
        each.service === service.name && each.phase === "ready"
      );
      const { models } = service.engine;
      const input = {
        engines: own,
        models,
        named: machine.current.versions,
        lags: this.#lags(models),
        loaded: this.#loaded,
        busy: this.#busy,
      };
      const before = this.#assigned.get(service.name) ?? new Map();
      const assigned = assignModels(own, models, before);
      this.#assigned.set(service.name, assigned);
      loads.push(...planLoads({ ...input, assigned }));
    }
    return loads;
  }

  #lags(models: readonly string[]): ReadonlyMap<string, number> {
    return new Map(models.map((model) => [model, this.#lag.of(model)]));
  }

  async #carryOut(load: PlannedLoad): Promise<void> {
    const key = load.engine.id;
    this.#busy.add(key);
    try {
      await this.#give(load);
    } finally {
      this.#busy.delete(key);
    }
  }

  async #give(load: PlannedLoad): Promise<void> {
    const { engine, model, version } = load;
    const { port, clock, events, vm } = this.#options;
    const expectedOrders = await this.#ordersTaken(engine);
    const hold = this.#hold;
    if (expectedOrders === undefined || hold === undefined) {
      await clock.sleep(REPORT_PAUSE_MS);
      return;
    }
    if (!this.#leads()) return;
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
      this.#orders.set(incarnationOf(engine), expectedOrders + 1);
      await clock.sleep(LOAD_MS);
      await this.#awaitLoad(load);
      return;
    }
    if (outcome === "holds_already") {
      this.#note(engine, [{ model, version }]);
      return;
    }
    this.#orders.delete(incarnationOf(engine));
    if (outcome === "stale_fence") this.#hold = undefined;
    await clock.sleep(REPORT_PAUSE_MS);
  }

  /** Orders that an engine has taken; known after the first order of this hold. */
  async #ordersTaken(engine: FleetUpstream): Promise<number | undefined> {
    const known = this.#orders.get(incarnationOf(engine));
    if (known !== undefined) return known;
    const report = await this.#options.port.fetchReport(engine);
    if (report === undefined || report.busy) return undefined;
    this.#note(engine, report.serves);
    return report.acceptedOrders;
  }

  /** Waits until the version is there, told by a heartbeat or else by the engine itself. */
  async #awaitLoad(load: PlannedLoad): Promise<void> {
    const { clock, port } = this.#options;
    const untilMs = clock.nowMs() + LOST_ORDER_MS;
    while (clock.nowMs() < untilMs && this.#leads()) {
      if (this.#hasByHeartbeat(load)) return;
      const report = await port.fetchReport(load.engine);
      if (report !== undefined) {
        this.#note(load.engine, report.serves);
        if (!report.busy) return;
      }
      await clock.sleep(REPORT_PAUSE_MS);
    }
    this.#orders.delete(incarnationOf(load.engine));
  }

  #hasByHeartbeat(load: PlannedLoad): boolean {
    const engine = this.#options.engines().find((each) =>
      each.id === load.engine.id
    );
    const served = engine?.serves.find((each) => each.model === load.model);
    return (served?.version ?? 0) >= load.version;
  }

  #note(engine: FleetUpstream, serves: readonly ServedVersion[]): void {
    const key = incarnationOf(engine);
    const known = this.#loaded.get(key) ?? new Map<string, number>();
    for (const { model, version } of serves) known.set(model, version);
    this.#loaded.set(key, known);
  }
}
