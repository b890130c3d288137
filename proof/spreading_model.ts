/**
 * Stateful fuzzing of how accepted bundles reach the entry VMs, against the list of accepted bundles.
 *
 * @module
 */
import { SECOND_MS } from "#core";
import fc from "fast-check";
import type { FuzzOptions } from "./fuzz.ts";
import {
  CALM_AFTER_MS,
  IN_FORCE_BOUND_MS,
  type SpreadingCommand,
  SpreadingSite,
} from "./spreading_site.ts";

const COMMANDS = fc.array(
  fc.record({
    kind: fc.constantFrom<SpreadingCommand["kind"]>(
      "accept",
      "accept",
      "accept",
      "lag",
      "catch_up",
      "cut_zone",
      "cut",
      "heal",
      "freeze",
      "thaw",
      "restart",
      "wait",
      "wait",
      "wait",
    ),
    at: fc.nat(5),
    other: fc.nat(8),
  }, { noNullPrototype: true }),
  { maxLength: 16, size: "max" },
);

/** Runs the model; throws with the seed and the shrunk commands when a check fails. */
export async function fuzzSpreading(options: FuzzOptions): Promise<void> {
  await fc.assert(
    fc.asyncProperty(COMMANDS, fc.nat(1_000_000), async (commands, seed) => {
      const site = new SpreadingSite(seed);
      await site.pass(IN_FORCE_BOUND_MS);
      for (const command of commands) await site.run(command);
      await site.settle();
    }),
    { seed: options.seed, numRuns: options.runs },
  );
}

/** Checks that a control VM that lost the quorum keeps no zone from a new bundle. */
export async function checkLaggingControls(): Promise<void> {
  for (const at of [0, 1, 2]) {
    const site = new SpreadingSite(at);
    await site.pass(CALM_AFTER_MS + SECOND_MS);
    await site.run({ kind: "lag", at, other: 0 });
    await site.pass(SECOND_MS);
    await site.run({ kind: "accept", at: 0, other: 0 });
    await site.pass(IN_FORCE_BOUND_MS);
    await site.settle();
  }
}
