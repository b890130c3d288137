/**
 * `cicadafield explain REQUEST`.
 *
 * @module
 */
import type { OperatorClient } from "../operator_client.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  failureOutcome,
  successOutcome,
} from "./command_outcome.ts";

/** Names under which the command is called. */
export const commandNames: string[][] = [["explain"]];

/** Help of the command. */
export const help: CommandHelp = {
  category: "State",
  description: "Show why a request was routed or refused as it was.",
  details:
    "Each entry VM keeps the decisions on its own latest requests: name the one that took it, or several, which are asked in turn.",
  examples: [[
    "Explain a request",
    "cicadafield explain 5f0c0a --entry 10.0.1.7:8000",
  ]],
};

/** Explains a request. */
export async function handler(
  options: { readonly request: string },
  client: OperatorClient,
): Promise<CommandOutcome> {
  const answer = await client.send({
    method: "GET",
    path: `/v1/explain/${encodeURIComponent(options.request)}`,
    continueOnNotFound: true,
  });
  if (answer.err) return failureOutcome(answer.val);
  return successOutcome(JSON.stringify(answer.val, null, 2), answer.val);
}
