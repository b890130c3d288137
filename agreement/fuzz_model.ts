/**
 * Stateful fuzzing of the replicated log: runs random commands and faults on a simulated group and checks
 * the results against the list of commands that its oracle expects.
 *
 * @module
 */
import assert from "node:assert/strict";
import fc from "fast-check";
import { match } from "ts-pattern";
import type { Milliseconds } from "#core";
import { SimulatedGroup, type SimulatedVm } from "./simulated_group.ts";
import type { LogTiming } from "./timing.ts";

/** Time within which a group must commit again after all faults have ended. */
export const PROGRESS_LIMIT_MS: Milliseconds = 10_000;
/** Time within which every replica must be up to date after that commit. */
export const CONVERGENCE_LIMIT_MS: Milliseconds = 20_000;

/** Time after which the outcome of every earlier proposal is known. */
const SETTLE_MS: Milliseconds = 2_000;
const WATCH_INTERVAL_MS: Milliseconds = 25;
const POLL_INTERVAL_MS: Milliseconds = 100;
const MAXIMUM_STEPS = 24;
/** VM numbers are taken modulo the size of the group. */
const MAXIMUM_VM_NUMBER = 9;
const VOTERS = ["a", "b", "c"];
const ADDITIONAL_VOTERS = ["e", "f"];
const SPARES = ["d"];

/** A command or fault. VM numbers are taken modulo the size of the group. */
export type FuzzStep =
  | { readonly kind: "propose"; readonly count: number }
  | { readonly kind: "proposeAt"; readonly vm: number }
  | { readonly kind: "query" }
  | { readonly kind: "wait"; readonly ms: Milliseconds }
  | { readonly kind: "watch"; readonly times: number }
  | { readonly kind: "cut"; readonly from: number; readonly to: number }
  | { readonly kind: "isolate"; readonly vm: number; readonly way: Direction }
  | { readonly kind: "heal" }
  | { readonly kind: "links"; readonly drop: number; readonly double: number }
  | { readonly kind: "freeze"; readonly vm: number }
  | { readonly kind: "freezeLeader" }
  | { readonly kind: "thaw"; readonly vm: number }
  | { readonly kind: "crash"; readonly vm: number }
  | {
    readonly kind: "crashAtSync";
    readonly vm: number;
    readonly syncs: number;
  }
  | { readonly kind: "stop"; readonly vm: number }
  | { readonly kind: "start"; readonly vm: number; readonly first: boolean }
  | { readonly kind: "loseDisk"; readonly vm: number }
  | { readonly kind: "fillDisk"; readonly vm: number; readonly full: boolean }
  | { readonly kind: "breakDisk"; readonly vm: number }
  | { readonly kind: "move"; readonly peers: readonly string[] };

type Direction = "in" | "out" | "both";

const vmNumber = fc.nat({ max: MAXIMUM_VM_NUMBER });

function step<Kind extends FuzzStep["kind"], Fields extends object>(
  kind: Kind,
  fields: { [Name in keyof Fields]: fc.Arbitrary<Fields[Name]> },
): fc.Arbitrary<{ kind: Kind } & Fields> {
  return fc.record({ kind: fc.constant(kind), ...fields }, {
    noNullPrototype: true,
  }) as unknown as fc.Arbitrary<{ kind: Kind } & Fields>;
}

const stepArbitrary: fc.Arbitrary<FuzzStep> = fc.oneof(
  {
    weight: 6,
    arbitrary: step("propose", { count: fc.integer({ min: 1, max: 12 }) }),
  },
  { weight: 2, arbitrary: step("proposeAt", { vm: vmNumber }) },
  { weight: 4, arbitrary: step("query", {}) },
  {
    weight: 6,
    arbitrary: step("wait", { ms: fc.integer({ min: 1, max: 40 }) }),
  },
  {
    weight: 6,
    arbitrary: step("wait", { ms: fc.integer({ min: 200, max: 3_000 }) }),
  },
  {
    weight: 2,
    arbitrary: step("watch", { times: fc.integer({ min: 10, max: 50 }) }),
  },
  { weight: 2, arbitrary: step("cut", { from: vmNumber, to: vmNumber }) },
  {
    weight: 2,
    arbitrary: step("isolate", {
      vm: vmNumber,
      way: fc.constantFrom<Direction>("in", "out", "both"),
    }),
  },
  { weight: 2, arbitrary: step("heal", {}) },
  {
    weight: 2,
    arbitrary: step("links", {
      drop: fc.constantFrom(0, 0.1, 0.3),
      double: fc.constantFrom(0, 0.3),
    }),
  },
  { weight: 1, arbitrary: step("freeze", { vm: vmNumber }) },
  { weight: 2, arbitrary: step("freezeLeader", {}) },
  { weight: 2, arbitrary: step("thaw", { vm: vmNumber }) },
  { weight: 2, arbitrary: step("crash", { vm: vmNumber }) },
  {
    weight: 3,
    arbitrary: step("crashAtSync", { vm: vmNumber, syncs: fc.nat({ max: 8 }) }),
  },
  { weight: 1, arbitrary: step("stop", { vm: vmNumber }) },
  {
    weight: 5,
    arbitrary: step("start", { vm: vmNumber, first: fc.boolean() }),
  },
  { weight: 2, arbitrary: step("loseDisk", { vm: vmNumber }) },
  {
    weight: 2,
    arbitrary: step("fillDisk", { vm: vmNumber, full: fc.boolean() }),
  },
  { weight: 1, arbitrary: step("breakDisk", { vm: vmNumber }) },
);

