/**
 * A world for orders in virtual time: engines of both kinds, a network that delays, doubles, loses and
 * reorders orders, and a log whose leader changes.
 *
 * @module
 */
import { type LogStatus, ReplicatedLog } from "#agreement";
import {
  type AcceptedBundle,
  type Address,
  Err,
  fail,
  type Failure,
  type MachineCommand,
  type MachineQuestion,
  MemoryEventLog,
  Metrics,
  type Milliseconds,
  Ok,
  type OrderView,
  type RandomSource,
  type Result,
  SeededRandom,
  type UpstreamRecord,
  type VirtualClock,
} from "#core";
import type { EngineState } from "#samples";
import { EnginePort, OrdersMachine, WeightsCoordinator } from "#weights";

/** Longest time of a lease that is no longer renewed. */
export const LEASE_MS: Milliseconds = 1_000;
/** Name of the one model. */
export const MODEL = "advice";
const LOAD_MS: Milliseconds = 400;
const ANNOUNCE_MS: Milliseconds = 500;
const NETWORK_MS: Milliseconds = 2;
const ZONES = ["a", "b"];

/** What the network does to one order. */
export interface OrderFate {
  readonly lost: boolean;
  readonly answerLost: boolean;
  readonly doubled: boolean;
  /** How late it comes; later than the caller's limit after a freeze. */
  readonly lateMs: Milliseconds;
}

const SAFE_FATE: OrderFate = {
  lost: false,
  answerLost: false,
  doubled: false,
  lateMs: 0,
};

/** One engine. */
export class WorldEngine {
  readonly id: string;
  readonly enforcesFences: boolean;
  readonly zone: string;
  incarnation = 1;
  version = 1;
  fence = 0;
  state: "serving" | "loading" | "failed" = "serving";
  failNext = 0;
  record: UpstreamRecord;
  #wished = 1;
  #attempt = 0;
  #sequence = 0;
  readonly #clock: VirtualClock;

  constructor(clock: VirtualClock, number: number) {
    this.#clock = clock;
    this.id = `e${number}`;
    this.zone = ZONES[number % ZONES.length] ?? "a";
    this.enforcesFences = number % 2 === 0;
    this.record = this.#makeRecord();
    clock.every(ANNOUNCE_MS, () => {
      const record = this.#makeRecord();
      clock.after(NETWORK_MS, () => this.record = record);
    });
  }

  /** Takes an order; false if it is refused. */
  take(order: OrderView): boolean {
    if (this.enforcesFences && order.fence < this.fence) return false;
    this.fence = order.fence;
    const known = order.version === this.#wished && this.state !== "failed";
    if (known) return true;
    this.#wished = order.version;
    this.#attempt += 1;
    const attempt = this.#attempt;
    this.state = "loading";
    this.#clock.after(LOAD_MS, () => {
      if (attempt !== this.#attempt) return;
      if (this.failNext > 0) {
        this.failNext -= 1;
        this.state = "failed";
        return;
      }
      this.version = order.version;
      this.state = "serving";
    });
    return true;
  }

  /** Starts again with the first version and without a fence. */
  restart(): void {
    this.incarnation += 1;
    this.#attempt += 1;
    this.version = 1;
    this.#wished = 1;
    this.fence = 0;
    this.state = "serving";
  }

  /** What it answers when read. */
  read(): EngineState {
    const { id, incarnation, fence, version, state } = this;
    return {
      id,
      incarnation,
      fence,
      models: [{ model: MODEL, version, state }],
    };
  }

  #makeRecord(): UpstreamRecord {
    this.#sequence += 1;
    const serves = this.state === "failed"
      ? []
      : [{ model: MODEL, version: this.version }];
    return {
      id: this.id,
      incarnation: this.incarnation,
      zone: this.zone,
      address: { host: this.id, port: 1 },
      role: "engine",
      serves,
      services: [],
      capacity: 4,
      enforcesFences: this.enforcesFences,
      reportsVersions: true,
      sequence: this.#sequence,
      leaving: false,
      expiresAtMs: Number.MAX_SAFE_INTEGER,
    };
  }
}

/** An order as it was given, for checks. */
export interface GivenOrder {
  readonly vm: string;
  readonly order: OrderView;
  readonly atMs: Milliseconds;
  readonly limitMs: Milliseconds;
}

