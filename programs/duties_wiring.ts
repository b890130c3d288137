/**
 * Connects the counts of calls of entry VMs, and the duties that only one control VM performs.
 *
 * @module
 */
import { type AnyStateMachine, type RoutingConfiguration } from "#core";
import {
  ActiveTenants,
  DutiesMachine,
  DutyHolder,
  type DutyPort,
  UsageCollector,
  UsageCounter,
  usageMetrics,
  UsageReporter,
  UsageSchedule,
  WindowClock,
} from "#duties";
import {
  type ControlPart,
  type ControlReplica,
  type FleetFollower,
  leaderOf,
} from "#membership";
import {
  DutyApiClient,
  type DutyApiSettings,
  scalingApiOf,
  usageApiOf,
} from "#platform";
import { Autoscaler, ScalingMachine } from "#scaling";
import type { TenantDemandMessage } from "#tenants";
import { HeldOrderPort } from "./held_order_port.ts";
import type { NodeBase } from "./node_base.ts";

/** Keeps the name of a process short, as it is part of each acknowledgement. */
const EPOCH_RADIX = 36;

/** Returns what counts the calls of an entry VM; undefined if the deployment reports no usage. */
export function buildUsageCounter(
  base: NodeBase,
  follower: FleetFollower,
): UsageCounter | undefined {
  const api = usageApiOf(base.settings);
  if (api === null) return undefined;
  const tenants = new ActiveTenants(() => follower.configuration);
  return new UsageCounter({
    ...base,
    schedule: scheduleOf(api),
    windowClock: buildWindowClock(base),
    voters: () => follower.controlVoters(),
    leader: () => leaderOf(follower.nodes, "control")?.vm,
    tenants: () => tenants.list(),
  });
}

/** What a duty needs: the right to call, and the way to the API. */
interface DutyTools {
  readonly holder: DutyHolder;
  readonly port: DutyPort;
}

/** The duties of a control VM. */
export class ControlDuties {
  // The machines are part of the control log whether or not this VM performs duties.
  readonly #machine = new DutiesMachine();
  readonly #scalingMachine = new ScalingMachine();
  /** Undefined if the settings name no API. */
  #tools: DutyTools | undefined;
  #collector: UsageCollector | undefined;
  #reporter: UsageReporter | undefined;
  #autoscaler: Autoscaler | undefined;

  /** Builds what the settings ask for, once the replica exists. */
  connect(base: NodeBase, replica: ControlReplica): void {
    const { settings, clock } = base;
    if (settings.dutyApi === null) return;
    const leaseMs = settings.orderLeaseMs;
    const holder = new DutyHolder({
      ...base,
      machine: this.#machine,
      log: replica.log,
      nodeName: settings.name,
      leaseMs,
      isNeeded: () =>
        this.#reporter?.isNeeded() === true ||
        (this.#autoscaler !== undefined && hasScaling(rulesOf(replica))),
    });
    const { address } = settings.dutyApi;
    const port = new DutyApiClient({ address, clock, leaseMs });
    this.#tools = { holder, port };
    this.#connectAutoscaler(base, replica, this.#tools);
    const api = usageApiOf(settings);
    if (api !== null) this.#connectUsage(base, replica, { api, holder, port });
  }

  #connectUsage(
    base: NodeBase,
    replica: ControlReplica,
    { api, holder, port }: DutyTools & { readonly api: DutyApiSettings },
  ): void {
    const { log } = replica;
    const usage = {
      ...base,
      machine: this.#machine,
      schedule: scheduleOf(api),
      windowClock: buildWindowClock(base),
      metrics: usageMetrics(base.metrics),
    };
    const tenants = new ActiveTenants(() => rulesOf(replica));
    const collector = new UsageCollector({
      ...usage,
      tenants: () => tenants.list(),
      leader: () => log.status().leader ?? undefined,
      epoch: base.startedMs.toString(EPOCH_RADIX),
      isHolder: () => holder.authority() !== null,
    });
    this.#collector = collector;
    this.#reporter = new UsageReporter({
      ...usage,
      log,
      holder,
      collector,
      port,
      hasTenants: () => rulesOf(replica)?.tenants !== undefined,
    });
  }

  /** Returns the state machines of the log. */
  machines(): readonly AnyStateMachine[] {
    const machines = [this.#machine, this.#scalingMachine];
    return machines as readonly AnyStateMachine[];
  }

  /** Returns what handles requests of other VMs. */
  parts(): readonly ControlPart[] {
    return this.#collector === undefined ? [] : [this.#collector];
  }

  /** Returns the demand of tenants over all entry VMs; undefined if this VM knows of no calls. */
  tenantDemand(): TenantDemandMessage | undefined {
    return this.#collector?.demand();
  }

  /** Starts to perform duties whenever this VM leads. */
  start(): void {
    this.#tools?.holder.start();
    this.#reporter?.start();
    this.#autoscaler?.start();
  }

  /** Ends the duties; resolves when the call in progress has ended. */
  async stop(): Promise<void> {
    this.#autoscaler?.stop();
    this.#tools?.holder.stop();
    await this.#reporter?.stop();
  }

  #connectAutoscaler(
    base: NodeBase,
    replica: ControlReplica,
    { holder, port }: DutyTools,
  ): void {
    const api = scalingApiOf(base.settings);
    if (api === null) return;
    const { checksFences } = api;
    this.#autoscaler = new Autoscaler({
      ...base,
      log: replica.log,
      machine: this.#scalingMachine,
      leadership: () => replica.leadership(),
      port: new HeldOrderPort({ holder, port, checksFences }),
      upstreams: () => replica.fleet.upstreams(),
      nodes: () => replica.fleet.nodes(),
      configuration: () => rulesOf(replica),
    });
  }
}

function rulesOf(replica: ControlReplica): RoutingConfiguration | null {
  return replica.configuration?.rules ?? null;
}

function hasScaling(rules: RoutingConfiguration | null): boolean {
  return rules?.services.some(({ scaling }) => scaling !== undefined) ?? false;
}

function scheduleOf(api: DutyApiSettings): UsageSchedule {
  return new UsageSchedule({
    windowMs: api.usageWindowMs,
    dueMs: api.usageDueMs,
  });
}

function buildWindowClock(base: NodeBase): WindowClock {
  return new WindowClock(() => ({
    steadyMs: performance.now(),
    wallMs: base.clock.wallMs(),
  }));
}
