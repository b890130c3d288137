import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Address,
  type FleetUpstream,
  MemoryEventLog,
  SeededRandom,
  VirtualClock,
} from "#core";
import { IsolationCheck } from "./isolation_check.ts";

function upstreamIn(zone: string, port: number): FleetUpstream {
  const address = { host: "10.0.0.1", port };
  return { id: `u${port}`, zone, address } as FleetUpstream;
}

class Site {
  readonly clock = new VirtualClock();
  readonly events = new MemoryEventLog();
  readonly tried: Address[] = [];
  silentMs = 0;
  reachable = new Set<number>();
  upstreams: readonly FleetUpstream[] = [
    upstreamIn("here", 1),
    ...[2, 3, 4, 5, 6].map((port) => upstreamIn("there", port)),
  ];
  readonly check = new IsolationCheck({
    zone: "here",
    clock: this.clock,
    random: new SeededRandom(3),
    events: this.events,
    silentMs: () => this.silentMs,
    upstreams: () => this.upstreams,
    canConnect: (address) => {
      this.tried.push(address);
      return Promise.resolve(this.reachable.has(address.port));
    },
  });
}

test("a VM that follows a control VM tries no connection and is not isolated", async () => {
  const site = new Site();
  await site.check.check();
  assert.equal(site.tried.length, 0);
  assert.equal(site.check.isIsolated, false);
});

test("a VM without control that reaches no upstream of another zone is isolated until it follows again", async () => {
  const site = new Site();
  site.silentMs = 1_000;
  site.reachable = new Set([1]);
  await site.check.check();
  assert.equal(site.check.isIsolated, true);
  site.silentMs = 0;
  assert.equal(site.check.isIsolated, false);
  await site.check.check();
  const codes = site.events.records().map((each) => each.event.code);
  assert.deepEqual(codes, [1418, 1419]);
});

test("while control is lost everywhere, a VM that reaches another zone stays ready", async () => {
  const site = new Site();
  site.silentMs = 5_000;
  site.reachable = new Set([2, 3, 4, 5, 6]);
  await site.check.check();
  assert.equal(site.check.isIsolated, false);
});

test("one upstream that is down by itself does not make a VM isolated", async () => {
  const site = new Site();
  site.silentMs = 5_000;
  site.reachable = new Set([3, 4, 5, 6]);
  for (let round = 0; round < 20; round += 1) {
    await site.check.check();
    assert.equal(site.check.isIsolated, false);
  }
});

test("a VM that knows no upstream of another zone stays ready", async () => {
  const site = new Site();
  site.silentMs = 5_000;
  site.upstreams = [upstreamIn("here", 1)];
  await site.check.check();
  assert.equal(site.check.isIsolated, false);
});
