import assert from "node:assert/strict";
import { test } from "node:test";
import {
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  EMPTY_BOARD,
  MemoryEventLog,
  type Milliseconds,
  SeededRandom,
  VirtualClock,
  type VmState,
} from "#core";
import { MemoryNetwork } from "#wire";
import { MemberService, PROBE_PERIOD_MS } from "./member_service.ts";
import { SUSPICION_TIMEOUT_MS } from "./member_table.ts";
import { type DirectoryEntry, VmDirectory } from "./vm_directory.ts";

const VMS: readonly DirectoryEntry[] = ["a", "b", "c"].flatMap((zone) =>
  [1, 2, 3, 4].map((row) => ({
    name: `entry-${zone}${row}`,
    zone,
    role: "entry" as const,
    peer: { host: "127.0.0.1", port: 1 },
  }))
);
const SETTLE_TIME_MS: Milliseconds = 15_000;
/** Each VM probes all others once in this time, so a given VM is probed by some VM far sooner. */
const ROUND_MS: Milliseconds = VMS.length * PROBE_PERIOD_MS;

class Cluster {
  readonly clock = new VirtualClock(1_000);
  readonly network: MemoryNetwork;
  readonly #boards = new Map<string, Blackboard<BoardSections>>();
  readonly #services = new Map<string, MemberService>();
  readonly #random: SeededRandom;
  #incarnation = 1;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.network = new MemoryNetwork({
      clock: this.clock,
      random: this.#random,
    });
    for (const vm of VMS) this.start(vm.name);
  }

  start(name: string): void {
    this.#incarnation += 1;
    const board = new Blackboard<BoardSections>(EMPTY_BOARD, BOARD_WRITERS);
    const service = new MemberService({
      self: name,
      incarnation: this.#incarnation,
      board,
      directory: new VmDirectory({ seeds: VMS, bundle: () => null }),
      network: this.network.join(name),
      clock: this.clock,
      random: this.#random,
      events: new MemoryEventLog(),
    });
    this.#boards.set(name, board);
    this.#services.set(name, service);
    service.start();
  }

  kill(name: string): void {
    this.#services.get(name)?.stop();
    this.#services.delete(name);
    this.network.leave(name);
  }

  /** Returns the states in which the other running VMs see the VM `of`. */
  observedStates(of: string): ReadonlySet<VmState | undefined> {
    const states = new Set<VmState | undefined>();
    for (const name of this.#services.keys()) {
      if (name === of) continue;
      states.add(this.#boards.get(name)?.read("members").get(of)?.state);
    }
    return states;
  }
}

test("a stopped VM becomes unreachable for all others after the suspicion timeout, and alive again after a restart", async () => {
  for (const seed of [1, 2, 3]) {
    const cluster = new Cluster(seed);
    await cluster.clock.advanceAsync(SETTLE_TIME_MS);
    cluster.kill("entry-b2");
    await cluster.clock.advanceAsync(SUSPICION_TIMEOUT_MS / 2);
    assert.equal(cluster.observedStates("entry-b2").has("unreachable"), false);
    await cluster.clock.advanceAsync(ROUND_MS + SUSPICION_TIMEOUT_MS);
    assert.deepEqual([...cluster.observedStates("entry-b2")], ["unreachable"]);
    cluster.start("entry-b2");
    await cluster.clock.advanceAsync(ROUND_MS);
    assert.deepEqual([...cluster.observedStates("entry-b2")], ["alive"]);
  }
});

test("a partition between two VMs makes neither unreachable, because other VMs probe on their behalf", async () => {
  const cluster = new Cluster(4);
  cluster.network.blockLink("entry-a1", "entry-c1");
  cluster.network.blockLink("entry-c1", "entry-a1");
  for (let round = 0; round < 3; round += 1) {
    await cluster.clock.advanceAsync(ROUND_MS);
    assert.deepEqual([...cluster.observedStates("entry-c1")], ["alive"]);
    assert.deepEqual([...cluster.observedStates("entry-a1")], ["alive"]);
  }
});

test("a VM paused for less than the suspicion timeout never becomes unreachable", async () => {
  const cluster = new Cluster(5);
  await cluster.clock.advanceAsync(SETTLE_TIME_MS);
  cluster.network.pause("entry-a3");
  await cluster.clock.advanceAsync(SUSPICION_TIMEOUT_MS - PROBE_PERIOD_MS);
  cluster.network.resume("entry-a3");
  for (let second = 0; second < 20; second += 1) {
    await cluster.clock.advanceAsync(PROBE_PERIOD_MS);
    assert.equal(cluster.observedStates("entry-a3").has("unreachable"), false);
  }
});

test("the number of probes that a VM sends does not depend on the number of VMs", async () => {
  const cluster = new Cluster(6);
  await cluster.clock.advanceAsync(SETTLE_TIME_MS);
  const before = cluster.network.sentMessages;
  await cluster.clock.advanceAsync(SETTLE_TIME_MS);
  const sent = cluster.network.sentMessages - before;
  const periods = SETTLE_TIME_MS / PROBE_PERIOD_MS;
  assert.equal(sent, 2 * VMS.length * periods);
});
