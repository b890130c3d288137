import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type FleetUpstream,
  MemoryEventLog,
  type RouteRule,
  VirtualClock,
} from "#core";
import { RouteRules } from "#requests";
import { freshItemState } from "./batch_state.ts";
import { testItem } from "./batch_test_support.ts";
import type { BatchItem, ScoringCall } from "./batch_types.ts";
import {
  ItemScoring,
  type ScoringOutcome,
  ScoringPort,
} from "./item_scoring.ts";
import { abortRun, ItemTask } from "./item_task.ts";

const ROUTE: RouteRule = {
  name: "scores",
  host: "h2",
  pathPrefix: "/s/",
  kind: "idempotent",
  timeoutMs: 3_000,
  objectiveMs: 900,
  priority: 3,
  split: [{ service: "scores", weight: 1 }],
  maximumAttempts: 2,
  resumable: false,
  singleVersion: false,
  maximumQueueMs: null,
  dueMs: null,
};
const RULES = new RouteRules({
  version: 1,
  routes: [ROUTE],
  services: [],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

interface Sent {
  readonly call: ScoringCall;
  readonly signal: AbortSignal;
  readonly resolve: (outcome: ScoringOutcome) => void;
}

class RecordingPort extends ScoringPort {
  readonly sent: Sent[] = [];

  override send(
    call: ScoringCall,
    { signal }: Parameters<ScoringPort["send"]>[1],
  ): Promise<ScoringOutcome> {
    return new Promise((resolve) => this.sent.push({ call, signal, resolve }));
  }
}

function itemOf(id: string, target = "/s/1"): BatchItem {
  const body = new Uint8Array(1);
  const scoring = { id: `call-${id}`, host: "h2", target, body };
  return testItem(id, { body, scoring });
}

class Site {
  readonly clock = new VirtualClock(0);
  readonly events = new MemoryEventLog();
  readonly port = new RecordingPort();
  readonly tasks = new Map<string, ItemTask>();
  readonly abandoned: string[] = [];
  phase: FleetUpstream["phase"] = "ready";
  readonly #scoring = new ItemScoring({
    clock: this.clock,
    events: this.events,
    port: this.port,
    upstreams: () => [this.#upstream()],
    onScored: () => {},
    onFailed: () => {},
    abandon: (task, reason) =>
      this.abandoned.push(`${task.item.id}: ${reason}`),
  });

  add(item: BatchItem): ItemTask {
    const { items: _, ...batch } = {
      id: "b",
      route: "r",
      host: "h",
      model: "m",
      minimumVersion: null,
      singleVersion: false,
      maximumFailures: 3,
      maximumQueueMs: null,
      dueMs: 7_000,
      items: [],
    };
    const task = new ItemTask(batch, {
      logged: freshItemState(item),
      dueMs: 7_000,
      nowMs: 0,
    });
    this.tasks.set(task.key, task);
    return task;
  }

  start(): void {
    this.#scoring.startCalls(this.tasks, RULES);
  }

  async answer(at: number, outcome: ScoringOutcome): Promise<void> {
    this.port.sent[at]?.resolve(outcome);
    await new Promise((resolve) => setImmediate(resolve));
  }

  #upstream(): FleetUpstream {
    return {
      id: "u1",
      service: "scores",
      phase: this.phase,
      slots: 6,
    } as FleetUpstream;
  }
}

test("the scoring call is sent once the text is complete, and its stamp completes the item", async () => {
  const site = new Site();
  const task = site.add(itemOf("x"));
  task.addEvent({ id: 0, data: "a", version: 1 });
  site.start();
  assert.equal(site.port.sent.length, 0);
  task.completeText();
  assert.equal(task.done, false);
  site.start();
  site.start();
  assert.deepEqual(site.port.sent.map(({ call }) => call.id), ["call-x"]);
  await site.answer(0, { kind: "scored", score: "s" });
  assert.equal(task.done, true);
  const update = task.prepareUpdate("u");
  assert.equal(update.score, "s");
  assert.equal(update.outcome, "completed");
  assert.equal(update.text, "a");
});

test("server errors are counted and end the item at the greater of both limits; other failures are not counted", async () => {
  const site = new Site();
  const task = site.add(itemOf("x"));
  task.completeText();
  const outcomes = [0, 1, 0, 1, 1];
  for (const [at, serverErrors] of outcomes.entries()) {
    site.clock.advance(2_000);
    site.start();
    assert.equal(site.port.sent.length, at + 1);
    assert.deepEqual(site.abandoned, []);
    await site.answer(at, { kind: "failed", serverErrors, reason: "broken" });
  }
  assert.deepEqual(site.abandoned, ["x: its scoring call failed 3 times"]);
  assert.equal(task.prepareUpdate("u").scoringFailures, 3);
});

test("a call that failed is not sent again at once", async () => {
  const site = new Site();
  site.add(itemOf("x")).completeText();
  site.start();
  await site.answer(0, { kind: "failed", serverErrors: 0, reason: "broken" });
  site.start();
  assert.equal(site.port.sent.length, 1);
  site.clock.advance(100);
  site.start();
  assert.equal(site.port.sent.length, 2);
});

test("a call of an item that is dropped is cancelled, and its late answer changes nothing", async () => {
  const site = new Site();
  const task = site.add(itemOf("x"));
  task.completeText();
  site.start();
  abortRun(task);
  assert.equal(site.port.sent[0]?.signal.aborted, true);
  await site.answer(0, { kind: "scored", score: "s" });
  assert.equal(task.done, false);
});

test("no call starts while every upstream of the service is leaving", () => {
  const site = new Site();
  site.phase = "draining";
  site.add(itemOf("x")).completeText();
  site.start();
  assert.equal(site.port.sent.length, 0);
});

test("a scoring call without a route is reported and waits for a configuration that has one", () => {
  const site = new Site();
  site.add(itemOf("x", "/elsewhere/1")).completeText();
  site.start();
  site.start();
  assert.equal(site.port.sent.length, 0);
  assert.equal(
    site.events.records().length,
    1,
    "reported once, not in each turn",
  );
  assert.deepEqual(site.abandoned, []);
});
