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

/** Names under which the command is called. */
export const commandNames: string[][] = [["keys", "generate"]];

/** Help of the command. */
export const help: CommandHelp = {
  category: "Keys",
  description: "Make a signing key that only you can read.",
  details:
    "Writes FOLDER/NAME.pem and prints NAME=KEY for the bundle and for the control VMs. Never replaces a file.",
  examples: [["Make a key", "cicadafield keys generate awa --folder keys"]],
};

/** Makes a key. */
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
