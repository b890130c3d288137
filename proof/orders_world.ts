/**
 * Simulation of orders in virtual time: engines that enforce fences and engines that ignore them, a network that
 * delays, duplicates, loses and reorders orders, and a replicated log whose leader changes.
 *
 * @module
 */
import { type LogStatus, ReplicatedLog } from "#agreement";
import {
  type AcceptedBundle,
  type Address,
  type EngineOrder,
  Err,
  fail,
  type Failure,
  type MachineCommand,
  type MachineQuery,
  MemoryEventLog,
  Metrics,
  type Milliseconds,
  Ok,
  type RandomSource,
  type Result,
  SeededRandom,
  type VirtualClock,
} from "#core";
import type { EngineState } from "#samples";
import { MODEL, ONE_WAY_DELAY_MS, WorldEngine } from "./world_engine.ts";
import { EnginePort, OrdersMachine, WeightsCoordinator } from "#weights";

/** Time from the last renewal of a leader's lease to its expiry. */
export const LEASE_MS: Milliseconds = 1_000;

/** Network faults of one order. */
export interface OrderFault {
  readonly lost: boolean;
  readonly replyLost: boolean;
  readonly duplicated: boolean;
  /** Extra delay of the order; may exceed the sender's time limit, as after a pause of the process. */
  readonly delayMs: Milliseconds;
}

const NO_FAULT: OrderFault = {
  lost: false,
  replyLost: false,
  duplicated: false,
  delayMs: 0,
};

/** An order as a leader sent it, for the checks. */
export interface SentOrder {
  readonly vm: string;
  readonly order: EngineOrder;
  readonly atMs: Milliseconds;
  readonly limitMs: Milliseconds;
}

/** State of the simulation: engines, control VMs, the current leader and the network's pending faults. */
export class OrdersWorld {
  readonly clock: VirtualClock;
  readonly engines: readonly WorldEngine[];
  readonly orders = new OrdersMachine();
  readonly sentOrders: SentOrder[] = [];
  readonly events = new MemoryEventLog();
  readonly orderFaults: OrderFault[] = [];
  readonly coordinators: WeightsCoordinator[] = [];
  /** Engines that no longer announce themselves. */
  readonly departed = new Set<string>();
  published = 1;
  /** Number of state reads of engines so far. */
  stateReads = 0;
  loseNextReply = false;
  leader = "control-1";
  /** Expiry time of the leader's lease once it is no longer renewed; null while it is renewed. */
  leaseEndsAtMs: Milliseconds | null = null;
  /** Time at which each VM last became leader. */
  readonly leaderSinceMs = new Map<string, Milliseconds>();
  logIndex = 0;

  constructor(clock: VirtualClock, engineCount: number) {
    this.clock = clock;
    this.engines = Array.from(
      { length: engineCount },
      (_, number) => new WorldEngine(clock, number),
    );
    for (const vm of ["control-1", "control-2"]) {
      const coordinator = this.#createCoordinator(vm);
      this.coordinators.push(coordinator);
      coordinator.start();
    }
  }

  /** Stops the renewal of the leader's lease; the other VM becomes leader when it expires. */
  changeLeader(): void {
    if (this.leaseEndsAtMs !== null) return;
    this.leaseEndsAtMs = this.clock.nowMs() + LEASE_MS;
    this.clock.after(LEASE_MS, () => {
      this.leaseEndsAtMs = null;
      this.leader = this.leader === "control-1" ? "control-2" : "control-1";
      this.leaderSinceMs.set(this.leader, this.clock.nowMs());
    });
  }

  /** Returns the time until which a VM may act as leader. */
  leaseUntilMs(vm: string): Milliseconds {
    if (this.leader !== vm) return 0;
    return this.leaseEndsAtMs ?? this.clock.nowMs() + LEASE_MS;
  }

