/**
 * `cicadafield bundle check FILE`.
 *
 * @module
 */
import { bundleDigest } from "#bundles";
import { fileErrorOutcome, readBundleFile } from "./bundle_file.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  successOutcome,
} from "./command_outcome.ts";

/** Names under which the command is called. */
export const commandNames: string[][] = [["bundle", "check"]];

/** Help of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description: "Check a bundle and print its digest; asks no VM.",
  details:
    "Names each field at fault with what would be right. Exit code 2 if there is one.",
  examples: [["Check a draft", "cicadafield bundle check bundle-2.json"]],
};

/** Checks the bundle in a file. */
export async function handler(
  options: { readonly file: string },
): Promise<CommandOutcome> {
  const bundle = await readBundleFile(options.file);
  if (bundle.err) return fileErrorOutcome(bundle.val);
  const { version, predecessor, cluster } = bundle.val;
  const digest = bundleDigest(bundle.val);
  return successOutcome(
    `${options.file}: version ${version} of cluster ${cluster} is valid\ndigest ${digest}`,
    { valid: true, cluster, version, predecessor, digest },
  );
}
