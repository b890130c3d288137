/**
 * Operations that the fuzz model of the sample ledger generates.
 *
 * @module
 */
import { HOLDER_LEASE_MS } from "#samples";
import fc from "fast-check";
import { MODEL_OF } from "./ledger_oracle.ts";

/** Trainers that submit steps and read samples. */
export const TRAINERS: readonly string[] = [...MODEL_OF.keys()];
const HOLDERS = ["entry-1", "entry-2", "entry-3"];

/** One operation on the ledger. */
export type LedgerOperation =
  | {
    readonly kind: "submit";
    readonly trainer: string;
    readonly step: number;
    readonly groups: number;
    readonly size: number;
    readonly bound: number;
  }
  | {
    readonly kind: "lease";
    readonly holder: string;
    readonly limit: number;
    readonly repeatsSequence: boolean;
    readonly restartsHolder: boolean;
    /** Whether the request returns the group that any holder leased last. */
    readonly returnsNewestGroup: boolean;
  }
  | {
    readonly kind: "commit";
    readonly groupIndex: number;
    readonly versionsBehind: number;
    readonly commitsTwice: boolean;
  }
  | {
    readonly kind: "publish";
    readonly trainer: string;
    readonly versionDelta: number;
  }
  | {
    readonly kind: "deliver";
    readonly trainer: string;
    readonly pagesBack: number;
    readonly limit: number;
  }
  | {
    readonly kind: "bad_cursor";
    readonly trainer: string;
    readonly samplesPastEnd: number;
  }
  | { readonly kind: "release"; readonly holder: string }
  | { readonly kind: "wait"; readonly durationMs: number }
  | { readonly kind: "restart" };

/** Generates any operation. */
export function operationArbitrary(): fc.Arbitrary<LedgerOperation> {
  const trainer = fc.constantFrom(...TRAINERS);
  const holder = fc.constantFrom(...HOLDERS);
  const plain = { noNullPrototype: true };
  return fc.oneof(
    fc.record({
      kind: fc.constant("submit" as const),
      trainer,
      step: fc.integer({ min: 1, max: 6 }),
      groups: fc.integer({ min: 1, max: 3 }),
      size: fc.integer({ min: 1, max: 3 }),
      bound: fc.integer({ min: 0, max: 3 }),
    }, plain),
    fc.record({
      kind: fc.constant("lease" as const),
      holder,
      limit: fc.integer({ min: 0, max: 4 }),
      repeatsSequence: fc.boolean(),
      restartsHolder: fc.boolean(),
      returnsNewestGroup: fc.boolean(),
    }, plain),
    fc.record({
      kind: fc.constant("commit" as const),
      groupIndex: fc.nat(20),
      versionsBehind: fc.integer({ min: 0, max: 3 }),
      commitsTwice: fc.boolean(),
    }, plain),
    fc.record({
      kind: fc.constant("publish" as const),
      trainer,
      versionDelta: fc.integer({ min: -1, max: 2 }),
    }, plain),
    fc.record({
      kind: fc.constant("deliver" as const),
      trainer,
      pagesBack: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 8 })),
      limit: fc.integer({ min: 1, max: 6 }),
    }, plain),
    fc.record({
      kind: fc.constant("bad_cursor" as const),
      trainer,
      samplesPastEnd: fc.integer({ min: 1, max: 9 }),
    }, plain),
    fc.record({ kind: fc.constant("release" as const), holder }, plain),
    fc.record({
      kind: fc.constant("wait" as const),
      durationMs: fc.constantFrom(10, 1_000, HOLDER_LEASE_MS + 1),
    }, plain),
    fc.record({ kind: fc.constant("restart" as const) }, plain),
  );
}
