/**
 * `npm run bench -- layouts`: calculates (without timing anything) the mean time to data loss of full replicas of the
 * project's state, which survive as long as a majority does, and of flat erasure-coded layouts, at the failure rate of
 * the target size.
 *
 * @module
 */
import { SeededRandom } from "#core";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import {
  combinatorialLayout,
  countSurvivingFraction,
  deviceCount,
  estimateSurvivingFraction,
  type FlatLayout,
} from "./flat_layout.ts";
import { meanHoursToLoss } from "./loss_model.ts";

const FAILURES_PER_DAY = 18;
const NODES = 330;
const HOURS_PER_DAY = 24;
const HOURS_PER_YEAR = 8_766;
const REPAIR_HOURS: readonly number[] = [1 / 6, 1, 10];
const SEED = 1;
const MAXIMUM_ENUMERATED_DEVICES = 12;

/** Runs the calculation. */
export function run(options: BenchOptions): Promise<BenchFigures> {
  const samples = options.quick ? 500 : 20_000;
  const failuresPerHour = FAILURES_PER_DAY / NODES / HOURS_PER_DAY;
  const rows = [
    majorityRow("majority_of_3", 3),
    majorityRow("majority_of_5", 5),
    layoutRow("combinatorial_3_2", combinatorialLayout(3, 2), samples),
    layoutRow("combinatorial_6_3", combinatorialLayout(6, 3), samples),
  ];
  const figures: Record<string, unknown> = {};
  for (const row of rows) {
    const yearsToLoss: Record<string, number> = {};
    for (const repairHours of REPAIR_HOURS) {
      const hours = meanHoursToLoss({
        devices: row.devices,
        failuresPerHour,
        repairsPerHour: 1 / repairHours,
        survivingFractions: row.survivingFractions,
      });
      const name = `repair_${Math.round(repairHours * 60)}_min`;
      yearsToLoss[name] = Number((hours / HOURS_PER_YEAR).toPrecision(3));
    }
    figures[row.name] = {
      devices: row.devices,
      storedPerByte: row.storedPerByte,
      devicesWrittenPerUpdate: row.devicesWrittenPerUpdate,
      devicesReadPerRepair: row.devicesReadPerRepair,
      yearsToLoss,
    };
  }
  return Promise.resolve({ seed: SEED, samples, ...figures });
}

interface Row {
  readonly name: string;
  readonly devices: number;
  readonly storedPerByte: number;
  readonly devicesWrittenPerUpdate: number;
  /** Minimum number of devices read to repair one data object. */
  readonly devicesReadPerRepair: number;
  readonly survivingFractions: readonly number[];
}

/** Full replicas that lose no data as long as a majority survives, because a majority acknowledges each log entry. */
function majorityRow(name: string, count: number): Row {
  return {
    name,
    devices: count,
    storedPerByte: count,
    devicesWrittenPerUpdate: count,
    devicesReadPerRepair: 1,
    survivingFractions: new Array(Math.ceil(count / 2)).fill(1),
  };
}

function layoutRow(name: string, layout: FlatLayout, samples: number): Row {
  const devices = deviceCount(layout);
  const random = new SeededRandom(SEED);
  const survivingFractions: number[] = [];
  for (let failures = 0; failures <= layout.stripes; failures += 1) {
    const enumerates = devices <= MAXIMUM_ENUMERATED_DEVICES || failures <= 2;
    survivingFractions.push(
      enumerates
        ? countSurvivingFraction(layout, failures)
        : estimateSurvivingFraction(layout, failures, { random, samples }),
    );
  }
  const rank =
    layout.data.filter((data) => data.vertical === layout.stripes - 1).length;
  return {
    name,
    devices,
    storedPerByte: Number((devices / layout.data.length).toPrecision(3)),
    devicesWrittenPerUpdate: 3,
    devicesReadPerRepair: rank,
    survivingFractions,
  };
}
