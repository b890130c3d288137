import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type EventDefinition,
  type EventFields,
  MemoryEventLog,
  SeededRandom,
  VirtualClock,
} from "#core";
import { MemoryNetwork } from "#wire";
import { AGREEMENT_EVENTS } from "./events.ts";
import { ListMachine, LogOracle } from "./log_oracle.ts";
import { MemoryDisk } from "./memory_folder.ts";
import { QuorumLog } from "./quorum_log.ts";
import {
  DEFAULT_SNAPSHOT_POLICY,
  type SnapshotPolicy,
} from "./snapshot_policy.ts";
import { SHORT_TIMING } from "./timing.ts";

const SYNC_MS = 1;
const SETTLE_MS = 2_000;
const COMMANDS = 20;
const POLICY: SnapshotPolicy = {
  ...DEFAULT_SNAPSHOT_POLICY,
  settleMs: 0,
  entries: 8,
  bytes: 1_000_000,
  retainedEntries: 1,
};

/** One VM, whose disk survives its processes. */
class TestVm {
  readonly name: string;
  readonly disk: MemoryDisk;
  events = new MemoryEventLog();
  readonly #world: TestWorld;

  constructor(name: string, world: TestWorld) {
    this.name = name;
    this.#world = world;
    const { clock, random } = world;
    this.disk = new MemoryDisk({ clock, random, nextSyncMs: () => SYNC_MS });
  }

  /** Starts a process and waits until it has joined the group. */
  async start(): Promise<QuorumLog> {
    const { clock, random, network, names } = this.#world;
    this.events = new MemoryEventLog();
    const log = new QuorumLog({
      vm: this.name,
      network: network.join(this.name),
      folder: this.disk.open(),
      machines: [new ListMachine(new LogOracle())],
      clock,
      random,
      events: this.events,
      peers: () => names,
      firstStart: { voters: names },
      timing: SHORT_TIMING,
      snapshots: POLICY,
    });
    const started = log.start();
    await clock.advanceAsync(SETTLE_MS);
    await started;
    return log;
  }

  fieldsOf(event: EventDefinition): readonly EventFields[] {
    return this.events.records().filter((each) => each.event === event)
      .map((each) => each.fields);
  }
}

class TestWorld {
  readonly clock = new VirtualClock(1_000);
  readonly random = new SeededRandom(1);
  readonly network = new MemoryNetwork({
    clock: this.clock,
    random: this.random,
  });
  readonly names: readonly string[];

  constructor(names: readonly string[]) {
    this.names = names;
  }

  async commit(logs: readonly QuorumLog[]): Promise<void> {
    const nowMs = this.clock.nowMs();
    const leader = logs.find((log) => log.leaseUntilMs() > nowMs);
    assert.ok(leader !== undefined);
    for (let command = 0; command < COMMANDS; command += 1) {
      const proposed = leader.propose({ machine: "bundles", command });
      await this.clock.advanceAsync(100);
      assert.ok((await proposed).ok);
    }
  }
}

async function stop(
  log: QuorumLog | undefined,
  clock: VirtualClock,
): Promise<void> {
  const stopped = log?.stop();
  await clock.advanceAsync(SETTLE_MS);
  await stopped;
}

function numberOf(fields: EventFields | undefined, name: string): number {
  const value = fields?.[name];
  assert.equal(typeof value, "number", name);
  return value as number;
}

test("the start of a snapshot is logged before its end, with the log and the snapshot in bytes", async () => {
  const world = new TestWorld(["a"]);
  const vm = new TestVm("a", world);
  await world.commit([await vm.start()]);
  const codes = vm.events.records().map((each) => each.event.code);
  const startedCode = AGREEMENT_EVENTS.snapshotStarted.code;
  const savedCode = AGREEMENT_EVENTS.snapshotSaved.code;
  assert.ok(codes.indexOf(startedCode) < codes.indexOf(savedCode));
  const started = vm.fieldsOf(AGREEMENT_EVENTS.snapshotStarted);
  const saved = vm.fieldsOf(AGREEMENT_EVENTS.snapshotSaved);
  assert.equal(started.length, saved.length);
  assert.equal(started[0]?.["index"], saved[0]?.["index"]);
  assert.equal(started[0]?.["entries"], POLICY.entries);
  assert.ok(numberOf(started[0], "logBytes") > 0);
  assert.ok(numberOf(saved[0], "bytes") > 0);
  assert.ok(numberOf(saved[0], "durationMs") >= SYNC_MS);
  assert.equal(AGREEMENT_EVENTS.snapshotSaved.level, "info");
});

test("a replica that starts logs what it has read, and how long that took", async () => {
  const world = new TestWorld(["a"]);
  const vm = new TestVm("a", world);
  const first = await vm.start();
  const [fresh] = vm.fieldsOf(AGREEMENT_EVENTS.started);
  assert.equal(fresh?.["entries"], 0);
  assert.equal(fresh?.["logBytes"], 0);
  assert.equal(fresh?.["snapshotBytes"], 0);
  await world.commit([first]);
  const saved = vm.fieldsOf(AGREEMENT_EVENTS.snapshotSaved).at(-1);
  await vm.start();
  const [restarted] = vm.fieldsOf(AGREEMENT_EVENTS.started);
  assert.ok(numberOf(restarted, "entries") > 0);
  assert.ok(numberOf(restarted, "logBytes") > 0);
  assert.equal(restarted?.["snapshotBytes"], saved?.["bytes"]);
  assert.ok(numberOf(restarted, "recoveryMs") >= 0);
});

test("a snapshot received from the leader is logged with its bytes", async () => {
  const world = new TestWorld(["a", "b", "c"]);
  const vms = world.names.map((name) => new TestVm(name, world));
  const [a, b, c] = vms as [TestVm, TestVm, TestVm];
  const started = vms.map((vm) => vm.start());
  const logs = await Promise.all(started);
  await stop(logs[2], world.clock);
  await world.commit(logs.slice(0, 2));
  await c.start();
  const [installed] = c.fieldsOf(AGREEMENT_EVENTS.snapshotInstalled);
  const sent = [a, b].flatMap((vm) =>
    vm.fieldsOf(AGREEMENT_EVENTS.snapshotSaved)
  );
  const match = sent.find((each) => each["index"] === installed?.["index"]);
  assert.ok(match !== undefined);
  assert.equal(installed?.["bytes"], match["bytes"]);
});

test("the sizes of a replica are 0 before its start, grow with the log and shrink with a snapshot", async () => {
  const world = new TestWorld(["a"]);
  const vm = new TestVm("a", world);
  const log = await vm.start();
  const before = log.sizes();
  await world.commit([log]);
  const after = log.sizes();
  assert.ok(after.stateBytes > before.stateBytes);
  assert.ok(after.snapshotBytes > 0);
  assert.ok(after.logBytes > 0);
  assert.ok(after.entries <= POLICY.entries + POLICY.retainedEntries);
  const unstarted = new QuorumLog({
    vm: "x",
    network: world.network.join("x"),
    folder: vm.disk.open(),
    machines: [],
    clock: world.clock,
    random: world.random,
    events: vm.events,
    peers: () => [],
  });
  assert.deepEqual(unstarted.sizes(), {
    entries: 0,
    logBytes: 0,
    stateBytes: 0,
    snapshotBytes: 0,
  });
});
