import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogStatus, ReplicatedLog } from "#agreement";
import {
  type AnyStateMachine,
  type FleetUpstream,
  LocalControl,
  type MachineCommand,
  type MachineQuestion,
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

/** A log whose lease a test gives and takes. */
class TestLog extends ReplicatedLog {
  leads = true;
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
    throw new Error("not asked here");
  }

  override leaseUntilMs(): Milliseconds {
    return this.leads ? this.#clock.nowMs() + 500 : 0;
  }

  override onApplied(): () => void {
    return () => {};
  }

  override propose(
    request: MachineCommand,
  ): ReturnType<LocalControl["propose"]> {
    return this.#control.propose(request);
  }

  override query(request: MachineQuestion): ReturnType<LocalControl["query"]> {
    return this.#control.query(request);
  }
}

/** Engines that take orders as the platform's do. */
class TestEngines extends OrderPort {
  readonly given: LoadOrder[] = [];
  taken = 0;
  version = 1;
  fence = 0;
  /** What the next order is answered with instead, if anything. */
  next: OrderOutcome | undefined;

  override fetchReport(): Promise<EngineReport | undefined> {
    return Promise.resolve({
      serves: [{ model: "m", version: this.version }],
      busy: false,
      acceptedOrders: this.taken,
    });
  }

  override sendLoadOrder(
    _engine: FleetUpstream,
    order: LoadOrder,
  ): Promise<OrderOutcome> {
    this.given.push(order);
    const { next } = this;
    this.next = undefined;
    if (next !== undefined) return Promise.resolve(next);
    if (order.fence < this.fence) return Promise.resolve("stale_fence");
    if (order.expectedOrders !== this.taken) return Promise.resolve("conflict");
    this.fence = order.fence;
    this.taken += 1;
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

interface World {
  readonly clock: VirtualClock;
  readonly machine: VersionsMachine;
  readonly log: TestLog;
  readonly engines: TestEngines;
  readonly orders: EngineOrders;
}

function world(machine = new VersionsMachine()): World {
  const clock = new VirtualClock(1_000);
  const log = new TestLog(machine, clock);
  const engines = new TestEngines();
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

function name(machine: VersionsMachine, version: number): void {
  const command = { kind: "name", model: "m", version } as const;
  machine.apply({ index: 10 + version, atMs: 0, command });
}

test("an order names holder, fence and the number of orders taken, and each version is loaded once", async () => {
  const { clock, machine, engines } = world();
  name(machine, 2);
  await clock.advanceAsync(2_000);
  name(machine, 3);
  await clock.advanceAsync(3_000);
  const told = engines.given.map(({ version, expectedOrders }) => ({
    version,
    expectedOrders,
  }));
  assert.deepEqual(told, [
    { version: 2, expectedOrders: 0 },
    { version: 3, expectedOrders: 1 },
  ]);
  const fences = new Set(engines.given.map((order) => order.fence));
  assert.deepEqual([...fences], [machine.current.hold?.fence]);
});

test("a new holder waits until an earlier one can't act any more, unless that one has said that it stopped", async () => {
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
    const { clock, engines } = world(machine);
    name(machine, 2);
    await clock.advanceAsync(HOLD_MS - 100);
    assert.equal(engines.given.length, released ? 1 : 0);
    await clock.advanceAsync(1_000);
    assert.equal(engines.given.length, 1);
  }
});

test("a VM without the lease gives no order, and takes a new hold when it leads again", async () => {
  const { clock, machine, log, engines } = world();
  name(machine, 2);
  await clock.advanceAsync(2_000);
  const first = machine.current.hold?.fence ?? 0;
  log.leads = false;
  name(machine, 3);
  await clock.advanceAsync(5_000);
  assert.equal(engines.given.length, 1);
  log.leads = true;
  await clock.advanceAsync(2_000);
  assert.equal(engines.given.length, 2);
  assert.ok((engines.given[1]?.fence ?? 0) > first);
});

test("an order without an answer is followed by a look at the engine before the next", async () => {
  const { clock, machine, engines } = world();
  name(machine, 2);
  engines.next = "unknown";
  engines.taken = 4;
  await clock.advanceAsync(300);
  engines.taken = 5;
  await clock.advanceAsync(2_000);
  const expected = engines.given.map((order) => order.expectedOrders);
  assert.deepEqual(expected, [4, 5]);
});

test("a VM that was refused for a newer fence gives no order again under its own", async () => {
  const { clock, machine, engines } = world();
  name(machine, 2);
  engines.next = "stale_fence";
  await clock.advanceAsync(3_000);
  const [first, second] = engines.given;
  assert.ok(first && second);
  assert.ok(second.fence > first.fence);
});

test("a planned stop hands the right to give orders back", async () => {
  const { clock, machine, orders } = world();
  name(machine, 2);
  await clock.advanceAsync(2_000);
  await orders.stop();
  assert.equal(machine.current.hold?.released, true);
});
