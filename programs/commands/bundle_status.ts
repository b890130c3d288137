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

/** Command lines that run the command. */
export const commandNames: string[][] = [["bundle", "status"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description: "Show the active bundle version of each VM.",
  details: "A VM that can't be reached is shown with version unknown.",
  examples: [[
    "Ask an entry VM",
    "cicadafield bundle status --entry 10.0.1.7:8000",
  ]],
};

/** Shows the active bundle and its version on each VM. */
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

/** Returns one line that describes the active bundle. */
export function bundleSummary(status: StatusResponse): string {
  if (status.bundle === null) return "no bundle is active";
  const { entries, of } = status.inForce;
  const { version, digest, signer } = status.bundle;
  return `version ${version} signed by ${signer} is active on ${entries} of ${of} entry VMs (digest ${digest})`;
}
