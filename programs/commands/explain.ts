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

/** Command lines that run the command. */
export const commandNames: string[][] = [["explain"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "State",
  description: "Show how a request was routed, or why it was rejected.",
  details:
    "Each entry VM retains the decisions for its own most recent requests. Name the one that received the request, or several, which are tried in turn.",
  examples: [[
    "Explain a request",
    "cicadafield explain 5f0c0a --entry 10.0.1.7:8000",
  ]],
};

/** Prints the routing decisions for a request. */
export async function handler(
  options: { readonly request: string },
  client: OperatorClient,
): Promise<CommandOutcome> {
  const response = await client.send({
    method: "GET",
    path: `/v1/explain/${encodeURIComponent(options.request)}`,
    continueOnNotFound: true,
  });
  if (response.err) return failureOutcome(response.val);
  return successOutcome(JSON.stringify(response.val, null, 2), response.val);
}
