import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { testBatch, testItem } from "./batch_test_support.ts";
import { BatchesMachine } from "./batches_machine.ts";
import {
  type Batch,
  type BatchItem,
  type BatchResult,
  type ItemUpdate,
  readResult,
} from "./batch_types.ts";
import { textOf } from "./held_text.ts";

let index = 0;

function item(id: string): BatchItem {
  return testItem(id, {
    body: new Uint8Array([1, 2]),
    promptTokens: 10,
    expectedTokens: 100,
  });
}

function batch(
  id: string,
  items: readonly string[],
  change: Partial<Batch> = {},
): Batch {
  const { items: changed = items.map(item), ...fields } = change;
  return testBatch(id, changed, { minimumVersion: 1, ...fields });
}

function update(
  batchId: string,
  itemId: string,
  change: Partial<ItemUpdate> = {},
): ItemUpdate {
  return {
    id: `update-${++index}`,
    batch: batchId,
    item: itemId,
    fromEvents: 0,
    events: 0,
    lastEvent: null,
    text: "",
    versions: [],
    failures: 0,
    restart: false,
    outcome: null,
    ...change,
  };
}

function resultsOf(
  machine: BatchesMachine,
  id: string,
): readonly BatchResult[] | undefined {
  return machine.find(id)?.results.map(readResult);
}

function accept(machine: BatchesMachine, accepted: Batch, atMs = 0): boolean {
  const command = { kind: "accept", batch: accepted, keepMs: 1_000 } as const;
  return machine.apply({ index: ++index, atMs, command }).ok;
}

function apply(
  machine: BatchesMachine,
  updates: readonly ItemUpdate[],
): void {
  machine.apply({
    index: ++index,
    atMs: 0,
    command: { kind: "update", updates },
  });
}

test("a batch is accepted once; different items under the same identifier are a conflict", () => {
  const machine = new BatchesMachine();
  assert.ok(accept(machine, batch("b", ["x", "y"])));
  assert.ok(accept(machine, batch("b", ["x", "y"])));
  assert.equal(accept(machine, batch("b", ["x"])), false);
  assert.equal(machine.find("b")?.items.size, 2);
});

// Guards against a conflict (409) for a batch that is sent again after its route got another name.
test("a batch sent again under another name of its route is the same batch", () => {
  const machine = new BatchesMachine();
  assert.ok(accept(machine, batch("b", ["x", "y"])));
  assert.ok(accept(machine, { ...batch("b", ["x", "y"]), route: "renamed" }));
  assert.equal(
    accept(machine, { ...batch("b", ["x", "y"]), host: "other" }),
    false,
  );
});

test("an update whose first event does not follow the stored progress is ignored", () => {
  const machine = new BatchesMachine();
  accept(machine, batch("b", ["x"]));
  const first = update("b", "x", {
    events: 2,
    lastEvent: 1,
    text: "a\nb",
    versions: [3],
  });
  apply(machine, [first]);
  apply(machine, [first]);
  assert.equal(machine.find("b")?.items.get("x")?.progress.text, "a\nb");
  apply(machine, [
    update("b", "x", {
      fromEvents: 2,
      events: 1,
      lastEvent: 2,
      text: "c",
      versions: [4],
      outcome: "completed",
    }),
  ]);
  assert.deepEqual(resultsOf(machine, "b"), [
    {
      id: "x",
      outcome: "completed",
      text: "a\nb\nc",
      versions: [3, 4],
      score: null,
    },
  ]);
});

test("a resubmitted item resumes from its stored progress if the batch allows the versions of that text", () => {
  const machine = new BatchesMachine();
  accept(machine, batch("b1", ["x", "y", "z"]));
  apply(machine, [
    update("b1", "x", { events: 1, lastEvent: 0, text: "a", versions: [1] }),
    update("b1", "y", { events: 1, lastEvent: 0, text: "a", versions: [2] }),
  ]);
  machine.apply({
    index: ++index,
    atMs: 0,
    command: { kind: "end", id: "b1" },
  });
  apply(machine, [
    update("b1", "z", {
      events: 1,
      lastEvent: 0,
      text: "whole",
      versions: [2],
      outcome: "completed",
    }),
  ]);
  assert.equal(machine.find("b1")?.results.length, 0);
  accept(machine, batch("b2", ["x", "y", "z"], { minimumVersion: 2 }));
  const state = machine.find("b2");
  assert.equal(state?.items.get("x")?.progress.events, 0);
  assert.equal(textOf(state?.items.get("y")?.progress.text ?? ""), "a");
  assert.equal(state?.items.get("y")?.again, true);
  assert.deepEqual(resultsOf(machine, "b2")?.map((each) => each.text), [
    "whole",
  ]);
});

test("an ended batch is removed only after its retention time", () => {
  const machine = new BatchesMachine();
  accept(machine, batch("old", ["x"]), 0);
  machine.apply({
    index: ++index,
    atMs: 10,
    command: { kind: "end", id: "old" },
  });
  accept(machine, batch("next", ["y"]), 999);
  assert.notEqual(machine.find("old"), undefined);
  accept(machine, batch("later", ["z"]), 1_000);
  assert.equal(machine.find("old"), undefined);
  assert.notEqual(machine.find("next"), undefined);
});

test("an ended batch is removed by whatever is applied after its retention time", () => {
  const machine = new BatchesMachine();
  accept(machine, batch("old", ["x"]), 0);
  accept(machine, batch("open", ["y"]), 0);
  const end = { kind: "end", id: "old" } as const;
  machine.apply({ index: ++index, atMs: 10, command: end });
  const command = { kind: "update", updates: [] } as const;
  machine.apply({ index: ++index, atMs: 999, command });
  assert.notEqual(machine.find("old"), undefined);
  machine.apply({ index: ++index, atMs: 1_000, command });
  assert.equal(machine.find("old"), undefined);
  assert.notEqual(machine.find("open"), undefined);
});

