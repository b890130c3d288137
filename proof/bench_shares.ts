/**
 * `npm run bench -- shares`: the share of their calls that tenants get served within the latency objective while the
 * upstreams can't run all calls.
 *
 * @module
 */
import type { BenchFigures, BenchOptions } from "./bench.ts";
import {
  type ShareOutcome,
  ShareWorld,
  type ShareWorldOptions,
} from "./share_world.ts";
import { roundToDigits } from "./statistics.ts";

const VMS = [6, 58, 165] as const;
const SCENARIOS = ["normal", "halved", "surge"] as const;
/** Upstreams that reject calls soon, and such that let them wait beyond the objective. */
const QUEUES_PER_SLOT = [2, 16] as const;
const SEEDS = 3;
const LOSS_RATIO = 0.2;
const DECISIONS = ["none", "shared", "alone"] as const;

/** Runs the benchmark. */
export function run({ quick }: BenchOptions): Promise<BenchFigures> {
  const figures: Record<string, unknown> = {};
  for (const vms of quick ? VMS.slice(0, 1) : VMS) {
    for (const queuePerSlot of QUEUES_PER_SLOT) {
      for (const scenario of SCENARIOS) {
        for (const decision of DECISIONS) {
          const world = { vms, queuePerSlot, scenario, decision };
          const name =
            `${scenario}_queue_${queuePerSlot}_vms_${vms}_${decision}`;
          figures[name] = play({ ...world, lossRatio: LOSS_RATIO });
          console.error(name, JSON.stringify(figures[name]));
        }
      }
    }
  }
  return Promise.resolve(figures);
}

function play(
  world: Omit<ShareWorldOptions, "seed">,
): Readonly<Record<string, number>> {
  const outcomes: ShareOutcome[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    outcomes.push(new ShareWorld({ ...world, seed }).run());
  }
  const names = Object.keys(outcomes[0] ?? {}) as (keyof ShareOutcome)[];
  return Object.fromEntries(names.map((name) => {
    const sum = outcomes.reduce((total, each) => total + each[name], 0);
    return [name, roundToDigits(sum / outcomes.length, 3)];
  }));
}
