/**
 * Simulates the VMs that run a batch: leaders that change, updates that are applied late or never, replicas
 * that start from a snapshot, and batches that end and are resubmitted. The checks know the text of each item.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { match } from "ts-pattern";
import type { ReplicatedLog } from "#agreement";
import {
  Err,
  fail,
  type Failure,
  type MachineCommand,
  MemoryEventLog,
  type Result,
  SeededRandom,
  VirtualClock,
} from "#core";
import { type Batch, readResult } from "./batch_types.ts";
import { BatchesMachine } from "./batches_machine.ts";
import { ItemTask } from "./item_task.ts";
import { ProgressWriter } from "./progress_writer.ts";

const ITEMS = ["x", "y"];
const EVENTS = 4;
const RETENTION_MS = 60_000;

type Step =
  | { readonly kind: "make"; readonly item: number }
  | { readonly kind: "restart"; readonly item: number }
  | { readonly kind: "flush" }
  | { readonly kind: "apply" }
  | { readonly kind: "timeOut" }
  | { readonly kind: "lose" }
  | { readonly kind: "leadAgain" }
  | { readonly kind: "restore" }
  | { readonly kind: "comeAgain" };

interface Proposal {
  readonly command: unknown;
  readonly resolve: (result: Result<unknown, Failure>) => void;
}

function batchOf(id: string): Batch {
  return {
    id,
    route: "r",
    host: "h",
    model: "m",
    minimumVersion: 1,
    singleVersion: false,
    maximumFailures: 3,
    maximumQueueMs: null,
    dueMs: 7_000,
    items: ITEMS.map((item) => ({
      id: item,
      target: "/a/b",
      headers: [],
      body: new Uint8Array(0),
      group: "g",
      promptTokens: 1,
      expectedTokens: 10,
    })),
  };
}

class BatchGroup {
  readonly machine = new BatchesMachine();
  readonly #tasks = new Map<string, ItemTask>();
  readonly #writer: ProgressWriter;
  readonly #queue: Proposal[] = [];
  readonly #earlierResults = new Map<string, readonly unknown[]>();
  readonly #replacementEnabled: boolean;
  #index = 0;
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
    const result = this.machine.apply({
      index: this.#index,
      atMs: 0,
      command: command as never,
    });
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
        this.machine.restore(structuredClone(this.machine.snapshot()));
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
        const task = new ItemTask(batch, { logged: state, dueMs: 0 });
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
      const replacement = new ItemTask(task.batch, { logged: state, dueMs: 0 });
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

  #check(): void {
    const completeText = Array.from({ length: EVENTS }, (_, id) => id).join(
      "\n",
    );
    for (let number = 1; number <= this.#batches; number += 1) {
      const id = `b${number}`;
      const results = this.machine.find(id)?.results.map(readResult) ?? [];
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