const membershipArbitrary: fc.Arbitrary<FuzzStep> = step("move", {
  peers: fc.constantFrom(
    ["a", "b", "c"],
    ["a", "b", "d"],
    ["a", "c", "d"],
    ["b", "c", "d"],
    ["a", "b", "c", "d"],
  ),
});

/** Wraps a step as a fast-check command; the oracle checks continuously while it runs. */
class StepCommand implements fc.AsyncCommand<object, SimulatedGroup> {
  readonly #step: FuzzStep;

  constructor(step: FuzzStep) {
    this.#step = step;
  }

  check(): boolean {
    return true;
  }

  async run(_model: object, group: SimulatedGroup): Promise<void> {
    await runStep(group, this.#step);
  }

  toString(): string {
    return JSON.stringify(this.#step);
  }
}

/** Executes one step. */
export async function runStep(
  group: SimulatedGroup,
  step: FuzzStep,
): Promise<void> {
  await match(step)
    .with({ kind: "propose" }, ({ count }) => {
      const leader = leaderVm(group);
      for (let left = count; left > 0; left -= 1) group.propose(leader);
    })
    .with({ kind: "proposeAt" }, (each) => group.propose(group.vm(each.vm)))
    .with({ kind: "query" }, () => {
      for (const each of group.vms) group.query(each);
    })
    .with({ kind: "wait" }, ({ ms }) => group.run(ms))
    .with({ kind: "watch" }, ({ times }) => queryLeaders(group, times))
    .with({ kind: "cut" }, ({ from, to }) => {
      group.network.blockLink(group.vm(from).name, group.vm(to).name);
    })
    .with({ kind: "isolate" }, (each) => isolate(group, each))
    .with({ kind: "heal" }, () => group.network.restoreLinks())
    .with({ kind: "links" }, ({ drop, double }) => {
      group.network.links = {
        minimumDelayMs: 0.5,
        maximumDelayMs: drop > 0 ? 60 : 2,
        dropChance: drop,
        duplicateChance: double,
      };
    })
    .with({ kind: "freeze" }, (each) => group.pause(group.vm(each.vm)))
    .with({ kind: "freezeLeader" }, () => group.pause(leaderVm(group)))
    .with({ kind: "thaw" }, (each) => {
      group.resume(group.vm(each.vm));
      for (const every of group.vms) group.query(every);
    })
    .with({ kind: "crash" }, (each) => group.crash(group.vm(each.vm)))
    .with(
      { kind: "crashAtSync" },
      (each) => group.crashAtSync(group.vm(each.vm), each.syncs),
    )
    .with({ kind: "stop" }, (each) => group.stop(group.vm(each.vm)))
    .with(
      { kind: "start" },
      (each) => group.start(group.vm(each.vm), each.first),
    )
    .with({ kind: "loseDisk" }, (each) => {
      const lost = group.vm(each.vm);
      if (!group.canLoseDisk(lost)) return;
      group.loseDisk(lost);
      group.start(lost);
    })
    .with({ kind: "fillDisk" }, (each) => {
      group.vm(each.vm).disk.full = each.full;
    })
    .with({ kind: "breakDisk" }, (each) => {
      group.vm(each.vm).disk.failsNextChange = true;
    })
    .with({ kind: "move" }, ({ peers }) => {
      group.peers = peers;
    })
    .exhaustive();
}

/** Writes and reads continuously, to detect a leader that acts for too long. */
async function queryLeaders(
  group: SimulatedGroup,
  times: number,
): Promise<void> {
  for (let left = times; left > 0; left -= 1) {
    group.propose(leaderVm(group));
    for (const each of group.vms) {
      if (each.process?.log.status().role === "leader") group.query(each);
    }
    await group.run(WATCH_INTERVAL_MS);
  }
}

/** Ends all faults, then checks that the group commits and that every replica is up to date. */
export async function checkRecovery(group: SimulatedGroup): Promise<void> {
  group.clearFaults();
  const before = group.oracle.acknowledgedCount;
  await waitFor(group, {
    what: "a commit",
    limitMs: PROGRESS_LIMIT_MS,
    check: () => {
      if (group.oracle.acknowledgedCount > before) return true;
      group.propose(leaderVm(group));
      return false;
    },
  });
  await group.run(SETTLE_MS);
  await waitFor(group, {
    what: "equal replicas",
    limitMs: CONVERGENCE_LIMIT_MS,
    check: () => isConverged(group),
  });
  for (const each of group.vms) group.query(each);
  await group.run(POLL_INTERVAL_MS);
  for (const each of controlVms(group)) {
    group.oracle.checkComplete(each.process?.machine.items ?? []);
  }
}

/** Runs the model; a failure reports the seed and the shrunk commands. */
export async function fuzzLog(
  options: {
    readonly seed: number;
    readonly runs: number;
    /** Whether the set of control VMs also changes. */
    readonly changesVoters: boolean;
    /** Whether the group has five voters instead of three. */
    readonly fiveVoters?: boolean;
    readonly timing?: LogTiming;
  },
): Promise<void> {
  const steps = options.changesVoters
    ? [stepArbitrary, membershipArbitrary, stepArbitrary]
    : [stepArbitrary];
  const commands = fc.commands(
    steps.map((each) => each.map((step) => new StepCommand(step))),
    { maxCommands: MAXIMUM_STEPS, size: "max" },
  );
  const spares = options.changesVoters ? SPARES : [];
  const vms = options.fiveVoters === true
    ? [...VOTERS, ...ADDITIONAL_VOTERS]
    : VOTERS;
  const property = fc.asyncProperty(
    fc.nat(),
    commands,
    async (seed, steps) => {
      const { timing } = options;
      const group = new SimulatedGroup({ seed, vms, spares, timing });
      await group.startAll();
      await fc.asyncModelRun(() => ({ model: {}, real: group }), steps);
      await checkRecovery(group);
    },
  );
  await fc.assert(property, {
    seed: options.seed,
    numRuns: options.runs,
    includeErrorInReport: true,
  });
}

async function waitFor(
  group: SimulatedGroup,
  goal: {
    readonly what: string;
    readonly limitMs: Milliseconds;
    readonly check: () => boolean;
  },
): Promise<void> {
  const untilMs = group.clock.nowMs() + goal.limitMs;
  while (!goal.check()) {
    const state = group.vms.map((each) => each.process?.log.status());
    assert.ok(
      group.clock.nowMs() < untilMs,
      `timed out waiting for ${goal.what}: ${JSON.stringify(state)}`,
    );
    await group.run(POLL_INTERVAL_MS);
  }
}

function isConverged(group: SimulatedGroup): boolean {
  const statuses = controlVms(group).map((each) => each.process?.log.status());
  const index = statuses[0]?.appliedIndex;
  for (const status of statuses) {
    if (status?.ready !== true || status.appliedIndex !== index) return false;
    if (status.committedIndex !== index) return false;
  }
  const voters = group.settledVoters;
  if (voters.length !== group.peers.length) return false;
  return controlVms(group).every((each) =>
    voters.some((voter) => voter.replica === each.replica)
  );
}

function controlVms(group: SimulatedGroup): readonly SimulatedVm[] {
  return group.vms.filter((each) => group.peers.includes(each.name));
}

function leaderVm(group: SimulatedGroup): SimulatedVm {
  const leader = group.leader();
  return group.vms.find((each) => each.process === leader) ?? group.vm(0);
}

function isolate(
  group: SimulatedGroup,
  step: { readonly vm: number; readonly way: Direction },
): void {
  const { name } = group.vm(step.vm);
  for (const other of group.vms) {
    if (step.way !== "out") group.network.blockLink(other.name, name);
    if (step.way !== "in") group.network.blockLink(name, other.name);
  }
}
