/**
 * `npm run fuzz -- agreement`: the replicated log under faults.
 *
 * @module
 */
import { fuzzLog } from "../agreement/fuzz_model.ts";
import type { FuzzOptions } from "./fuzz.ts";

/** Runs the model. */
export function fuzz(options: FuzzOptions): Promise<void> {
  return fuzzLog(options);
}
