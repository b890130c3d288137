import assert from "node:assert/strict";
import { test } from "node:test";
import { type FleetUpstream, incarnationOf } from "#core";
import { CrashLedger } from "#membership";
import { IsolatedRuns } from "./isolated_runs.ts";
import type { IsolationDecision } from "./isolation_messages.ts";

/** Suspects and the upstreams of one service. */
class Setup {
  readonly crashes = new CrashLedger();
  readonly upstreams: FleetUpstream[] = [];
  readonly runs = new IsolatedRuns({
    crashes: this.crashes,
    upstreamsOf: () => this.upstreams,
  });
  nowMs = 0;

  constructor(copies: number) {
    for (let at = 0; at < copies; at += 1) this.start(at);
  }

  /** Starts an upstream, also again as another incarnation. */
  start(at: number): void {
    const bornMs = (this.upstreams[at]?.bornMs ?? 0) + 1;
    this.upstreams[at] = {
      id: `u${at}`,
      bornMs,
      sequence: 1,
      service: "s",
      zone: `z${at}`,
      address: { host: "10.0.0.1", port: at },
      slots: 6,
      phase: "ready",
      serves: [],
    };
  }

  /** Lets an upstream crash under calls. */
  crash(at: number, digests: readonly string[]): void {
    const upstream = this.upstreams[at];
    if (upstream === undefined) throw new Error(`no upstream ${at}`);
    for (const digest of digests) {
      const call = { digest, bodyBytes: 4 };
      this.crashes.recordCrash(call, incarnationOf(upstream), this.nowMs);
    }
  }

  /** Asks for a run; the result is empty until there is a decision. */
  ask(digest: string, patienceMs = 500): IsolationDecision[] {
    const decisions: IsolationDecision[] = [];
    this.runs.request({
      kind: "isolated_run",
      digest,
      service: "s",
      zone: "z2",
      tried: [],
      patienceMs,
      record: null,
    }, { nowMs: this.nowMs, settle: (each) => decisions.push(each) });
    return decisions;
  }
}

test("suspects of three upstreams run one after the other, and not beside each other", () => {
  const setup = new Setup(3);
  setup.crash(0, ["a", "b"]);
  const first = setup.ask("a");
  const second = setup.ask("b");
  assert.deepEqual(first, [{ kind: "granted", incarnation: "u2:1" }]);
  assert.deepEqual(second, []);
  setup.runs.end("a", "u2:1", 40);
  assert.deepEqual(second, [{ kind: "granted", incarnation: "u2:1" }]);
});

test("a suspect is not sent to the last upstream that is up, and runs once another one has started", () => {
  const setup = new Setup(3);
  setup.crash(0, ["a", "x"]);
  setup.crash(1, ["x"]);
  const decisions = setup.ask("a");
  assert.equal(decisions.length, 0);
  setup.start(0);
  setup.runs.advance(100);
  assert.equal(decisions[0]?.kind, "granted");
});

test("a call that ran alone at an upstream that crashed waits until most of the service is up, and one that did not runs", () => {
  const setup = new Setup(3);
  setup.crash(0, ["a"]);
  const alone = setup.ask("a");
  assert.equal(alone.length, 0);
  setup.crash(0, ["b"]);
  setup.runs.advance(10);
  assert.equal(alone[0]?.kind, "granted");
});

test("a call under which two upstreams crashed waits until most of the service is up", () => {
  const setup = new Setup(3);
  setup.crash(0, ["a"]);
  setup.crash(1, ["a"]);
  setup.start(0);
  const decisions = setup.ask("a");
  assert.equal(decisions.length, 0);
  setup.start(1);
  setup.runs.advance(100);
  assert.equal(decisions[0]?.kind, "granted");
});

test("of two requests for the same call one runs at a time, and after the third crash none", () => {
  const setup = new Setup(8);
  setup.crash(0, ["a"]);
  setup.crash(1, ["a"]);
  const first = setup.ask("a");
  const second = setup.ask("a");
  assert.equal(first[0]?.kind, "granted");
  assert.deepEqual(second, []);
  setup.crash(2, ["a"]);
  setup.runs.advance(10);
  assert.deepEqual(second, [{ kind: "blocked" }]);
  assert.deepEqual(setup.ask("a"), [{ kind: "blocked" }]);
});

test("a suspect is rejected when its patience ends, and its run counts no longer than a second", () => {
  const setup = new Setup(2);
  setup.crash(0, ["x"]);
  setup.start(0);
  assert.equal(setup.ask("a")[0]?.kind, "granted");
  const rejected = setup.ask("b", 200);
  setup.runs.advance(200);
  assert.equal(rejected[0]?.kind, "rejected");
  const granted = setup.ask("c", 2_000);
  assert.equal(setup.runs.nextDelayMs(200), 800);
  setup.runs.advance(1_000);
  assert.equal(granted[0]?.kind, "granted");
});

test("the only upstream of a service runs a suspect", () => {
  const setup = new Setup(1);
  setup.crash(0, ["a"]);
  setup.start(0);
  assert.equal(setup.ask("a")[0]?.kind, "granted");
});

test("a call with fewer crashes runs before one with more", () => {
  const setup = new Setup(3);
  setup.crash(0, ["a", "x"]);
  setup.crash(1, ["a", "x"]);
  setup.start(0);
  setup.start(1);
  assert.equal(setup.ask("y")[0]?.kind, "granted");
  const likely = setup.ask("a");
  setup.crash(2, ["b"]);
  setup.start(2);
  const bystander = setup.ask("b");
  setup.runs.end("y", "u2:1", 50);
  assert.equal(bystander[0]?.kind, "granted");
  assert.deepEqual(likely, []);
});