/** The machines, who leads, and what the network does next. */
export class OrdersWorld {
  readonly clock: VirtualClock;
  readonly engines: readonly WorldEngine[];
  readonly orders = new OrdersMachine();
  readonly given: GivenOrder[] = [];
  readonly fates: OrderFate[] = [];
  readonly coordinators: WeightsCoordinator[] = [];
  /** Engines that are no longer heard of. */
  readonly gone = new Set<string>();
  published = 1;
  loseNextReply = false;
  leader = "control-1";
  /** When the lease ends that is no longer renewed, or null while it is. */
  endsAtMs: Milliseconds | null = null;
  /** When each VM last began to lead. */
  readonly ledSinceMs = new Map<string, Milliseconds>();
  index = 0;

  constructor(clock: VirtualClock, engineCount: number) {
    this.clock = clock;
    this.engines = Array.from(
      { length: engineCount },
      (_, number) => new WorldEngine(clock, number),
    );
    for (const vm of ["control-1", "control-2"]) {
      const coordinator = this.#makeCoordinator(vm);
      this.coordinators.push(coordinator);
      coordinator.start();
    }
  }

  /** Another VM leads once the lease of the leader has run out. */
  changeLeader(): void {
    if (this.endsAtMs !== null) return;
    this.endsAtMs = this.clock.nowMs() + LEASE_MS;
    this.clock.after(LEASE_MS, () => {
      this.endsAtMs = null;
      this.leader = this.leader === "control-1" ? "control-2" : "control-1";
      this.ledSinceMs.set(this.leader, this.clock.nowMs());
    });
  }

  /** Until when a VM may act as leader. */
  leaseUntilMs(vm: string): Milliseconds {
    if (this.leader !== vm) return 0;
    return this.endsAtMs ?? this.clock.nowMs() + LEASE_MS;
  }

  #makeCoordinator(vm: string): WeightsCoordinator {
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
            .filter((engine) => !this.gone.has(engine.id))
            .map((engine) => [engine.id, engine.record]),
        ),
      clock: this.clock,
      random,
      events: new MemoryEventLog(),
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
    await world.clock.sleep(NETWORK_MS);
    if (this.leaseUntilMs() <= world.clock.nowMs()) return notLeader();
    world.index += 1;
    const reply = world.orders.apply({
      index: world.index,
      atMs: world.clock.nowMs(),
      command: request.command,
    });
    const lost = world.loseNextReply;
    world.loseNextReply = false;
    if (lost) return Err(fail("outcome_unknown", "the answer was lost"));
    return reply;
  }

  override async query(
    request: MachineQuestion,
  ): Promise<Result<unknown, Failure>> {
    const world = this.#world;
    await world.clock.sleep(NETWORK_MS);
    if (this.leaseUntilMs() <= world.clock.nowMs()) return notLeader();
    if (request.machine === "orders") return world.orders.ask(null);
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

  override async order(
    address: Address,
    order: OrderView,
    limitMs: Milliseconds,
  ): Promise<Result<null, Failure>> {
    const { clock, fates, given } = this.#world;
    given.push({ vm: this.#vm, order, atMs: clock.nowMs(), limitMs });
    const fate = fates.shift() ?? SAFE_FATE;
    const engine = this.#engine(address);
    const arriveMs = NETWORK_MS + fate.lateMs;
    if (fate.doubled) clock.after(arriveMs * 2, () => engine.take(order));
    if (fate.lost) {
      await clock.sleep(limitMs);
      return Err(fail("outcome_unknown", "lost"));
    }
    if (arriveMs > limitMs) {
      clock.after(arriveMs, () => engine.take(order));
      await clock.sleep(limitMs);
      return Err(fail("outcome_unknown", "late"));
    }
    await clock.sleep(arriveMs);
    const taken = engine.take(order);
    if (fate.answerLost) {
      return Err(fail("outcome_unknown", "the answer was lost"));
    }
    if (taken) return Ok(null);
    return Err(fail("stale_fence", "an older fence"));
  }

  override async state(
    address: Address,
  ): Promise<Result<EngineState, Failure>> {
    const { clock } = this.#world;
    await clock.sleep(NETWORK_MS);
    const state = this.#engine(address).read();
    await clock.sleep(NETWORK_MS);
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
