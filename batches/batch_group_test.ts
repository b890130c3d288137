/**
 * Simulates the VMs that run a batch: leaders that change, updates that are applied late or never, replicas
 * that start from a snapshot taken earlier, and batches that end, expire and are resubmitted. The checks know the
 * text of each item, and which requests and batches are still stored.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { match } from "ts-pattern";
import type { ReplicatedLog } from "#agreement";
import {
  type Committed,
  Err,
  fail,
  type Failure,
  type MachineCommand,
  MemoryEventLog,
  type Result,
  SeededRandom,
  VirtualClock,
} from "#core";
import { decodeValue, encodeValue } from "#wire";
import { testBatch, testItem } from "./batch_test_support.ts";
import { type Batch, readResult } from "./batch_types.ts";
import { BatchesMachine } from "./batches_machine.ts";
import { ItemTask } from "./item_task.ts";
import { ProgressWriter } from "./progress_writer.ts";

const ITEMS = ["x", "y"];
const EVENTS = 4;
const RETENTION_MS = 60_000;
const WAIT_MS = 25_000;
const BODY_BYTES = 3;

type Step =
  | { readonly kind: "make"; readonly item: number }
  | { readonly kind: "restart"; readonly item: number }
  | { readonly kind: "flush" }
  | { readonly kind: "apply" }
  | { readonly kind: "timeOut" }
  | { readonly kind: "lose" }
  | { readonly kind: "leadAgain" }
  | { readonly kind: "restore" }
  | { readonly kind: "restoreWhole" }
  | { readonly kind: "startSnapshot" }
  | { readonly kind: "joinFromSnapshot" }
  | { readonly kind: "wait" }
  | { readonly kind: "comeAgain" };

interface Proposal {
  readonly command: unknown;
  readonly resolve: (result: Result<unknown, Failure>) => void;
}

function batchOf(id: string): Batch {
  const body = new Uint8Array(BODY_BYTES);
  const items = ITEMS.map((item) => testItem(item, { body }));
  return testBatch(id, items, { minimumVersion: 1 });
}

class BatchGroup {
  readonly machine = new BatchesMachine();
  readonly #tasks = new Map<string, ItemTask>();
  readonly #writer: ProgressWriter;
  readonly #queue: Proposal[] = [];
  readonly #earlierResults = new Map<string, readonly unknown[]>();
  readonly #replacementEnabled: boolean;
  readonly #acceptedMs = new Map<string, number>();
  /** Parts whose reading has not begun, with what was committed since. */
  #snapshot: {
    readonly parts: Iterable<unknown>;
    readonly entries: Committed<never>[];
  } | undefined;
  #index = 0;
  #atMs = 0;
  #batches = 0;

  constructor(options: { readonly rebuilds: boolean }) {
    this.#replacementEnabled = options.rebuilds;
    const log = {
      propose: (proposal: MachineCommand) => this.#propose(proposal),
    };
    this.#writer = new ProgressWriter({
      log: log as unknown as ReplicatedLog,
      machine: this.machine,
      clock: new VirtualClock(),
      events: new MemoryEventLog(),
      random: new SeededRandom(1),
      tasks: () => this.#tasks.values(),
      engineSpeeds: () => [],
      onListed: (task) => this.#tasks.delete(task.key),
    });
    this.resubmit();
  }

  #propose(proposal: MachineCommand): Promise<Result<unknown, Failure>> {
    const { command } = proposal;
    return new Promise((resolve) => this.#queue.push({ command, resolve }));
  }

  #commit(command: unknown): Result<unknown, Failure> {
    this.#index += 1;
    const entry = {
      index: this.#index,
      atMs: this.#atMs,
      command: command as never,
    };
    const result = this.machine.apply(entry);
    this.#snapshot?.entries.push(entry);
    this.#check();
    return result;
  }

  async step(step: Step): Promise<void> {
    match(step)
      .with({ kind: "make" }, ({ item }) => this.#generate(item))
      .with({ kind: "restart" }, ({ item }) => this.#openTask(item)?.restart())
      .with({ kind: "flush" }, () => void this.#writer.flush())
      .with({ kind: "apply" }, () => this.#apply())
      .with({ kind: "timeOut" }, () => {
        this.#queue[0]?.resolve(Err(fail("no_quorum", "unknown")));
      })
      .with({ kind: "lose" }, () => {
        this.#queue.pop()?.resolve(Err(fail("not_leader", "lost")));
      })
      .with({ kind: "leadAgain" }, () => this.#startLeading())
      .with({ kind: "restore" }, () => {
        restoreParts(this.machine, this.machine.snapshotParts());
      })
      .with({ kind: "restoreWhole" }, () => {
        this.machine.restore(structuredClone(this.machine.snapshot()));
      })
      .with({ kind: "startSnapshot" }, () => {
        const parts = this.machine.snapshotParts();
        this.#snapshot = { parts, entries: [] };
      })
      .with({ kind: "joinFromSnapshot" }, () => this.#checkSnapshot())
      .with({ kind: "wait" }, () => {
        this.#atMs += WAIT_MS;
      })
      .with({ kind: "comeAgain" }, () => this.resubmit())
      .exhaustive();
    await settle();
    if (this.#replacementEnabled) this.#replaceOutdatedTasks();
  }

  resubmit(): void {
    if (this.#batches > 0) {
      this.#commit({ kind: "end", id: `b${this.#batches}` });
    }
    this.#batches += 1;
    const batch = batchOf(`b${this.#batches}`);
    this.#acceptedMs.set(batch.id, this.#atMs);
    this.#commit({ kind: "accept", batch, keepMs: RETENTION_MS });
    this.#startLeading();
  }

  /** Stops injecting faults and completes all items. */
  async finish(): Promise<void> {
    this.#startLeading();
    for (let round = 0; round < 8 * EVENTS; round += 1) {
      for (const item of ITEMS.keys()) this.#generate(item);
      await this.step({ kind: "flush" });
      while (this.#queue.length > 0) await this.step({ kind: "apply" });
    }
    const results = this.machine.find(`b${this.#batches}`)?.results ?? [];
    assert.equal(results.length, ITEMS.length, "all items are listed");
  }

  #startLeading(): void {
    this.#tasks.clear();
    for (const { batch, items } of this.machine.openBatches()) {
      for (const state of items.values()) {
        if (state.listed) continue;
        const task = new ItemTask(batch, { logged: state, dueMs: 0, nowMs: 0 });
        this.#tasks.set(task.key, task);
      }
    }
  }

  #replaceOutdatedTasks(): void {
    for (const task of this.#tasks.values()) {
      const batch = this.machine.find(task.batch.id);
      const state = batch?.items.get(task.item.id);
      if (state === undefined || task.isBasedOn(state)) continue;
      this.#tasks.delete(task.key);
      if (state.listed) continue;
      const replacement = new ItemTask(task.batch, {
        logged: state,
        dueMs: 0,
        nowMs: 0,
      });
      this.#tasks.set(replacement.key, replacement);
    }
  }

  #openTask(item: number): ItemTask | undefined {
    const task = this.#tasks.get(`b${this.#batches}/${ITEMS[item]}`);
    return task?.done === false ? task : undefined;
  }

  #generate(item: number): void {
    const task = this.#openTask(item);
    if (task === undefined) return;
    const id = (task.lastEvent ?? -1) + 1;
    if (id < EVENTS) task.addEvent({ id, data: String(id), version: 1 });
    if (id >= EVENTS - 1) task.finish("completed");
  }

  #apply(): void {
    const proposal = this.#queue.shift();
    if (proposal === undefined) return;
    proposal.resolve(this.#commit(proposal.command));
  }

  /** Reads the snapshot now; a replica that starts from it and applies the entries since has the same state. */
  #checkSnapshot(): void {
    const snapshot = this.#snapshot;
    this.#snapshot = undefined;
    if (snapshot === undefined) return;
    const replica = new BatchesMachine();
    restoreParts(replica, snapshot.parts);
    for (const entry of snapshot.entries) replica.apply(entry);
    assert.deepEqual(contentOf(replica), contentOf(this.machine));
    assert.equal(replica.bytesAt(this.#atMs), this.machine.bytesAt(this.#atMs));
  }

  #checkStored(): void {
    for (const [id, acceptedMs] of this.#acceptedMs) {
      const state = this.machine.find(id);
      const isOpen = id === `b${this.#batches}`;
      const expired = this.#atMs >= acceptedMs + RETENTION_MS;
      // The batch before the newest one may have ended with this very command.
      const mayRemain = isOpen || !expired ||
        id === `b${this.#batches - 1}`;
      if (isOpen || !expired) assert.ok(state, `${id} is stored`);
      if (!mayRemain) assert.equal(state, undefined, `${id} is removed`);
      for (const { item, listed } of state?.items.values() ?? []) {
        const isNeeded = !listed && state?.ended === false;
        assert.equal(item.body.length, isNeeded ? BODY_BYTES : 0);
        assert.equal(item.target === "", !isNeeded);
      }
    }
  }

  #check(): void {
    this.#checkStored();
    const completeText = Array.from({ length: EVENTS }, (_, id) => id).join(
      "\n",
    );
    for (let number = 1; number <= this.#batches; number += 1) {
      const id = `b${number}`;
      const state = this.machine.find(id);
      if (state === undefined) continue;
      const results = state.results.map(readResult);
      const before = this.#earlierResults.get(id) ?? [];
      assert.deepEqual(results.slice(0, before.length), before);
      this.#earlierResults.set(id, structuredClone(results));
      const names = results.map((each) => each.id);
      assert.equal(
        new Set(names).size,
        names.length,
        "each item has one position",
      );
      for (const { text } of results) assert.equal(text, completeText);
    }
  }
}

function restoreParts(
  machine: BatchesMachine,
  parts: Iterable<unknown>,
): void {
  const restoration = machine.startRestoration();
  for (const part of parts) restoration.add(decodeValue(encodeValue(part)));
  restoration.finish();
}

function contentOf(machine: BatchesMachine): unknown {
  const parts = [...machine.snapshotParts()];
  return parts.map((part) => decodeValue(encodeValue(part)));
}

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

const item = fc.nat({ max: ITEMS.length - 1 });

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({ kind: fc.constant("make" as const), item }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("restart" as const), item }),
  },
  { weight: 5, arbitrary: fc.constant<Step>({ kind: "flush" }) },
  { weight: 4, arbitrary: fc.constant<Step>({ kind: "apply" }) },
  { weight: 2, arbitrary: fc.constant<Step>({ kind: "timeOut" }) },
  { weight: 1, arbitrary: fc.constant<Step>({ kind: "lose" }) },
  { weight: 2, arbitrary: fc.constant<Step>({ kind: "leadAgain" }) },
  { weight: 1, arbitrary: fc.constant<Step>({ kind: "restore" }) },
  { weight: 1, arbitrary: fc.constant<Step>({ kind: "restoreWhole" }) },
  { weight: 1, arbitrary: fc.constant<Step>({ kind: "startSnapshot" }) },
  { weight: 1, arbitrary: fc.constant<Step>({ kind: "joinFromSnapshot" }) },
  { weight: 1, arbitrary: fc.constant<Step>({ kind: "wait" }) },
  { weight: 1, arbitrary: fc.constant<Step>({ kind: "comeAgain" }) },
);

async function checkGroup(
  options: { readonly rebuilds: boolean; readonly runs: number },
): Promise<void> {
  const steps = fc.array(stepArbitrary, { maxLength: 40, size: "max" });
  const property = fc.asyncProperty(steps, async (each) => {
    const group = new BatchGroup(options);
    for (const step of each) await group.step(step);
    await group.finish();
  });
  await fc.assert(property, {
    seed: 11,
    numRuns: options.runs,
    includeErrorInReport: true,
  });
}

test("each text is listed exactly once and complete despite late updates, lost updates and resubmitted items", async () => {
  await checkGroup({ rebuilds: true, runs: 500 });
});

test("a leader that keeps tasks that are out of date with the log leaves items unlisted", async () => {
  const played = checkGroup({ rebuilds: false, runs: 500 });
  await assert.rejects(played, /all items are listed/);
});
