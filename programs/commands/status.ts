/**
 * `cicadafield status`.
 *
 * @module
 */
import type { OperatorClient } from "../operator_client.ts";
import { bundleSummary } from "./bundle_status.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  failureOutcome,
  successOutcome,
} from "./command_outcome.ts";
import { fetchStatus, type StatusResponse } from "./status_response.ts";

const CUT_OFF_STATE = "cut_off";

/** Command lines that run the command. */
export const commandNames: string[][] = [["status"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "State",
  description:
    "Show VMs, zones, upstreams, active versions, the leader and the VMs that are cut off.",
  details:
    "The status is that of the VM that responds: query a VM in each zone during a network partition.",
  examples: [
    ["Ask an entry VM", "cicadafield status --entry 10.0.1.7:8000"],
    ["For programs", "cicadafield status --entry 10.0.1.7:8000 --json"],
  ],
};

/** Shows the status of the cluster as one entry VM observes it. */
export async function handler(client: OperatorClient): Promise<CommandOutcome> {
  const status = await fetchStatus(client);
  if (status.err) return failureOutcome(status.val);
  return successOutcome(formatStatus(status.val), status.val);
}

function formatStatus(status: StatusResponse): string {
  const lines = [
    `status of ${status.vm} in zone ${status.zone}`,
    `bundle: ${bundleSummary(status)}`,
    `leader: ${status.leader ?? "unknown"}`,
  ];
  for (const zone of status.zones) {
    lines.push(
      `zone ${zone}`,
      ...formatVms(status, zone),
      ...formatUpstreams(status, zone),
    );
  }
  const cutOff = status.vms.filter((vm) => vm.state === CUT_OFF_STATE);
  const names = cutOff.map((vm) => vm.vm).join(", ");
  lines.push(`cut off: ${names === "" ? "none" : names}`);
  return lines.join("\n");
}

function formatVms(status: StatusResponse, zone: string): readonly string[] {
  return status.vms.filter((vm) => vm.zone === zone).map((vm) => {
    const ready = vm.ready ? "ready" : "not ready";
    return `  ${vm.role} ${vm.vm}: ${vm.state}, ${ready}, version ${
      vm.bundleVersion ?? "unknown"
    }`;
  });
}

function formatUpstreams(
  status: StatusResponse,
  zone: string,
): readonly string[] {
  return status.upstreams.filter((each) => each.zone === zone).map((each) => {
    const serves = each.serves.map((model) =>
      `${model.model}@${model.version}`
    );
    const served = [...serves, ...each.services].join(" ") || "nothing";
    return `  ${each.role} ${each.id}: ${
      each.leaving ? "leaving" : "in use"
    }, serves ${served}`;
  });
}
