import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogStatus, ReplicatedLog } from "#agreement";
import {
  type AnyStateMachine,
  type FleetUpstream,
  LocalControl,
  type MachineCommand,
  type MachineQuery,
  MemoryEventLog,
  type Milliseconds,
  type RoutingConfiguration,
  VirtualClock,
} from "#core";
import {
  EngineOrders,
  type EngineReport,
  type LoadOrder,
  type OrderOutcome,
  OrderPort,
} from "./engine_orders.ts";
import { VersionsMachine } from "./versions_machine.ts";

const HOLD_MS: Milliseconds = 3_000;

/** A replicated log whose lease the test controls. */
class ControllableLog extends ReplicatedLog {
  holdsLease = true;
  readonly #clock: VirtualClock;
  readonly #control: LocalControl;

  constructor(machine: VersionsMachine, clock: VirtualClock) {
    super();
    this.#clock = clock;
    this.#control = new LocalControl([machine as AnyStateMachine], clock);
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }

  override status(): LogStatus {
    throw new Error("status() is not used by this test");
  }

  override leaseUntilMs(): Milliseconds {
    return this.holdsLease ? this.#clock.nowMs() + 500 : 0;
  }

  override onApplied(): () => void {
    return () => {};
  }

  override propose(
    request: MachineCommand,
  ): ReturnType<LocalControl["propose"]> {
    return this.#control.propose(request);
  }

  override query(request: MachineQuery): ReturnType<LocalControl["query"]> {
    return this.#control.query(request);
  }
}

/** Fakes of engines that check fences and order counts as the engines of the platform do. */
class FakeEngines extends OrderPort {
  readonly receivedOrders: LoadOrder[] = [];
  acceptedOrders = 0;
  version = 1;
  fence = 0;
  /** Outcome of the next order instead of the regular one, if set. */
  nextOutcome: OrderOutcome | undefined;

  override fetchReport(): Promise<EngineReport | undefined> {
    return Promise.resolve({
      serves: [{ model: "m", version: this.version }],
      busy: false,
      runs: 0,
      usedTokens: 0,
      acceptedOrders: this.acceptedOrders,
    });
  }

  override sendLoadOrder(
    _engine: FleetUpstream,
    order: LoadOrder,
  ): Promise<OrderOutcome> {
    this.receivedOrders.push(order);
    const { nextOutcome } = this;
    this.nextOutcome = undefined;
    if (nextOutcome !== undefined) return Promise.resolve(nextOutcome);
    if (order.fence < this.fence) return Promise.resolve("stale_fence");
    if (order.expectedOrders !== this.acceptedOrders) {
      return Promise.resolve("conflict");
    }
    this.fence = order.fence;
    this.acceptedOrders += 1;
    this.version = order.version;
    return Promise.resolve("accepted");
  }
}

const ENGINE: FleetUpstream = {
  id: "engine",
  bornMs: 1,
  sequence: 1,
  service: "models",
  zone: "z",
  address: { host: "10.0.0.1", port: 1 },
  slots: 1,
  phase: "ready",
  serves: [{ model: "m", version: 1 }],
};
const CONFIGURATION: RoutingConfiguration = {
  version: 1,
  routes: [],
  services: [{
    name: "models",
    maximumConnections: 1,
    engine: { slots: 1, cacheTokens: 1, models: ["m"] },
  }],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

interface TestSetup {
  readonly clock: VirtualClock;
  readonly machine: VersionsMachine;
  readonly log: ControllableLog;
  readonly engines: FakeEngines;
  readonly orders: EngineOrders;
}

function setUp(machine = new VersionsMachine()): TestSetup {
  const clock = new VirtualClock(1_000);
  const log = new ControllableLog(machine, clock);
  const engines = new FakeEngines();
  const orders = new EngineOrders({
    vm: "vm-1",
    log,
    machine,
    clock,
    events: new MemoryEventLog(),
    port: engines,
    engines: () => [ENGINE],
    configuration: () => CONFIGURATION,
    minimumVersions: () => [],
    holdMs: HOLD_MS,
  });
  orders.start();
  return { clock, machine, log, engines, orders };
}

function publishVersion(machine: VersionsMachine, version: number): void {
  const command = { kind: "name", model: "m", version } as const;
  machine.apply({ index: 10 + version, atMs: 0, command });
}

test("an order names the holder, the fence and the number of accepted orders, and each version is loaded once", async () => {
  const { clock, machine, engines } = setUp();
  publishVersion(machine, 2);
  await clock.advanceAsync(2_000);
  publishVersion(machine, 3);
  await clock.advanceAsync(3_000);
  const loadedVersions = engines.receivedOrders.map((
    { version, expectedOrders },
  ) => ({
    version,
    expectedOrders,
  }));
  assert.deepEqual(loadedVersions, [
    { version: 2, expectedOrders: 0 },
    { version: 3, expectedOrders: 1 },
  ]);
  const fences = new Set(engines.receivedOrders.map((order) => order.fence));
  assert.deepEqual([...fences], [machine.current.hold?.fence]);
});

test("a new holder waits until the previous holder can no longer act, unless that holder released the hold", async () => {
  for (const released of [false, true]) {
    const machine = new VersionsMachine();
    machine.apply({
      index: 1,
      atMs: 0,
      command: { kind: "hold", vm: "vm-0" },
    });
    if (released) {
      machine.apply({
        index: 2,
        atMs: 0,
        command: { kind: "release", fence: 1 },
      });
    }
    const { clock, engines } = setUp(machine);
    publishVersion(machine, 2);
    await clock.advanceAsync(HOLD_MS - 100);
    assert.equal(engines.receivedOrders.length, released ? 1 : 0);
    await clock.advanceAsync(1_000);
    assert.equal(engines.receivedOrders.length, 1);
  }
});

test("a VM without the lease sends no order, and acquires a new hold when it leads again", async () => {
  const { clock, machine, log, engines } = setUp();
  publishVersion(machine, 2);
  await clock.advanceAsync(2_000);
  const first = machine.current.hold?.fence ?? 0;
  log.holdsLease = false;
  publishVersion(machine, 3);
  await clock.advanceAsync(5_000);
  assert.equal(engines.receivedOrders.length, 1);
  log.holdsLease = true;
  await clock.advanceAsync(2_000);
  assert.equal(engines.receivedOrders.length, 2);
  assert.ok((engines.receivedOrders[1]?.fence ?? 0) > first);
});

test("after an order without a response, the engine's state is fetched before the next order", async () => {
  const { clock, machine, engines } = setUp();
  publishVersion(machine, 2);
  engines.nextOutcome = "unknown";
  engines.acceptedOrders = 4;
  await clock.advanceAsync(300);
  engines.acceptedOrders = 5;
  await clock.advanceAsync(2_000);
  const expected = engines.receivedOrders.map((order) => order.expectedOrders);
  assert.deepEqual(expected, [4, 5]);
});

test("a VM whose order is rejected for a newer fence sends no further order with its old fence", async () => {
  const { clock, machine, engines } = setUp();
  publishVersion(machine, 2);
  engines.nextOutcome = "stale_fence";
  await clock.advanceAsync(3_000);
  const [first, second] = engines.receivedOrders;
  assert.ok(first && second);
  assert.ok(second.fence > first.fence);
});

test("a planned stop releases the hold", async () => {
  const { clock, machine, orders } = setUp();
  publishVersion(machine, 2);
  await clock.advanceAsync(2_000);
  await orders.stop();
  assert.equal(machine.current.hold?.released, true);
});
