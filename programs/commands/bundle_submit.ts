/**
 * `cicadafield bundle submit FILE`.
 *
 * @module
 */
import { type Clock, type Milliseconds, SECOND_MS } from "#core";
import { z } from "zod";
import { EXIT_CODES, failureExitCode } from "../exit_codes.ts";
import type { OperatorClient } from "../operator_client.ts";
import { fileErrorOutcome, readSignedFile } from "./bundle_file.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  failureOutcome,
  successOutcome,
} from "./command_outcome.ts";

/** Command lines that run the command. */
export const commandNames: string[][] = [["bundle", "submit"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description:
    "Submit a signed bundle; it is accepted once the control VMs agree.",
  details:
    "Submitting the same bundle again returns the first response again, so the command sends it up to three times while no VM responds. Exits with code 3 if the bundle is rejected, and 4 if the outcome is still unknown: submit it again in that case.",
  examples: [[
    "Submit to either of two entry VMs",
    "cicadafield bundle submit bundle-2.signed.json --entry 10.0.1.7:8000 --entry 10.0.2.7:8000",
  ]],
};

const receiptSchema = z.looseObject({
  version: z.number(),
  digest: z.string(),
});

const MAXIMUM_ATTEMPTS = 3;
const RETRY_INTERVAL_MS: Milliseconds = SECOND_MS;

/** Options of `cicadafield bundle submit`. */
export interface SubmitOptions {
  readonly file: string;
  readonly clock: Clock;
}

/** Submits the signed bundle in a file; retries while the outcome is unknown or no VM responds. */
export async function handler(
  options: SubmitOptions,
  client: OperatorClient,
): Promise<CommandOutcome> {
  const signed = await readSignedFile(options.file);
  if (signed.err) return fileErrorOutcome(signed.val);
  const request = {
    method: "PUT",
    path: `/v1/bundles/${signed.val.bundle.version}`,
    body: signed.val,
  } as const;
  let response = await client.send(request);
  for (let attempt = 1; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    if (response.ok) break;
    if (failureExitCode(response.val) !== EXIT_CODES.unreachable) break;
    await options.clock.sleep(RETRY_INTERVAL_MS);
    response = await client.send(request);
  }
  return response.ok
    ? acceptedOutcome(response.val)
    : failureOutcome(response.val);
}

function acceptedOutcome(response: unknown): CommandOutcome {
  const receipt = receiptSchema.parse(response);
  return successOutcome(
    `version ${receipt.version} is accepted\ndigest ${receipt.digest}\n` +
      `Wait for it with: cicadafield bundle wait ${receipt.version}`,
    response,
  );
}
