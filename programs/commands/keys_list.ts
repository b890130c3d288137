/**
 * `cicadafield keys list`.
 *
 * @module
 */
import { EXIT_CODES } from "../exit_codes.ts";
import { listOperatorKeys } from "../operator_keys.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  failureOutcome,
  successOutcome,
} from "./command_outcome.ts";

/** Command lines that run the command. */
export const commandNames: string[][] = [["keys", "list"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Keys",
  description: "List the signing keys in a folder as NAME=KEY.",
  details:
    "Exits with code 2 if other users can access a key file or it contains no key; the error says how to fix it.",
  examples: [["List keys", "cicadafield keys list --folder keys"]],
};

/** Lists the keys in a folder, and the error of each unusable key file. */
export async function handler(
  options: { readonly folder: string },
): Promise<CommandOutcome> {
  const keys = await listOperatorKeys(options.folder);
  if (keys.err) return failureOutcome(keys.val);
  const lines = keys.val.map((key) =>
    key.fault ?? `${key.name}=${key.publicKey}`
  );
  const outcome = successOutcome(lines.join("\n"), { keys: keys.val });
  const hasUnusableKey = keys.val.some((key) => key.fault !== null);
  return hasUnusableKey ? { ...outcome, exitCode: EXIT_CODES.usage } : outcome;
}
