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

const POLL_MS: Milliseconds = SECOND_MS / 2;

/** Names under which the command is called. */
export const commandNames: string[][] = [["bundle", "wait"]];

/** Help of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description:
    "Wait until a version, or a later one, is in force on every entry VM.",
  details:
    "Exit code 5 if the time runs out; then it names the VMs that lack the version. VMs that can't be asked count as lacking it.",
  examples: [[
    "Wait a minute at most",
    "cicadafield bundle wait 2 --seconds 60 --entry 10.0.1.7:8000",
  ]],
};

/** What the command takes. */
export interface WaitOptions {
  readonly version: number;
  readonly timeoutMs: Milliseconds;
  readonly clock: Clock;
}

/** Waits for the version. */
export async function handler(
  options: WaitOptions,
  client: OperatorClient,
): Promise<CommandOutcome> {
  const untilMs = options.clock.nowMs() + options.timeoutMs;
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
    if (options.clock.nowMs() + POLL_MS > untilMs) break;
    await options.clock.sleep(POLL_MS);
  }
  if (failure !== undefined) return failureOutcome(failure);
  return {
    exitCode: EXIT_CODES.timeout,
    text: `version ${options.version} is not in force on ${lacking.join(", ")}`,
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
    `version ${version} is in force on ${count} of ${count} entry VMs`,
    { version, inForce: true, entries: count },
  );
}
