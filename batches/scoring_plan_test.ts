import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "#core";
import { planScoring, type ReadyScoring } from "./scoring_plan.ts";

const SERVICE = "scores";
const UPSTREAMS = 4;
const SLOTS_PER_UPSTREAM = 6;
const SLOTS = UPSTREAMS * SLOTS_PER_UPSTREAM;
const GROUPS = 16;
const ITEMS_PER_GROUP = 8;
const CALL_MS = 230;
const STEP_MS = 10;

function ready(key: string, change: Partial<ReadyScoring> = {}): ReadyScoring {
  return {
    key,
    group: "g",
    service: SERVICE,
    dueMs: 7_500,
    failures: 0,
    ...change,
  };
}

function plan(
  calls: readonly ReadyScoring[],
  change: Partial<Parameters<typeof planScoring>[0]> = {},
): readonly string[] {
  const starts = planScoring({
    ready: calls,
    openTexts: new Map(),
    running: new Map(),
    slots: new Map([[SERVICE, SLOTS]]),
    ...change,
  });
  return starts.map((each) => each.key);
}

test("calls use at most two thirds of the slots, so that callers find a free one", () => {
  const calls = Array.from({ length: 100 }, (_, at) => ready(`c${at}`));
  assert.equal(plan(calls).length, 16);
  const running = new Map([[SERVICE, 15]]);
  assert.equal(plan(calls, { running }).length, 1);
});

test("a service with a single slot is used, one without any is not", () => {
  const calls = [ready("a"), ready("b")];
  assert.deepEqual(plan(calls, { slots: new Map([[SERVICE, 1]]) }), ["a"]);
  assert.deepEqual(plan(calls, { slots: new Map() }), []);
});

test("a full service holds back no call to another service", () => {
  const running = new Map([[SERVICE, SLOTS]]);
  const slots = new Map([[SERVICE, SLOTS], ["other", 6]]);
  const calls = [ready("a"), ready("b", { service: "other" })];
  assert.deepEqual(plan(calls, { running, slots }), ["b"]);
});

test("the batch that is due first goes first, then groups whose texts are complete, then those with few calls left", () => {
  const calls = [
    ready("later", { dueMs: 9_000 }),
    ready("open", { group: "open" }),
    ready("many-1", { group: "many", failures: 1 }),
    ready("many-2", { group: "many" }),
    ready("last", { group: "one" }),
  ];
  const openTexts = new Map([["open", 2]]);
  assert.deepEqual(plan(calls, { openTexts }), [
    "last",
    "many-2",
    "many-1",
    "open",
    "later",
  ]);
});

interface Played {
  /** When each group had all its scores. */
  readonly groupDoneMs: readonly number[];
  /** Greatest number of calls in flight. */
  readonly peak: number;
}

/** Plays a step whose texts end in bursts, in the order of the plan or in that of their arrival. */
function play(order: "plan" | "arrival"): Played {
  const random = new SeededRandom(5);
  const textEndMs = new Map<string, number>();
  for (let group = 0; group < GROUPS; group += 1) {
    for (let item = 0; item < ITEMS_PER_GROUP; item += 1) {
      // The last text of a group ends late, the others in one burst.
      const last = item === 0 ? 4_400 + 20 * group : 4_300;
      textEndMs.set(`g${group}/${item}`, last + random.below(100));
    }
  }
  const doneMs = new Map<string, number>();
  const running = new Map<string, number>();
  let peak = 0;
  for (let nowMs = 0; doneMs.size < textEndMs.size; nowMs += STEP_MS) {
    for (const [key, endMs] of running) {
      if (endMs > nowMs) continue;
      running.delete(key);
      doneMs.set(key, nowMs);
    }
    const openTexts = new Map<string, number>();
    const calls: ReadyScoring[] = [];
    for (const [key, endMs] of textEndMs) {
      const group = order === "plan" ? key.split("/")[0] ?? "" : "all groups";
      if (endMs > nowMs) openTexts.set(group, (openTexts.get(group) ?? 0) + 1);
      else if (!running.has(key) && !doneMs.has(key)) {
        calls.push(ready(key, { group }));
      }
    }
    calls.sort((a, b) =>
      (textEndMs.get(a.key) ?? 0) - (textEndMs.get(b.key) ?? 0)
    );
    const inFlight = new Map([[SERVICE, running.size]]);
    for (const key of plan(calls, { openTexts, running: inFlight })) {
      running.set(key, nowMs + CALL_MS);
    }
    peak = Math.max(peak, running.size);
  }
  const groupDoneMs = Array.from({ length: GROUPS }, (_, group) => {
    let latest = 0;
    for (const [key, at] of doneMs) {
      if (key.startsWith(`g${group}/`)) latest = Math.max(latest, at);
    }
    return latest;
  });
  return { groupDoneMs, peak };
}

test("under a burst of 128 calls for 24 slots, trainers get groups earlier than in order of arrival", () => {
  const planned = play("plan");
  const arrived = play("arrival");
  const mean = ({ groupDoneMs }: Played): number =>
    groupDoneMs.reduce((sum, each) => sum + each, 0) / GROUPS;
  assert.ok(
    mean(planned) < mean(arrived) - CALL_MS,
    `${mean(planned)} and ${mean(arrived)} ms`,
  );
  assert.ok(planned.peak <= SLOTS * 2 / 3);
});
