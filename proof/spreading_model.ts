/**
 * Stateful fuzz test of the distribution of accepted bundles to the entry VMs, with the list of accepted bundles as the
 * model.
 *
 * @module
 */
import { SECOND_MS } from "#core";
import fc from "fast-check";
import type { FuzzOptions } from "./fuzz.ts";
import {
  ACTIVATION_BOUND_MS,
  FAULT_AFTEREFFECT_MS,
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

/** Runs the fuzz test; throws an error with the seed and the shrunk commands if a check fails. */
export async function fuzzSpreading(options: FuzzOptions): Promise<void> {
  await fc.assert(
    fc.asyncProperty(COMMANDS, fc.nat(1_000_000), async (commands, seed) => {
      const site = new SpreadingSite(seed);
      await site.advance(ACTIVATION_BOUND_MS);
      for (const command of commands) await site.run(command);
      await site.settle();
    }),
    { seed: options.seed, numRuns: options.runs },
  );
}

/** Checks that a control VM that lost the quorum does not prevent any zone from receiving a new bundle. */
export async function checkLaggingControls(): Promise<void> {
  for (const at of [0, 1, 2]) {
    const site = new SpreadingSite(at);
    await site.advance(FAULT_AFTEREFFECT_MS + SECOND_MS);
    await site.run({ kind: "lag", at, other: 0 });
    await site.advance(SECOND_MS);
    await site.run({ kind: "accept", at: 0, other: 0 });
    await site.advance(ACTIVATION_BOUND_MS);
    await site.settle();
  }
}
