/**
 * `cicadafield bundle status`.
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
import { fetchStatus, type StatusResponse } from "./status_response.ts";

/** Names under which the command is called. */
export const commandNames: string[][] = [["bundle", "status"]];

/** Help of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description: "Show which bundle is in force on each VM.",
  details: "A VM that can't be asked is shown with version unknown.",
  examples: [[
    "Ask an entry VM",
    "cicadafield bundle status --entry 10.0.1.7:8000",
  ]],
};

/** Shows the bundle in force. */
export async function handler(client: OperatorClient): Promise<CommandOutcome> {
  const status = await fetchStatus(client);
  if (status.err) return failureOutcome(status.val);
  const { bundle, inForce, vms } = status.val;
  const versions = vms.map(({ vm, zone, role, bundleVersion }) => ({
    vm,
    zone,
    role,
    version: bundleVersion,
  }));
  const lines = versions.map((each) =>
    `  ${each.vm} (${each.role}, zone ${each.zone}): ${
      each.version ?? "unknown"
    }`
  );
  return successOutcome([bundleSummary(status.val), ...lines].join("\n"), {
    bundle,
    inForce,
    vms: versions,
  });
}

/** One line on the bundle in force. */
export function bundleSummary(status: StatusResponse): string {
  if (status.bundle === null) return "no bundle is in force";
  const { entries, of } = status.inForce;
  const { version, digest, signer } = status.bundle;
  return `version ${version} signed by ${signer} is in force on ${entries} of ${of} entry VMs (digest ${digest})`;
}
