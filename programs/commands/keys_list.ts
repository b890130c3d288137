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

/** Names under which the command is called. */
export const commandNames: string[][] = [["keys", "list"]];

/** Help of the command. */
export const help: CommandHelp = {
  category: "Keys",
  description: "List the signing keys of a folder as NAME=KEY.",
  details:
    "Exit code 2 if a file is open to others or holds no key; the fault says how to mend it.",
  examples: [["List keys", "cicadafield keys list --folder keys"]],
};

/** Lists keys. */
export async function handler(
  options: { readonly folder: string },
): Promise<CommandOutcome> {
  const keys = await listOperatorKeys(options.folder);
  if (keys.err) return failureOutcome(keys.val);
  const lines = keys.val.map((key) =>
    key.fault ?? `${key.name}=${key.publicKey}`
  );
  const outcome = successOutcome(lines.join("\n"), { keys: keys.val });
  const faulty = keys.val.some((key) => key.fault !== null);
  return faulty ? { ...outcome, exitCode: EXIT_CODES.usage } : outcome;
}
