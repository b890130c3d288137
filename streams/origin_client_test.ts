import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Milliseconds,
  SECOND_MS,
  SeededRandom,
  VirtualClock,
} from "#core";
import { serveControlRequests } from "#membership";
import { MemoryNetwork } from "#wire";
import { OriginClient } from "./origin_client.ts";
import { OriginServer } from "./origin_server.ts";
import type { OriginAnswer } from "./stream_origins.ts";

const VOTERS = ["c1", "c2", "c3"];
const ORIGIN = { service: "s", softwareVersion: "v1" };
const RETENTION_MS: Milliseconds = 10 * SECOND_MS;

/** Three control VMs and entry VMs. */
class Setup {
  readonly clock = new VirtualClock();
  readonly network = new MemoryNetwork({
    clock: this.clock,
    random: new SeededRandom(1),
  });

  constructor() {
    for (const vm of VOTERS) this.startControl(vm);
  }

  startControl(vm: string): void {
    const { clock } = this;
    const server = new OriginServer({ clock, epoch: `${vm}-${clock.nowMs()}` });
    serveControlRequests(this.network.join(vm), [server]);
  }

  startEntry(vm: string): OriginClient {
    return new OriginClient({
      network: this.network.join(vm),
      clock: this.clock,
      voters: () => VOTERS,
      controlVms: () => [],
    });
  }

  async find(entry: OriginClient, attempt: string): Promise<OriginAnswer> {
    const found = entry.find(attempt);
    await this.clock.advanceAsync(SECOND_MS);
    return await found;
  }
}

test("a stream is known to a VM that starts later, though one control VM of those that were told is lost", async () => {
  const setup = new Setup();
  setup.startEntry("e1").note("a", ORIGIN, RETENTION_MS);
  await setup.clock.advanceAsync(10);
  for (const lost of VOTERS) {
    setup.network.leave(lost);
    const answer = await setup.find(setup.startEntry(`after-${lost}`), "a");
    assert.equal(answer.kind, "known", lost);
    setup.startControl(lost);
    await setup.clock.advanceAsync(2 * SECOND_MS);
  }
});

test("all control VMs that start again are told once more what can still be taken up", async () => {
  const setup = new Setup();
  setup.startEntry("e1").note("a", ORIGIN, RETENTION_MS);
  await setup.clock.advanceAsync(10);
  for (const vm of VOTERS) setup.startControl(vm);
  const early = await setup.find(setup.startEntry("e2"), "a");
  assert.equal(early.kind, "unknown");
  await setup.clock.advanceAsync(2 * SECOND_MS);
  const late = await setup.find(setup.startEntry("e3"), "a");
  assert.equal(late.kind, "known");
});

test("a stream that nobody was told of is unknown, and may become known only if a control VM did not reply", async () => {
  const setup = new Setup();
  const entry = setup.startEntry("e1");
  const unknown = await setup.find(entry, "a");
  assert.ok(unknown.kind === "unknown" && !unknown.mayBecomeKnown);
  setup.network.leave("c2");
  const silent = await setup.find(entry, "a");
  assert.ok(silent.kind === "unknown" && silent.mayBecomeKnown);
});
