/**
 * `npm run fuzz -- agreement`: the replicated log under faults.
 *
 * @module
 */
import { fuzzLog } from "../agreement/fuzz_model.ts";
import type { FuzzOptions } from "./fuzz.ts";

/** Runs the model with fixed control VMs, then with changing ones, then five of them. */
export async function fuzz(options: FuzzOptions): Promise<void> {
  await fuzzLog({ ...options, changesVoters: false });
  await fuzzLog({ ...options, changesVoters: true });
  await fuzzLog({ ...options, changesVoters: false, fiveVoters: true });
}
