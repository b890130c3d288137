/**
 * `cicadafield bundle sign FILE --key KEY`.
 *
 * @module
 */
import { writeFile } from "node:fs/promises";
import { bundleDigest, signBundle } from "#bundles";
import { fail } from "#core";
import { readOperatorKey } from "../operator_keys.ts";
import { fileErrorOutcome, readBundleFile } from "./bundle_file.ts";
import {
  type CommandHelp,
  type CommandOutcome,
  failureOutcome,
  successOutcome,
} from "./command_outcome.ts";

/** Command lines that run the command. */
export const commandNames: string[][] = [["bundle", "sign"]];

/** Help text of the command. */
export const help: CommandHelp = {
  category: "Bundles",
  description:
    "Validate a bundle and sign it with an operator's key. Contacts no VM.",
  details:
    "The signer is the name of the key file unless --signer is given. Rejects a key file that other users can access.",
  examples: [[
    "Sign a draft",
    "cicadafield bundle sign bundle-2.json --key keys/awa.pem --out bundle-2.signed.json",
  ]],
};

/** Options of `cicadafield bundle sign`. */
export interface SignOptions {
  readonly file: string;
  readonly key: string;
  readonly signer?: string;
  /** File that receives the signed bundle; standard output if not given. */
  readonly out?: string;
}

/** Signs the bundle in a file. */
export async function handler(options: SignOptions): Promise<CommandOutcome> {
  const bundle = await readBundleFile(options.file);
  if (bundle.err) return fileErrorOutcome(bundle.val);
  const key = await readOperatorKey(options.key);
  if (key.err) return failureOutcome(key.val);
  const signer = options.signer ?? key.val.name;
  const signed = signBundle(bundle.val, {
    signer,
    privateKey: key.val.privateKey,
  });
  if (options.out === undefined) {
    return successOutcome(JSON.stringify(signed, null, 2), signed);
  }
  try {
    await writeFile(options.out, JSON.stringify(signed, null, 2) + "\n");
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return failureOutcome(
      fail("invalid_settings", `${options.out} can't be written: ${reason}`, {
        field: "out",
      }),
    );
  }
  const version = bundle.val.version;
  const digest = bundleDigest(bundle.val);
  return successOutcome(
    `${options.out}: version ${version} signed by ${signer}\ndigest ${digest}`,
    { version, digest, signer, file: options.out },
  );
}
