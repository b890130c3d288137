/**
 * `cicadafield bundle submit FILE`.
 *
 * @module
 */
import { z } from "zod";
import type { OperatorClient } from "../operator_client.ts";
import { fileFaultOutcome, readSignedFile } from "./bundle_file.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  done,
  failed,
} from "./command_outcome.ts";

/** Names under which the command is called. */
export const commandNames: string[][] = [["bundle", "submit"]];

/** Help of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description:
    "Submit a signed bundle; it is accepted once the control VMs agree.",
  details:
    "Sending the same bundle again gives the first answer again. Exit code 3 if it is refused, 4 if no VM could answer: then submit it again.",
  examples: [[
    "Submit to either of two entry VMs",
    "cicadafield bundle submit bundle-2.signed.json --entry 10.0.1.7:8000 --entry 10.0.2.7:8000",
  ]],
};

const receiptSchema = z.looseObject({
  version: z.number(),
  digest: z.string(),
});

/** Submits the signed bundle in a file. */
export async function handler(
  options: { readonly file: string },
  client: OperatorClient,
): Promise<CommandOutcome> {
  const signed = await readSignedFile(options.file);
  if (signed.err) return fileFaultOutcome(signed.val);
  const answer = await client.send({
    method: "PUT",
    path: `/v1/bundles/${signed.val.bundle.version}`,
    body: signed.val,
  });
  if (answer.err) return failed(answer.val);
  const receipt = receiptSchema.parse(answer.val);
  return done(
    `version ${receipt.version} is accepted\ndigest ${receipt.digest}\n` +
      `Wait for it with: cicadafield bundle wait ${receipt.version}`,
    answer.val,
  );
}
