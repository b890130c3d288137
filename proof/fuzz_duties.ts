/**
 * Fuzzing of duties that only one VM performs: random faults on a simulated deployment whose control VMs report usage,
 * checked by what the API must never receive.
 *
 * @module
 */
import assert from "node:assert/strict";
import { type Milliseconds, SECOND_MS, SeededRandom } from "#core";
import { type DutyVm, DutyWorld } from "./duty_world.ts";
import type { FuzzOptions } from "./fuzz.ts";

const ENTRIES = 3;
/** Short windows, so that a call is under way at most faults. */
const WINDOW_MS: Milliseconds = 300;
const DUE_MS: Milliseconds = 2 * SECOND_MS;
const TENANTS = ["t1", "t2", "t3"];
const STEP_MS: Milliseconds = 100;
const FAULTY_MS: Milliseconds = 60 * SECOND_MS;
const CALM_MS: Milliseconds = 30 * SECOND_MS;
const CALL_CHANCE = 0.3;
const FAULT_CHANCE = 0.1;
const MAXIMUM_FREEZE_MS: Milliseconds = 10 * SECOND_MS;
const MAXIMUM_CLOCK_STEP_MS: Milliseconds = 20 * SECOND_MS;
/** Time from the settlement of a window to its report. */
const REPORT_MS: Milliseconds = SECOND_MS;

type Fault = (world: DutyWorld, vm: DutyVm) => void;

const FAULTS: readonly Fault[] = [
  (world, vm) => world.kill(vm),
  (world, vm) => world.kill(world.leader() ?? vm),
  (world, vm) => world.freeze(vm),
  (world, vm) => freezeBriefly(world, world.leader() ?? vm),
  (world, vm) => freezeBriefly(world, world.leader() ?? vm),
  (world, vm) => world.cutOff(world.leader() ?? vm),
  (world, vm) => world.cutOff(vm),
  (world, vm) => {
    const fraction = 2 * world.random.fraction() - 1;
    world.stepClock(vm, fraction * MAXIMUM_CLOCK_STEP_MS);
  },
  (world) => {
    world.api.isUp = world.random.below(4) > 0;
  },
  (world) => {
    world.api.lossChance = world.random.below(2) * 0.6;
  },
  (world) => {
    world.api.rejectionChance = world.random.below(2) * 0.5;
  },
];

/** Ends of faults, which are twice as frequent as all faults together, so that there is often a holder. */
const REPAIRS: readonly Fault[] = [
  (world) => restartAll(world),
  (world) => world.heal(),
];

/** How often the faults had the effects that the rules are about. */
export interface DutyFuzzCounts {
  /** Executions that repeated an earlier one. */
  repeats: number;
  /** Runs with calls of more than one VM. */
  changes: number;
}

/** Runs deployments, every second one with an API that checks fencing tokens; throws if one breaks a rule. */
export async function fuzz(options: FuzzOptions): Promise<DutyFuzzCounts> {
  const counts = { repeats: 0, changes: 0 };
  for (let run = 0; run < options.runs; run += 1) {
    const seed = options.seed + run;
    const world = await runFaults(seed);
    const { oracle } = world;
    assert.deepEqual(oracle.violations, [], `seed ${seed}`);
    assert.ok(isUpToDate(world), `seed ${seed}: reports are missing`);
    counts.repeats += oracle.repeats;
    counts.changes += oracle.senders.size > 1 ? 1 : 0;
  }
  return counts;
}

/** Runs one deployment under faults, then without. */
export async function runFaults(seed: number): Promise<DutyWorld> {
  const world = new DutyWorld({
    seed,
    entries: ENTRIES,
    windowMs: WINDOW_MS,
    dueMs: DUE_MS,
    lossChance: 0.02,
  });
  world.api.checksFences = seed % 2 === 0;
  const choices = new SeededRandom(seed + 1_000_000);
  await world.start();
  for (let at = 0; at < FAULTY_MS; at += STEP_MS) {
    callSomewhere(world, choices);
    if (choices.fraction() < FAULT_CHANCE) {
      const kinds = choices.below(3) === 0 ? FAULTS : REPAIRS;
      const vms = [...world.controls, ...world.entries];
      const vm = vms[choices.below(vms.length)];
      if (vm !== undefined) kinds[choices.below(kinds.length)]?.(world, vm);
    }
    await world.run(STEP_MS);
  }
  restartAll(world);
  thawAll(world);
  world.heal();
  world.api.isUp = true;
  world.api.lossChance = 0;
  world.api.rejectionChance = 0;
  for (let at = 0; at < CALM_MS; at += STEP_MS) {
    callSomewhere(world, choices);
    await world.run(STEP_MS);
  }
  return world;
}

/** Suspends a VM until another holder has called, if there is one by then. */
function freezeBriefly(world: DutyWorld, vm: DutyVm): void {
  const { process } = vm;
  world.freeze(vm);
  const forMs = MAXIMUM_FREEZE_MS * world.random.fraction();
  world.clock.after(forMs, () => {
    if (vm.process === process) world.thaw(vm);
  });
}

function callSomewhere(world: DutyWorld, choices: SeededRandom): void {
  if (choices.fraction() >= CALL_CHANCE) return;
  const vm = world.entries[choices.below(world.entries.length)];
  const tenant = TENANTS[choices.below(TENANTS.length)];
  if (vm !== undefined && tenant !== undefined) world.call(vm, tenant);
}

function restartAll(world: DutyWorld): void {
  for (const vm of world.controls) world.startControl(vm);
  for (const vm of world.entries) world.startEntry(vm);
}

function thawAll(world: DutyWorld): void {
  for (const vm of [...world.controls, ...world.entries]) world.thaw(vm);
}

/** Whether the windows of the last seconds without faults were reported. */
function isUpToDate(world: DutyWorld): boolean {
  const due = world.schedule.newestDue(world.clock.wallMs() - REPORT_MS);
  return [due, due - 1, due - 2].every((window) =>
    world.oracle.reports.has(window)
  );
}
