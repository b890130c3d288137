/**
 * Query for the published model versions in the ledger of samples.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import type { LedgerQueryResult } from "#samples";

/** Returns the newest published version by model, or null if the query of the replicated log fails. */
export async function queryPublishedVersions(
  log: ReplicatedLog,
): Promise<ReadonlyMap<string, number> | null> {
  const answer = await log.query({
    machine: "ledger",
    question: { kind: "published" },
  });
  if (answer.err) return null;
  const { published } = answer.val as Extract<
    LedgerQueryResult,
    { readonly kind: "published" }
  >;
  return new Map(published.map((entry) => [entry.model, entry.version]));
}