  #createCoordinator(vm: string): WeightsCoordinator {
    const bundle = {
      signed: {
        bundle: {
          models: [{ name: MODEL, servingFloor: 0.5, loadsPerSecond: 20 }],
        },
      },
    } as unknown as AcceptedBundle;
    const random: RandomSource = new SeededRandom(1);
    return new WeightsCoordinator({
      vm,
      sourceHost: "127.6.0.1",
      log: new WorldLog(this, vm),
      bundle: () => bundle,
      upstreams: () =>
        new Map(
          this.engines
            .filter((engine) => !this.departed.has(engine.id))
            .map((engine) => [engine.id, engine.record]),
        ),
      clock: this.clock,
      random,
      events: this.events,
      metrics: new Metrics(),
      engines: new WorldEnginePort(this, vm),
    });
  }
}

class WorldLog extends ReplicatedLog {
  readonly #world: OrdersWorld;
  readonly #vm: string;

  constructor(world: OrdersWorld, vm: string) {
    super();
    this.#world = world;
    this.#vm = vm;
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }

  override status(): LogStatus {
    throw new Error("not used");
  }

  override onApplied(): () => void {
    return () => {};
  }

  override leaseUntilMs(): number {
    return this.#world.leaseUntilMs(this.#vm);
  }

  override async propose(
    request: MachineCommand,
  ): Promise<Result<unknown, Failure>> {
    const world = this.#world;
    await world.clock.sleep(ONE_WAY_DELAY_MS);
    if (this.leaseUntilMs() <= world.clock.nowMs()) return notLeader();
    world.logIndex += 1;
    const reply = world.orders.apply({
      index: world.logIndex,
      atMs: world.clock.nowMs(),
      command: request.command,
    });
    const lost = world.loseNextReply;
    world.loseNextReply = false;
    if (lost) return Err(fail("outcome_unknown", "the reply was lost"));
    return reply;
  }

  override async query(
    request: MachineQuery,
  ): Promise<Result<unknown, Failure>> {
    const world = this.#world;
    await world.clock.sleep(ONE_WAY_DELAY_MS);
    if (this.leaseUntilMs() <= world.clock.nowMs()) return notLeader();
    if (request.machine === "orders") return world.orders.query(null);
    return Ok({
      kind: "published",
      published: [{ model: MODEL, version: world.published, trainer: "t" }],
    });
  }
}

function notLeader(): Result<never, Failure> {
  return Err(fail("not_leader", "another VM leads"));
}

class WorldEnginePort extends EnginePort {
  readonly #world: OrdersWorld;
  readonly #vm: string;

  constructor(world: OrdersWorld, vm: string) {
    super();
    this.#world = world;
    this.#vm = vm;
  }

  override async sendOrder(
    address: Address,
    order: EngineOrder,
    limitMs: Milliseconds,
  ): Promise<Result<null, Failure>> {
    const { clock, orderFaults, sentOrders } = this.#world;
    sentOrders.push({ vm: this.#vm, order, atMs: clock.nowMs(), limitMs });
    const fault = orderFaults.shift() ?? NO_FAULT;
    const engine = this.#engine(address);
    const arriveMs = ONE_WAY_DELAY_MS + fault.delayMs;
    if (fault.duplicated) {
      clock.after(arriveMs * 2, () => engine.handleOrder(order));
    }
    if (fault.lost) {
      await clock.sleep(limitMs);
      return Err(fail("outcome_unknown", "the order was lost"));
    }
    if (arriveMs > limitMs) {
      clock.after(arriveMs, () => engine.handleOrder(order));
      await clock.sleep(limitMs);
      return Err(
        fail("outcome_unknown", "the order is delayed past its limit"),
      );
    }
    await clock.sleep(arriveMs);
    const accepted = engine.handleOrder(order);
    if (fault.replyLost) {
      return Err(fail("outcome_unknown", "the reply was lost"));
    }
    if (accepted) return Ok(null);
    return Err(fail("stale_fence", "a newer fence is known"));
  }

  override async readState(
    address: Address,
  ): Promise<Result<EngineState, Failure>> {
    const { clock } = this.#world;
    await clock.sleep(ONE_WAY_DELAY_MS);
    this.#world.stateReads += 1;
    const state = this.#engine(address).readState();
    await clock.sleep(ONE_WAY_DELAY_MS);
    return Ok(state);
  }

  #engine(address: Address): WorldEngine {
    const engine = this.#world.engines.find((candidate) =>
      candidate.id === address.host
    );
    if (engine === undefined) throw new Error(`no engine ${address.host}`);
    return engine;
  }
}
