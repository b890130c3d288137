/**
 * `cicadafield bundle draft`.
 *
 * @module
 */
import { bundleDigest, parseBundle } from "#bundles";
import { fail } from "#core";
import { z } from "zod";
import type { OperatorClient } from "../operator_client.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  failureOutcome,
  successOutcome,
} from "./command_outcome.ts";

/** Command lines that run the command. */
export const commandNames: string[][] = [["bundle", "draft"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description:
    "Print a draft of the next bundle version, copied from the active bundle.",
  details:
    "The draft has the next version number and the digest of the active bundle as its predecessor.",
  examples: [[
    "Start a change",
    "cicadafield bundle draft --entry 10.0.1.7:8000 > bundle-2.json",
  ]],
};

const currentBundleSchema = z.looseObject({
  signed: z.looseObject({ bundle: z.unknown() }),
});

/** Creates a draft of the next version from the active bundle. */
export async function handler(client: OperatorClient): Promise<CommandOutcome> {
  const response = await client.send({
    method: "GET",
    path: "/v1/bundles/current",
  });
  if (response.err) return failureOutcome(response.val);
  const bundle = parseBundle(
    currentBundleSchema.parse(response.val).signed.bundle,
  );
  if (bundle.err) {
    return failureOutcome(
      fail(
        "invalid_bundle",
        "the active bundle has the schema of another release",
      ),
    );
  }
  const draft = {
    ...bundle.val,
    version: bundle.val.version + 1,
    predecessor: bundleDigest(bundle.val),
  };
  return successOutcome(JSON.stringify(draft, null, 2), draft);
}
