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

/** Names under which the command is called. */
export const commandNames: string[][] = [["bundle", "draft"]];

/** Help of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description: "Print the bundle in force as a draft of the next version.",
  details:
    "The draft has the next version and names the digest of the bundle in force as its predecessor.",
  examples: [[
    "Start a change",
    "cicadafield bundle draft --entry 10.0.1.7:8000 > bundle-2.json",
  ]],
};

const currentBundleSchema = z.looseObject({
  signed: z.looseObject({ bundle: z.unknown() }),
});

/** Makes the draft. */
export async function handler(client: OperatorClient): Promise<CommandOutcome> {
  const answer = await client.send({
    method: "GET",
    path: "/v1/bundles/current",
  });
  if (answer.err) return failureOutcome(answer.val);
  const bundle = parseBundle(
    currentBundleSchema.parse(answer.val).signed.bundle,
  );
  if (bundle.err) {
    return failureOutcome(
      fail("invalid_bundle", "the bundle in force is of another release"),
    );
  }
  const draft = {
    ...bundle.val,
    version: bundle.val.version + 1,
    predecessor: bundleDigest(bundle.val),
  };
  return successOutcome(JSON.stringify(draft, null, 2), draft);
}