test("a batch that ends after its retention time is removed by the next command", () => {
  const machine = new BatchesMachine();
  accept(machine, batch("old", ["x"]), 0);
  const end = { kind: "end", id: "old" } as const;
  machine.apply({ index: ++index, atMs: 5_000, command: end });
  assert.notEqual(machine.find("old"), undefined);
  const command = { kind: "update", updates: [] } as const;
  machine.apply({ index: ++index, atMs: 5_000, command });
  assert.equal(machine.find("old"), undefined);
});

test("the size of the state counts texts and bodies, and neither bodies of listed items nor expired batches", () => {
  const machine = new BatchesMachine();
  const items = [{ ...item("x"), body: new Uint8Array(50_000) }];
  accept(machine, batch("b", [], { items }));
  const accepted = machine.bytesAt(0);
  assert.ok(accepted > 50_000);
  const text = "é".repeat(10_000);
  const outcome = "completed";
  apply(machine, [
    update("b", "x", { events: 1, lastEvent: 0, text, outcome }),
  ]);
  const listed = machine.bytesAt(0);
  assert.ok(listed > 20_000 && listed < 25_000, `${listed} bytes`);
  assert.equal(machine.find("b")?.items.get("x")?.item.body.length, 0);
  machine.apply({ index: ++index, atMs: 0, command: { kind: "end", id: "b" } });
  assert.ok(machine.bytesAt(999) > 20_000);
  assert.equal(machine.bytesAt(1_000), 0);
});

test("an open batch counts with the expected growth of its texts, an ended one without", () => {
  const machine = new BatchesMachine();
  const items = [{ ...item("x"), expectedTokens: 2_000 }];
  accept(machine, batch("b", [], { items }));
  const open = machine.bytesAt(0);
  machine.apply({ index: ++index, atMs: 0, command: { kind: "end", id: "b" } });
  assert.ok(open - machine.bytesAt(0) > 8_000, `${open} bytes`);
});

test("an item of an ended batch retains its progress without its request, and a late update still applies", () => {
  const machine = new BatchesMachine();
  accept(machine, batch("b1", ["x"]));
  apply(machine, [
    update("b1", "x", { events: 1, lastEvent: 0, text: "a", versions: [1] }),
  ]);
  machine.apply({
    index: ++index,
    atMs: 0,
    command: { kind: "end", id: "b1" },
  });
  assert.equal(machine.find("b1")?.items.get("x")?.item.body.length, 0);
  const late = { fromEvents: 1, events: 1, lastEvent: 1, versions: [1] };
  apply(machine, [update("b1", "x", { ...late, text: "b" })]);
  accept(machine, batch("b2", ["x"]));
  const resumed = machine.find("b2")?.items.get("x");
  assert.equal(textOf(resumed?.progress.text ?? ""), "a\nb");
  assert.deepEqual(resumed?.item.body, new Uint8Array([1, 2]));
  apply(machine, [
    update("b2", "x", {
      ...late,
      fromEvents: 2,
      text: "c",
      outcome: "completed",
    }),
  ]);
  assert.equal(resultsOf(machine, "b2")?.[0]?.text, "a\nb\nc");
});

/** A step of the simulation of one batch. */
type Step =
  | { readonly kind: "events"; readonly item: number; readonly stale: boolean }
  | { readonly kind: "finish"; readonly item: number }
  | { readonly kind: "give up"; readonly item: number }
  | { readonly kind: "restore" };

test("a listed result never changes, despite duplicate, late and lost updates and restores from a snapshot", () => {
  const names = ["x", "y", "z"];
  const at = fc.integer({ min: 0, max: 2 });
  const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({
      kind: fc.constant("events" as const),
      item: at,
      stale: fc.boolean(),
    }),
    fc.record({ kind: fc.constant("finish" as const), item: at }),
    fc.record({ kind: fc.constant("give up" as const), item: at }),
    fc.record({ kind: fc.constant("restore" as const) }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let machine = new BatchesMachine();
      accept(machine, batch("b", names));
      const texts = names.map(() => [] as string[]);
      const listed: string[] = [];
      for (const each of steps) {
        if (each.kind === "restore") {
          const copy = new BatchesMachine();
          copy.restore(structuredClone(machine.snapshot()));
          machine = copy;
          continue;
        }
        const name = names[each.item] ?? "";
        const events = texts[each.item] ?? [];
        const open = !listed.some((line) => line.startsWith(`${name}:`));
        if (each.kind === "events") {
          const fromEvents = each.stale ? events.length + 1 : events.length;
          const text = `e${events.length}`;
          apply(machine, [
            update("b", name, {
              fromEvents,
              events: 1,
              lastEvent: events.length,
              text,
              versions: [1],
            }),
          ]);
          if (!each.stale && open) events.push(text);
          continue;
        }
        const outcome = each.kind === "finish" ? "completed" : "given_up";
        const last = update("b", name, { fromEvents: events.length, outcome });
        apply(machine, [last, last]);
        if (open) listed.push(`${name}:${outcome}:${events.join("\n")}`);
      }
      const results = resultsOf(machine, "b") ?? [];
      assert.deepEqual(
        results.map((each) => `${each.id}:${each.outcome}:${each.text}`),
        listed,
      );
    }),
    { seed: 17, numRuns: 300 },
  );
});
