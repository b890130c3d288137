/**
 * `cicadafield bundle diff OLD NEW`.
 *
 * @module
 */
import { bundleDigest, diffBundles } from "#bundles";
import type { AcceptedBundle, Bundle } from "#core";
import { fileErrorOutcome, readBundleFile } from "./bundle_file.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  successOutcome,
} from "./command_outcome.ts";

/** Command lines that run the command. */
export const commandNames: string[][] = [["bundle", "diff"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description: "Show the differences between two bundles.",
  details:
    "Prints one line for each entry that is added (+), removed (-) or changed (~).",
  examples: [[
    "Compare two files",
    "cicadafield bundle diff bundle-1.json bundle-2.json",
  ]],
};

interface EntryChange {
  readonly list: string;
  readonly name: string;
  readonly change: "added" | "removed" | "changed";
}

const CHANGE_MARKS = { added: "+", removed: "-", changed: "~" } as const;

/** Compares the bundles in two files. */
export async function handler(
  options: { readonly older: string; readonly newer: string },
): Promise<CommandOutcome> {
  const older = await readBundleFile(options.older);
  if (older.err) return fileErrorOutcome(older.val);
  const newer = await readBundleFile(options.newer);
  if (newer.err) return fileErrorOutcome(newer.val);
  const changes = entryChanges(older.val, newer.val);
  const lines = changes.map((each) =>
    `${CHANGE_MARKS[each.change]} ${each.list} ${each.name}`
  );
  const versions = `version ${older.val.version} -> ${newer.val.version}`;
  return successOutcome([versions, ...lines].join("\n"), {
    from: older.val.version,
    to: newer.val.version,
    changes,
  });
}

function entryChanges(older: Bundle, newer: Bundle): readonly EntryChange[] {
  const delta = diffBundles(toAcceptedBundle(older), toAcceptedBundle(newer));
  const changes: EntryChange[] = [];
  for (const { list, removed, put } of delta.lists) {
    const before = new Set(older[list].map((entry) => entry.name));
    for (const name of removed) changes.push({ list, name, change: "removed" });
    for (const { name } of put) {
      const change = before.has(name) ? "changed" : "added";
      changes.push({ list, name, change });
    }
  }
  const limits = Object.keys(newer.limits) as (keyof Bundle["limits"])[];
  for (const name of limits) {
    if (older.limits[name] === newer.limits[name]) continue;
    changes.push({ list: "limits", name, change: "changed" });
  }
  return changes;
}

function toAcceptedBundle(bundle: Bundle): AcceptedBundle {
  return {
    signed: { bundle, signer: "", signature: "" },
    digest: bundleDigest(bundle),
    index: 0,
    acceptedAtMs: 0,
  };
}
