/**
 * The part of a control VM that orders upstreams while it leads the control log and holds the duty to do so. Each order
 * is stored before it is sent, and its outcome after.
 *
 * @module
 */
import {
  type Clock,
  type ControlPort,
  type EventLog,
  type FleetNode,
  type FleetUpstream,
  type Milliseconds,
  type RouteRule,
  type RoutingConfiguration,
  type ScalingRule,
  SECOND_MS,
  type ServiceRule,
  type Timer,
} from "#core";
import type { UpstreamOrder } from "#duties";
import { leaderOf, type Leadership, type ObservedNode } from "#membership";
import { SCALING_EVENTS } from "./events.ts";
import {
  type ScalingCommand,
  type ScalingMachine,
  type ServiceCounts,
  subjectOf,
} from "./scaling_machine.ts";
import { type ScalingDecision, ScalingPlan } from "./scaling_plan.ts";
import { type FleetObservation, ServiceObserver } from "./service_observer.ts";
import { subjectKey, type UpstreamOrderPort } from "./upstream_order_port.ts";

const CHECK_INTERVAL_MS: Milliseconds = SECOND_MS;
/** Age up to which a VM proves that its zone is not partitioned. */
const MAXIMUM_VM_AGE_MS: Milliseconds = 2_500;
/** Age up to which the load of batches counts; the leading store VM reports it every two seconds or more often. */
const MAXIMUM_LOAD_AGE_MS: Milliseconds = 5 * SECOND_MS;
const FIRST_BACKOFF_MS: Milliseconds = SECOND_MS;
const MAXIMUM_BACKOFF_MS: Milliseconds = 8 * SECOND_MS;

/** Options of `Autoscaler`. */
export interface AutoscalerOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** The control log of this VM. */
  readonly log: ControlPort;
  readonly machine: ScalingMachine;
  readonly leadership: () => Leadership;
  readonly port: UpstreamOrderPort;
  /** Returns the upstreams whose heartbeats arrive. */
  readonly upstreams: () => readonly FleetUpstream[];
  /** Returns the control and store VMs. */
  readonly nodes: () => readonly ObservedNode[];
  readonly configuration: () => RoutingConfiguration | null;
}

interface Backoff {
  readonly untilMs: Milliseconds;
  readonly delayMs: Milliseconds;
}

/**
 * Keeps the number of upstreams of the services that have a rule for it.
 *
 * @example
 * ```ts
 * const autoscaler = new Autoscaler({ ...base, log, machine, port, leadership, upstreams, nodes, configuration });
 * autoscaler.start();
 * ```
 */
export class Autoscaler {
  readonly #options: AutoscalerOptions;
  readonly #observers = new Map<string, ServiceObserver>();
  /** Keys of the subjects and names of the services for which a command or an order is in progress. */
  readonly #busy = new Set<string>();
  readonly #backoffs = new Map<string, Backoff>();
  /** Services for which the log says that upstreams can't be ordered. */
  readonly #withoutRoom = new Set<string>();
  #term: number | null = null;
  #ticks: Timer | undefined;

  constructor(options: AutoscalerOptions) {
    this.#options = options;
  }

  /** Starts to check once a second. */
  start(): void {
    const { clock } = this.#options;
    this.#ticks = clock.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Sends no further orders. */
  stop(): void {
    this.#ticks?.cancel();
  }

  #check(): void {
    const { leadership, configuration } = this.#options;
    const { leads, term } = leadership();
    // The lease of a busy leader may lapse for a moment; nobody else leads in its term.
    if (!leads) return;
    if (term !== this.#term) this.#startTerm(term);
    const rules = configuration();
    if (rules === null) return;
    const fleet = this.#observeFleet(rules);
    for (const rule of rules.services) {
      const { scaling } = rule;
      if (scaling !== undefined) this.#checkService(rule, { scaling, fleet });
    }
  }

  /** What an earlier term has observed may be old. */
  #startTerm(term: number): void {
    this.#term = term;
    this.#observers.clear();
    this.#backoffs.clear();
    this.#withoutRoom.clear();
  }

