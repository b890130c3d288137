import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryEventLog, SeededRandom, VirtualClock } from "#core";
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
const COMMANDS = 100;
const POLICY: SnapshotPolicy = {
  ...DEFAULT_SNAPSHOT_POLICY,
  entries: 8,
  bytes: 1_000_000,
  retainedEntries: 1,
};

/** Replicas on VMs `a`, `b` and so on, with what they log. */
class Group {
  readonly clock = new VirtualClock(1_000);
  readonly events = new Map<string, MemoryEventLog>();
  readonly logs: QuorumLog[] = [];
  #nextCommand = 1;

  constructor(vms: readonly string[], policy: SnapshotPolicy) {
    const { clock } = this;
    const random = new SeededRandom(1);
    const network = new MemoryNetwork({ clock, random });
    const oracle = new LogOracle();
    for (const vm of vms) {
      const events = new MemoryEventLog();
      this.events.set(vm, events);
      const disk = new MemoryDisk({ clock, random, nextSyncMs: () => SYNC_MS });
      this.logs.push(
        new QuorumLog({
          vm,
          network: network.join(vm),
          folder: disk.open(),
          machines: [new ListMachine(oracle)],
          clock,
          random,
          events,
          peers: () => vms,
          firstStart: { voters: vms },
          timing: SHORT_TIMING,
          snapshots: policy,
        }),
      );
    }
  }

  /** Starts all replicas; resolves when one leads. */
  async start(): Promise<QuorumLog> {
    const started = this.logs.map((log) => log.start());
    for (let waited = 0; waited < 5_000; waited += 10) {
      await this.clock.advanceAsync(10);
      const leader = this.logs.find((log) =>
        log.leaseUntilMs() > this.clock.nowMs()
      );
      if (leader === undefined) continue;
      await Promise.all(started);
      return leader;
    }
    throw new Error("no replica leads");
  }

  /** Proposes commands one after the other, each until it is committed. */
  async propose(leader: QuorumLog, count: number): Promise<void> {
    for (let left = count; left > 0; left -= 1) {
      const command = this.#nextCommand;
      this.#nextCommand += 1;
      const result = leader.propose({ machine: "bundles", command });
      await this.clock.advanceAsync(20);
      assert.ok((await result).ok);
    }
  }

  /** Returns the index of each snapshot that a replica began, oldest first. */
  snapshotsOf(vm: string): readonly number[] {
    const records = this.events.get(vm)?.records() ?? [];
    return records.filter((each) =>
      each.event === AGREEMENT_EVENTS.snapshotStarted
    ).map((each) => each.fields["index"] as number);
  }
}

test("no replica saves a snapshot right after a change of leader unless the log has grown far beyond its limit", async () => {
  const policy = { ...POLICY, entries: 20, settleMs: 4_000 };
  const group = new Group(["a", "b", "c"], policy);
  const leader = await group.start();
  await group.propose(leader, policy.entries + 2);
  for (const vm of group.events.keys()) {
    assert.deepEqual(group.snapshotsOf(vm), [], vm);
  }
  await group.propose(leader, policy.entries / 2);
  for (const vm of group.events.keys()) {
    assert.equal(group.snapshotsOf(vm).length, 1, vm);
  }
});

test("replicas save their snapshots at different times", async () => {
  const policy = { ...POLICY, entries: 60, settleMs: 0 };
  const group = new Group(["a", "b", "c", "d", "e"], policy);
  const leader = await group.start();
  await group.propose(leader, 2 * policy.entries);
  const first = [...group.events.keys()].map((vm) => group.snapshotsOf(vm)[0]);
  assert.ok(new Set(first).size >= 4, first.join());
});

test(
  "a writer that proposes each command right after the last does not defer the snapshot",
  async () => {
    const group = new Group(["a"], POLICY);
    const { clock } = group;
    const log = await group.start();
    let longest = 0;
    const writeAll = async (): Promise<void> => {
      for (let command = 0; command < COMMANDS; command += 1) {
        const result = await log.propose({ machine: "bundles", command });
        assert.ok(result.ok);
        longest = Math.max(longest, log.sizes().entries);
      }
    };
    const written = writeAll();
    await clock.advanceAsync(COMMANDS * 10 * SYNC_MS);
    await written;
    const saved = group.events.get("a")?.records().filter((each) =>
      each.event === AGREEMENT_EVENTS.snapshotSaved
    );
    assert.ok((saved?.length ?? 0) > 0);
    assert.ok(longest <= 3 * POLICY.entries, `${longest} entries in memory`);
  },
);
