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

/** Command lines that run the command. */
export const commandNames: string[][] = [["bundle", "check"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description: "Validate a bundle and print its digest. Contacts no VM.",
  details:
    "Lists each invalid field with the values it accepts. Exits with code 2 if a field is invalid.",
  examples: [["Validate a draft", "cicadafield bundle check bundle-2.json"]],
};

/** Validates the bundle in a file. */
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
