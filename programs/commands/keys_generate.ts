/**
 * `cicadafield keys generate NAME`.
 *
 * @module
 */
import { generateOperatorKey } from "../operator_keys.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  failureOutcome,
  successOutcome,
} from "./command_outcome.ts";

/** Command lines that run the command. */
export const commandNames: string[][] = [["keys", "generate"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Keys",
  description: "Generate a signing key that only you can read.",
  details:
    "Writes FOLDER/NAME.pem and prints NAME=KEY for the bundle and for the control VMs. Never overwrites a file.",
  examples: [["Generate a key", "cicadafield keys generate awa --folder keys"]],
};

/** Generates a key pair and prints its public key. */
export async function handler(
  options: { readonly name: string; readonly folder: string },
): Promise<CommandOutcome> {
  const key = await generateOperatorKey(options.folder, options.name);
  if (key.err) return failureOutcome(key.val);
  const { name, publicKey, file } = key.val;
  return successOutcome(`${name}=${publicKey}\nwritten to ${file}`, {
    name,
    publicKey,
    file,
  });
}
