import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type FleetNode,
  type FleetUpstream,
  MemoryEventLog,
  SeededRandom,
  VirtualClock,
} from "#core";
import type { UpstreamDialect, UpstreamHttp } from "#requests";
import { MemoryNetwork } from "#wire";
import type { ItemRunOptions, RunOutcome } from "./item_run.ts";
import { type RemoteOutcome, RemoteRuns } from "./remote_runs.ts";
import { RunHost } from "./run_host.ts";
import { chooseRunHost } from "./run_host_choice.ts";
import type { HostedEvent } from "./run_host_messages.ts";

const ENGINE = { id: "e", zone: "z1" } as FleetUpstream;

interface Execution {
  readonly options: ItemRunOptions;
  readonly end: (outcome: RunOutcome) => void;
}

class Site {
  readonly clock = new VirtualClock();
  readonly network = new MemoryNetwork({
    clock: this.clock,
    random: new SeededRandom(3),
  });
  readonly executions: Execution[] = [];
  readonly remote = new RemoteRuns({
    network: this.network.join("leader"),
    clock: this.clock,
    events: new MemoryEventLog(),
    random: new SeededRandom(4),
  });
  readonly host = new RunHost({
    network: this.network.join("host"),
    clock: this.clock,
    dialect: {} as UpstreamDialect,
    http: {} as UpstreamHttp,
    execute: (options) =>
      new Promise((end) => this.executions.push({ options, end })),
  });
  readonly events: HostedEvent[] = [];
  readonly outcomes: RemoteOutcome[] = [];
  readonly abort = new AbortController();

  constructor() {
    this.host.start();
  }

  async start(single = false): Promise<Execution> {
    this.remote.run("host", {
      order: {
        upstream: ENGINE,
        host: "h",
        item: { id: "x", target: "/a", headers: [], body: new Uint8Array(1) },
        afterEvent: 4,
        versions: { minimum: 2, single, used: [] },
      },
      signal: this.abort.signal,
      onEvent: (event) => this.events.push(event),
      onLeaving: () => {},
    }).then((outcome) => this.outcomes.push(outcome));
    await this.clock.advanceAsync(20);
    const execution = this.executions.at(-1);
    assert.ok(execution !== undefined);
    return execution;
  }
}

test("a leader gets the events of a run on a host in order, with the pace of the engine, and then its outcome", async () => {
  const site = new Site();
  const { options, end } = await site.start();
  assert.equal(options.afterEvent, 4);
  for (let id = 5; id < 45; id += 1) {
    options.onEvent({ id, data: `d${id}`, version: 2 });
    await site.clock.advanceAsync(39);
  }
  end({ kind: "complete" });
  await site.clock.advanceAsync(200);
  assert.deepEqual(
    site.events.map((each) => each.id),
    Array.from({ length: 40 }, (_, at) => at + 5),
  );
  assert.ok(site.events.slice(1).every((each) => each.intervalMs === 39));
  assert.deepEqual(site.outcomes, [{ kind: "complete" }]);
});

test("a host refuses versions that may not generate the text", async () => {
  const site = new Site();
  const { options } = await site.start(true);
  assert.equal(options.allowsVersion(1), false);
  assert.equal(options.allowsVersion(2), true);
  options.onEvent({ id: 5, data: "a", version: 2 });
  assert.equal(options.allowsVersion(3), false);
});

test("a run that the leader cancels is cancelled on its host", async () => {
  const site = new Site();
  const { options } = await site.start();
  site.abort.abort();
  await site.clock.advanceAsync(600);
  assert.equal(options.signal.aborted, true);
});

test("a host that does not reply fails its runs within a second, gets none for some time, and cancels them itself", async () => {
  const site = new Site();
  const { options } = await site.start();
  assert.equal(site.remote.isUsable("host"), true);
  site.network.blockLink("leader", "host");
  site.network.blockLink("host", "leader");
  await site.clock.advanceAsync(500);
  assert.equal(site.remote.isLate("host"), true);
  await site.clock.advanceAsync(500);
  assert.equal(site.outcomes[0]?.kind, "host_failed");
  assert.equal(site.remote.isUsable("host"), false);
  await site.clock.advanceAsync(1_500);
  assert.equal(options.signal.aborted, true);
  await site.clock.advanceAsync(2_000);
  assert.equal(site.remote.isUsable("host"), true);
});

test("a new leadership of the same VM cancels the runs of the one before", async () => {
  const site = new Site();
  const first = await site.start();
  site.remote.startSession();
  await site.start();
  assert.equal(first.options.signal.aborted, true);
});

test("an engine's items run on one VM of its zone that holds no replica and is not retired, or on the leader", () => {
  const nodes = [1, 2, 3, 4, 5, 6].map((number) => ({
    vm: `s${number}`,
    role: "store",
    zone: number < 6 ? "z1" : "z2",
    hostsRuns: number !== 5,
  })) as unknown as readonly FleetNode[];
  const choose = (
    usable: readonly string[],
    engine = ENGINE,
  ): string | undefined =>
    chooseRunHost({
      engine,
      nodes,
      replicas: ["s1"],
      retiring: ["s2"],
      isUsable: (vm) => usable.includes(vm),
    });
  const all = nodes.map((node) => node.vm);
  const chosen = choose(all);
  assert.ok(chosen === "s3" || chosen === "s4");
  assert.equal(choose([...all].reverse()), chosen);
  const other = choose(all.filter((vm) => vm !== chosen));
  assert.ok(other !== undefined && other !== chosen);
  assert.equal(choose(["s1", "s2", "s5", "s6"]), undefined);
  const used = new Set<string | undefined>();
  for (let engine = 0; engine < 20; engine += 1) {
    used.add(choose(all, { ...ENGINE, id: `i-${engine}` }));
  }
  assert.equal(used.size, 2, "engines are spread");
});
