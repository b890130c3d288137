/**
 * Published versions as the ledger of samples holds them.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import type { LedgerAnswer } from "#samples";

/** Newest published version by model, or null if the log can't tell now. */
export async function publishedVersions(
  log: ReplicatedLog,
): Promise<ReadonlyMap<string, number> | null> {
  const answer = await log.query({
    machine: "ledger",
    question: { kind: "published" },
  });
  if (answer.err) return null;
  const { published } = answer.val as Extract<
    LedgerAnswer,
    { readonly kind: "published" }
  >;
  return new Map(published.map((entry) => [entry.model, entry.version]));
}
