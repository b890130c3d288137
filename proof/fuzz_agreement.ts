/**
 * `npm run fuzz -- agreement`: fuzz model of the replicated log under faults.
 *
 * @module
 */
import { fuzzLog } from "../agreement/fuzz_model.ts";
import type { FuzzOptions } from "./fuzz.ts";

/** Runs the model with a fixed set of voters, then with voter changes, then with five voters. */
export async function fuzz(options: FuzzOptions): Promise<void> {
  await fuzzLog({ ...options, changesVoters: false });
  await fuzzLog({ ...options, changesVoters: true });
  await fuzzLog({ ...options, changesVoters: false, fiveVoters: true });
}
