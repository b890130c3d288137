import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { FleetUpstream } from "#core";
import { type PermitDemand, type PermitOutcome, Permits } from "#quotas";
import {
  type Behaviour,
  reset,
  respond,
  send,
  stayUnresponsive,
  untilReached,
  withUpstreams,
} from "./forwarder_test_support.ts";

const UPSTREAM_SLOTS = 4;

/** Permits whose outcome the test sets; none are held. */
class TestPermits extends Permits {
  readonly demands: PermitDemand[] = [];
  used = 0;
  readonly #outcome: () => PermitOutcome;

  constructor(outcome: () => PermitOutcome) {
    super();
    this.#outcome = outcome;
  }

  override available({ requestLimit }: FleetUpstream): number {
    return requestLimit === null ? Infinity : 0;
  }

  override use({ requestLimit }: FleetUpstream): boolean {
    if (requestLimit !== null) this.used += 1;
    return true;
  }

  override acquire(demand: PermitDemand): Promise<PermitOutcome> {
    this.demands.push(demand);
    return Promise.resolve(this.#outcome());
  }

  override noteRequest(): void {}

  override handleFreeSlot(): void {}

  override setBacklog(): void {}
}

/** Permits that the test grants later. */
class DeferredPermits extends TestPermits {
  readonly waiting: ((outcome: PermitOutcome) => void)[] = [];

  constructor() {
    super(() => REJECTED);
  }

  override acquire(demand: PermitDemand): Promise<PermitOutcome> {
    this.demands.push(demand);
    return new Promise((resolve) => this.waiting.push(resolve));
  }
}

const REJECTED: PermitOutcome = { kind: "rejected", retryAfterMs: 700 };

test("a call that gets no permit in time is rejected with the time until there is one", async () => {
  const permits = new TestPermits(() => REJECTED);
  await withUpstreams([respond, respond], async (setup) => {
    const response = await send(setup);
    assert.ok("kind" in response);
    assert.equal(response.kind, "upstream_refused");
    assert.equal(response.ran, "no");
    assert.equal(response.retryAfterMs, 700);
    assert.deepEqual(setup.reached, [0, 0]);
  }, { limits: [1, 1], permits });
  assert.equal(permits.demands[0]?.patienceMs, 100);
  assert.equal(permits.demands[0]?.priority, 1);
});

test("a call waits for a permit rather than behind an upstream whose slots this VM has filled", async () => {
  const limited: FleetUpstream[] = [];
  const permits = new TestPermits(() => {
    const upstream = limited[0];
    return upstream === undefined ? REJECTED : { kind: "granted", upstream };
  });
  await withUpstreams([stayUnresponsive, respond], async (setup) => {
    limited.push(...setup.upstreams.slice(1));
    for (let call = 0; call < UPSTREAM_SLOTS; call += 1) void send(setup);
    assert.equal(permits.demands.length, 0);
    const response = await send(setup);
    assert.ok("status" in response);
    await untilReached(setup, 0, UPSTREAM_SLOTS);
    assert.deepEqual(setup.reached, [UPSTREAM_SLOTS, 1]);
  }, { limits: [null, 1], permits });
});

test("a call that has waited for a permit in vain goes to an upstream without a limit, though its slots are full", async () => {
  const permits = new TestPermits(() => REJECTED);
  await withUpstreams([stayUnresponsive, respond], async (setup) => {
    for (let call = 0; call <= UPSTREAM_SLOTS; call += 1) void send(setup);
    await untilReached(setup, 0, UPSTREAM_SLOTS + 1);
    assert.equal(permits.demands.length, 1);
  }, { limits: [null, 1], permits });
});

test("a call without a response from the only upstream without a limit is hedged with a permit, after the calls that wait for one", async () => {
  const limited: FleetUpstream[] = [];
  const permits = new TestPermits(() => {
    const upstream = limited[0];
    return upstream === undefined ? REJECTED : { kind: "granted", upstream };
  });
  await withUpstreams([stayUnresponsive, respond], async (setup) => {
    limited.push(...setup.upstreams.slice(1));
    const response = send(setup);
    await untilReached(setup, 0);
    setup.clock.advance(90);
    assert.ok("status" in await response);
    assert.deepEqual(setup.reached, [1, 1]);
    const priority = permits.demands[0]?.priority ?? 0;
    assert.ok(priority > 1_000, `priority ${priority}`);
  }, { limits: [null, 1], permits });
});

test("a call at a silent upstream is sent to a limited one before its deadline, though permits for hedges are never left", async () => {
  const limited: FleetUpstream[] = [];
  const permits = new TestPermits(() => {
    const upstream = limited[0];
    const isHedge = (permits.demands.at(-1)?.priority ?? 0) > 1_000;
    if (upstream === undefined || isHedge) return REJECTED;
    return { kind: "granted", upstream };
  });
  await withUpstreams([stayUnresponsive, respond], async (setup) => {
    limited.push(...setup.upstreams.slice(1));
    const response = send(setup);
    await untilReached(setup, 0);
    setup.clock.advance(90);
    await new Promise((resolve) => setImmediate(resolve));
    setup.clock.advance(110);
    assert.ok("status" in await response);
    assert.deepEqual(setup.reached, [1, 1]);
  }, { limits: [null, 1], permits });
});

test("an upstream that has just failed calls is no reason to forgo a permit for another one", async () => {
  const limited: FleetUpstream[] = [];
  const permits = new TestPermits(() => {
    const upstream = limited[0];
    return upstream === undefined ? REJECTED : { kind: "granted", upstream };
  });
  await withUpstreams([reset, respond], async (setup) => {
    limited.push(...setup.upstreams.slice(1));
    assert.ok("status" in await send(setup));
    assert.ok("status" in await send(setup));
    assert.deepEqual(setup.reached, [1, 2]);
  }, { limits: [null, 1], permits });
});

test("a permit that comes after the last attempt that a route allows is not used", async () => {
  const permits = new DeferredPermits();
  const sockets: Socket[] = [];
  const hangs: Behaviour = (request) => sockets.push(request.socket);
  const behaviours = [hangs, stayUnresponsive, respond];
  await withUpstreams(behaviours, async (setup) => {
    void send(setup, { maximumAttempts: 2 });
    await untilReached(setup, 0);
    setup.clock.advance(90);
    assert.equal(permits.waiting.length, 1);
    sockets[0]?.destroy();
    while (permits.waiting.length < 2) await turn();
    const [, second, third] = setup.upstreams;
    assert.ok(second !== undefined && third !== undefined);
    permits.waiting[1]?.({ kind: "granted", upstream: second });
    await untilReached(setup, 1);
    permits.waiting[0]?.({ kind: "granted", upstream: third });
    for (let turns = 0; turns < 50; turns += 1) await turn();
    assert.deepEqual(setup.reached, [1, 1, 0]);
  }, { limits: [null, 1, 1], permits });
});

test("a call that waits for its first permit is not hedged", async () => {
  const permits = new DeferredPermits();
  await withUpstreams([respond, respond], async (setup) => {
    void send(setup);
    setup.clock.advance(90);
    for (let turns = 0; turns < 50; turns += 1) await turn();
    assert.equal(permits.waiting.length, 1);
  }, { limits: [1, 1], permits });
});

function turn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
