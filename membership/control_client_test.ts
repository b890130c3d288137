import assert from "node:assert/strict";
import { test } from "node:test";
import {
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  EMPTY_BOARD,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
  SeededRandom,
  VirtualClock,
} from "#core";
import { type MemoryEndpoint, MemoryNetwork } from "#wire";
import { ControlClient } from "./control_client.ts";
import { serveControl } from "./control_server.ts";
import { VmDirectory } from "./vm_directory.ts";

const CONTROLS = ["control-a1", "control-b1", "control-c1"];
const MAXIMUM_SEARCH_MS: Milliseconds = 3_500;
const MAXIMUM_REJECTION_MS: Milliseconds = 1_000;

class ControlGroup {
  readonly clock = new VirtualClock(10_000);
  readonly network = new MemoryNetwork({
    clock: this.clock,
    random: new SeededRandom(3),
  });
  readonly client: ControlClient;
  leader: string | null = "control-a1";
  commits = 0;

  constructor() {
    for (const name of CONTROLS) this.#serve(this.network.join(name), name);
    const seeds = CONTROLS.map((name) => ({
      name,
      zone: name.slice(-2, -1),
      role: "control" as const,
      peer: { host: "127.0.0.1", port: 1 },
    }));
    this.client = new ControlClient({
      board: new Blackboard<BoardSections>(EMPTY_BOARD, BOARD_WRITERS),
      directory: new VmDirectory({ seeds, bundle: () => null }),
      network: this.network.join("entry-a1"),
      clock: this.clock,
    });
  }

  /** Proposes a command; returns the result and the virtual time until it arrived. */
  async propose(): Promise<{
    readonly result: Result<unknown, Failure>;
    readonly elapsedMs: Milliseconds;
  }> {
    const startedAtMs = this.clock.nowMs();
    let result: Result<unknown, Failure> | undefined;
    this.client.propose({ machine: "claims", command: {} }).then((value) => {
      result = value;
    });
    while (result === undefined) await this.clock.advanceAsync(10);
    return { result, elapsedMs: this.clock.nowMs() - startedAtMs };
  }

  #serve(network: MemoryEndpoint, name: string): void {
    serveControl({
      network,
      status: () => ({
        vm: name,
        zone: "a",
        role: "control",
        ready: true,
        bundleVersion: null,
        bundleDigest: null,
        leader: this.leader,
      }),
      log: {
        propose: () => Promise.resolve(this.#commit(name)),
        query: () => Promise.resolve(this.#commit(name)),
      },
    });
  }

  #commit(name: string): Result<unknown, Failure> {
    if (name !== this.leader) return Err(fail("not_leader", name));
    this.commits += 1;
    return Ok(this.commits);
  }
}

test("after a change of leader the first call searches once and the next call does not search", async () => {
  const group = new ControlGroup();
  assert.equal((await group.propose()).result.ok, true);
  group.leader = "control-c1";
  const moved = await group.propose();
  assert.equal(moved.result.ok, true);
  assert.equal(moved.elapsedMs < MAXIMUM_SEARCH_MS, true);
  const next = await group.propose();
  assert.equal(next.elapsedMs <= 10, true);
});

test("a partitioned leader is replaced by the new one within one attempt timeout and one search", async () => {
  const group = new ControlGroup();
  await group.propose();
  group.network.blockLink("entry-a1", "control-a1");
  group.leader = "control-b1";
  const moved = await group.propose();
  assert.equal(moved.result.ok, true);
  assert.equal(moved.elapsedMs < MAXIMUM_SEARCH_MS, true);
});

test("without a leader the first call searches and later calls are rejected at once as not run", async () => {
  const group = new ControlGroup();
  await group.propose();
  group.leader = null;
  const first = await group.propose();
  assert.equal(first.result.ok, false);
  const second = await group.propose();
  assert.equal((second.result.val as Failure).kind, "no_quorum");
  assert.equal((second.result.val as Failure).ran, "no");
  assert.equal((second.result.val as Failure).retryAfterMs, 2_000);
  assert.equal(second.elapsedMs < MAXIMUM_REJECTION_MS, true);
});

test("a proposal whose reply is lost has an unknown outcome and is not rejected", async () => {
  const group = new ControlGroup();
  await group.propose();
  for (const name of CONTROLS) group.network.blockLink(name, "entry-a1");
  const lost = await group.propose();
  assert.equal((lost.result.val as Failure).kind, "outcome_unknown");
  assert.equal((lost.result.val as Failure).ran, "unknown");
});