  #observeFleet({ routes }: RoutingConfiguration): FleetObservation {
    const { nodes, upstreams } = this.#options;
    const observed = nodes();
    const nodesUpTo = (maximumMs: Milliseconds): readonly FleetNode[] =>
      observed.filter(({ ageMs }) => ageMs <= maximumMs)
        .map(({ node }) => node);
    const listed = upstreams();
    return {
      upstreams: groupByService(listed),
      reportingZones: new Set(listed.map(({ zone }) => zone)),
      vmZones: new Set(nodesUpTo(MAXIMUM_VM_AGE_MS).map(({ zone }) => zone)),
      load: leaderOf(nodesUpTo(MAXIMUM_LOAD_AGE_MS), "store")?.load,
      batchServices: findBatchServices(routes),
    };
  }

  #checkService(
    rule: ServiceRule,
    seen: { readonly scaling: ScalingRule; readonly fleet: FleetObservation },
  ): void {
    const { clock, machine, port } = this.#options;
    const nowMs = clock.nowMs();
    const observer = this.#observerOf(rule.name, nowMs);
    const known = machine.find(rule.name);
    if (known === undefined) {
      const counts = observer.baseline(rule, seen.fleet, nowMs);
      if (counts !== undefined && port.mayOrder()) {
        void this.#storeBaseline(rule.name, counts);
      }
      return;
    }
    const snapshot = observer.observe(known, { rule, ...seen }, nowMs);
    if (!port.mayOrder()) return;
    this.#execute(known, new ScalingPlan(snapshot).decide());
  }

  #observerOf(service: string, nowMs: Milliseconds): ServiceObserver {
    const known = this.#observers.get(service);
    if (known !== undefined) return known;
    const observer = new ServiceObserver(nowMs);
    this.#observers.set(service, observer);
    return observer;
  }

  #execute(known: ServiceCounts, decision: ScalingDecision): void {
    const { service } = known;
    if (decision.kind === "counts") {
      void this.#storeCounts(service, decision);
      return;
    }
    if (decision.kind === "target") {
      void this.#storeTarget(service, decision);
      return;
    }
    this.#reportRoom(service, decision.unplaced);
    for (const order of decision.orders) void this.#send(known, order);
  }

  #reportRoom(service: string, unplaced: number): void {
    if (unplaced === 0) this.#withoutRoom.delete(service);
    if (unplaced === 0 || this.#withoutRoom.has(service)) return;
    this.#withoutRoom.add(service);
    this.#options.events.emit(SCALING_EVENTS.noRoom, {
      service,
      lacking: unplaced,
    });
  }

  async #storeBaseline(
    service: string,
    counted: readonly {
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }[],
  ): Promise<void> {
    const counts = counted.map(({ zone, spot, count }) => ({
      zone,
      spot,
      count,
    }));
    const command = { kind: "baseline" as const, service, counts };
    if (!await this.#store(command)) return;
    const event = SCALING_EVENTS.baselineRecorded;
    this.#options.events.emit(event, { service, counts });
  }

  async #storeCounts(
    service: string,
    { changes }: Extract<ScalingDecision, { kind: "counts" }>,
  ): Promise<void> {
    const command = {
      kind: "counts" as const,
      service,
      changes: [...changes],
    };
    if (!await this.#store(command)) return;
    const event = SCALING_EVENTS.countsChanged;
    this.#options.events.emit(event, { service, counts: changes });
  }

  async #storeTarget(
    service: string,
    { from, target }: Extract<ScalingDecision, { kind: "target" }>,
  ): Promise<void> {
    const command = { kind: "target" as const, service, from, target };
    if (!await this.#store(command)) return;
    const { clock, events } = this.#options;
    const kind = target < from ? "removal" : "target";
    this.#observers.get(service)?.recordChange(kind, clock.nowMs());
    events.emit(SCALING_EVENTS.targetChanged, { service, from, target });
  }

  /** Stores a command of a service unless one is in progress; returns whether it was applied. */
  async #store(command: ScalingCommand): Promise<boolean> {
    const { service } = command;
    if (this.#busy.has(service)) return false;
    this.#busy.add(service);
    const isStored = await this.#propose(command);
    this.#busy.delete(service);
    return isStored;
  }

  async #propose(command: ScalingCommand): Promise<boolean> {
    const { log } = this.#options;
    return (await log.propose({ machine: "scaling", command })).ok;
  }

  /** Sends an order unless the subject has one in progress, or one failed just now. */
  async #send(known: ServiceCounts, order: UpstreamOrder): Promise<void> {
    const key = subjectKey(order);
    if (this.#busy.has(key)) return;
    const { clock } = this.#options;
    if (clock.nowMs() < (this.#backoffs.get(key)?.untilMs ?? 0)) return;
    this.#busy.add(key);
    await this.#storeAndSend(order, {
      isRemoval: order.count < subjectOf(known, order).count,
    });
    this.#busy.delete(key);
  }

  /** Stores an order, sends it and stores its outcome. */
  async #storeAndSend(
    order: UpstreamOrder,
    { isRemoval }: { readonly isRemoval: boolean },
  ): Promise<void> {
    const { clock, events, port } = this.#options;
    if (!await this.#propose({ kind: "send", ...order })) return;
    if (!port.mayOrder()) return;
    const outcome = await port.order(order);
    events.emit(SCALING_EVENTS.orderSent, { ...order, outcome });
    const nowMs = clock.nowMs();
    const observer = this.#observers.get(order.service);
    observer?.recordOutcome(order, outcome, nowMs);
    this.#updateBackoff(subjectKey(order), outcome === "unknown");
    // If this fails, the order stays stored as sent and is sent again with the same content.
    if (outcome === "unavailable") {
      await this.#propose({ kind: "refused", ...order });
    }
    if (outcome !== "accepted") return;
    if (isRemoval) observer?.recordChange("removal", nowMs);
    await this.#propose({ kind: "accepted", ...order });
  }

  #updateBackoff(key: string, failed: boolean): void {
    if (!failed) {
      this.#backoffs.delete(key);
      return;
    }
    const before = this.#backoffs.get(key)?.delayMs ?? 0;
    const delayMs = Math.min(
      MAXIMUM_BACKOFF_MS,
      Math.max(FIRST_BACKOFF_MS, 2 * before),
    );
    const untilMs = this.#options.clock.nowMs() + delayMs;
    this.#backoffs.set(key, { untilMs, delayMs });
  }
}

/** Returns the services that only routes of batches name. The load of other calls is known to the entry VMs only. */
function findBatchServices(routes: readonly RouteRule[]): ReadonlySet<string> {
  const found = new Set<string>();
  const others = new Set<string>();
  for (const { kind, split } of routes) {
    for (const { service } of split) {
      (kind === "batch" ? found : others).add(service);
    }
  }
  for (const service of others) found.delete(service);
  return found;
}

function groupByService(
  upstreams: readonly FleetUpstream[],
): ReadonlyMap<string, readonly FleetUpstream[]> {
  const groups = new Map<string, FleetUpstream[]>();
  for (const each of upstreams) {
    const group = groups.get(each.service) ?? [];
    group.push(each);
    groups.set(each.service, group);
  }
  return groups;
}
