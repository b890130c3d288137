/**
 * `npm run fuzz -- agreement`: the replicated log under faults.
 *
 * @module
 */
import { fuzzLog } from "../agreement/fuzz_model.ts";
import type { FuzzOptions } from "./fuzz.ts";

/** Runs the model with fixed control VMs, then with changing ones, then five of them. */
export async function fuzz(options: FuzzOptions): Promise<void> {
  await fuzzLog({ ...options, moves: false });
  await fuzzLog({ ...options, moves: true });
  await fuzzLog({ ...options, moves: false, five: true });
}
