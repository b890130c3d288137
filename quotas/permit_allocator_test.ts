import assert from "node:assert/strict";
import { test } from "node:test";
import { PermitAllocator } from "./permit_allocator.ts";
import type { PermitRequest } from "./permit_messages.ts";
import type { PermitDecision } from "./service_permits.ts";

function createRequest(change: Partial<PermitRequest> = {}): PermitRequest {
  return {
    kind: "permits",
    service: "s",
    waiting: 1,
    expected: 0,
    priority: 1,
    patienceMs: 10_000,
    ...change,
  };
}

/** An allocator whose buckets are empty at the start, with the decisions in the order in which they were made. */
class TestAllocator {
  readonly decisions: { readonly name: string; readonly granted: number }[] =
    [];
  readonly retries = new Map<string, number>();
  limits: ReadonlyMap<string, number> = new Map([["u:1", 1]]);
  readonly allocator = new PermitAllocator({ limitsOf: () => this.limits });

  ask(name: string, change: Partial<PermitRequest>, nowMs: number): void {
    const settle = (decision: PermitDecision): void => {
      let granted = 0;
      for (const { count } of decision.grants) granted += count;
      this.decisions.push({ name, granted });
      this.retries.set(name, Math.round(decision.retryAfterMs));
    };
    this.allocator.request(createRequest(change), { nowMs, settle });
  }

  advanceUntil(untilMs: number): void {
    for (let nowMs = 0; nowMs <= untilMs; nowMs += 50) {
      this.allocator.advance(nowMs);
    }
  }

  names(): readonly string[] {
    return this.decisions.map((each) => each.name);
  }
}

test("waiting requests get permits by priority, then in order of arrival", () => {
  const site = new TestAllocator();
  site.ask("later", { priority: 2 }, 0);
  site.ask("first", { priority: 1 }, 0);
  site.ask("second", { priority: 1 }, 0);
  site.ask("urgent", { priority: 0 }, 0);
  site.advanceUntil(4_500);
  assert.deepEqual(site.names(), ["urgent", "first", "second", "later"]);
});

test("a request whose turn does not come in time is rejected at once, with the time until it would", () => {
  const site = new TestAllocator();
  for (const name of ["a", "b"]) site.ask(name, {}, 0);
  site.ask("impatient", { patienceMs: 100 }, 0);
  assert.deepEqual(site.decisions, [{ name: "impatient", granted: 0 }]);
  assert.equal(site.retries.get("impatient"), 3_000);
});

test("permits for expected requests leave half of a bucket to those that wait", () => {
  const site = new TestAllocator();
  site.limits = new Map([["u:1", 8]]);
  site.ask("fill", { waiting: 0 }, 0);
  site.ask("ahead", { waiting: 0, expected: 100 }, 10_000);
  site.ask("waiting", { waiting: 100 }, 10_000);
  assert.deepEqual(site.decisions.slice(1), [
    { name: "ahead", granted: 3 },
    { name: "waiting", granted: 4 },
  ]);
});

test("an upstream that named a limit of none is asked now and then whether that still holds", () => {
  const site = new TestAllocator();
  site.limits = new Map([["u:1", 0]]);
  site.ask("only", {}, 0);
  site.advanceUntil(6_000);
  assert.deepEqual(site.decisions, [{ name: "only", granted: 1 }]);
});

test("a limit that has ended needs no permits, and a changed one counts from its change", () => {
  const site = new TestAllocator();
  site.ask("at one", {}, 0);
  site.limits = new Map([["u:1", 10]]);
  site.advanceUntil(200);
  assert.deepEqual(site.decisions, [{ name: "at one", granted: 1 }]);
  site.limits = new Map();
  site.ask("ended", {}, 1_000);
  assert.deepEqual(site.decisions.at(-1), { name: "ended", granted: 0 });
  assert.equal(site.retries.get("ended"), 0);
});

test("permits are drawn from all upstreams in proportion to their limits", () => {
  const site = new TestAllocator();
  site.limits = new Map([["small:1", 2], ["large:1", 6]]);
  const counts = new Map<string, number>();
  for (let nowMs = 0; nowMs <= 10_000; nowMs += 100) {
    site.allocator.request(createRequest(), {
      nowMs,
      settle: ({ grants }) => {
        for (const { incarnation, count } of grants) {
          counts.set(incarnation, (counts.get(incarnation) ?? 0) + count);
        }
      },
    });
    site.allocator.advance(nowMs);
  }
  const ratio = (counts.get("large:1") ?? 0) / (counts.get("small:1") ?? 1);
  assert.ok(ratio > 2.5 && ratio < 3.5, `ratio ${ratio}`);
});
