/**
 * `cicadafield bundle wait VERSION`.
 *
 * @module
 */
import { type Clock, type Failure, type Milliseconds, SECOND_MS } from "#core";
import { EXIT_CODES } from "../exit_codes.ts";
import type { OperatorClient } from "../operator_client.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  failureOutcome,
  successOutcome,
} from "./command_outcome.ts";
import { fetchStatus, type StatusResponse } from "./status_response.ts";

const POLL_INTERVAL_MS: Milliseconds = SECOND_MS / 2;

/** Command lines that run the command. */
export const commandNames: string[][] = [["bundle", "wait"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description:
    "Wait until a bundle version, or a later one, is active on every entry VM.",
  details:
    "Exits with code 5 on timeout and lists the VMs that lack the version. VMs that can't be reached count as lacking it.",
  examples: [[
    "Wait for up to a minute",
    "cicadafield bundle wait 2 --seconds 60 --entry 10.0.1.7:8000",
  ]],
};

/** Options of `cicadafield bundle wait`. */
export interface WaitOptions {
  readonly version: number;
  readonly timeoutMs: Milliseconds;
  readonly clock: Clock;
}

/** Polls the status until the version is active on every entry VM, or the timeout expires. */
export async function handler(
  options: WaitOptions,
  client: OperatorClient,
): Promise<CommandOutcome> {
  const deadlineMs = options.clock.nowMs() + options.timeoutMs;
  let failure: Failure | undefined;
  let lacking: readonly string[] = [];
  while (true) {
    const status = await fetchStatus(client);
    failure = status.err ? status.val : undefined;
    if (status.ok) {
      lacking = vmsWithoutVersion(status.val, options.version);
      if (lacking.length === 0) {
        return activeOutcome(status.val, options.version);
      }
    }
    if (options.clock.nowMs() + POLL_INTERVAL_MS > deadlineMs) break;
    await options.clock.sleep(POLL_INTERVAL_MS);
  }
  if (failure !== undefined) return failureOutcome(failure);
  return {
    exitCode: EXIT_CODES.timeout,
    text: `version ${options.version} is not active on ${lacking.join(", ")}`,
    json: { version: options.version, inForce: false, lacking },
  };
}

function vmsWithoutVersion(
  status: StatusResponse,
  version: number,
): readonly string[] {
  const entries = status.vms.filter((vm) => vm.role === "entry");
  if (entries.length === 0) return [status.vm];
  return entries
    .filter((vm) => (vm.bundleVersion ?? 0) < version)
    .map((vm) => vm.vm);
}

function activeOutcome(
  status: StatusResponse,
  version: number,
): CommandOutcome {
  const count = status.vms.filter((vm) => vm.role === "entry").length;
  return successOutcome(
    `version ${version} is active on ${count} of ${count} entry VMs`,
    { version, inForce: true, entries: count },
  );
}
