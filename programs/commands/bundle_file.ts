/**
 * Reads bundles and signed bundles from files.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { type BundleFault, parseBundle } from "#bundles";
import {
  type Bundle,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  type SignedBundle,
} from "#core";
import { z } from "zod";
import { EXIT_CODES } from "../exit_codes.ts";
import { type CommandOutcome, failed } from "./command_outcome.ts";

const signedSchema = z.strictObject({
  bundle: z.unknown(),
  signer: z.string().min(1),
  signature: z.string().min(1),
});

/** Why a file holds no bundle that could be used. */
export type BundleFileFault =
  | { readonly kind: "unreadable"; readonly failure: Failure }
  | {
    readonly kind: "invalid";
    readonly file: string;
    readonly faults: readonly BundleFault[];
  };

/** Reads a bundle, or the bundle inside a signed one. */
export async function readBundleFile(
  file: string,
): Promise<Result<Bundle, BundleFileFault>> {
  const value = await readJsonFile(file);
  if (value.err) return value;
  const signed = signedSchema.safeParse(value.val);
  return checkBundle(file, signed.success ? signed.data.bundle : value.val);
}

/** Reads a signed bundle. */
export async function readSignedFile(
  file: string,
): Promise<Result<SignedBundle, BundleFileFault>> {
  const value = await readJsonFile(file);
  if (value.err) return value;
  const signed = signedSchema.safeParse(value.val);
  if (!signed.success) {
    return Err(
      unreadable(`${file} holds no signed bundle; sign it with bundle sign`),
    );
  }
  const bundle = checkBundle(file, signed.data.bundle);
  if (bundle.err) return bundle;
  const { signer, signature } = signed.data;
  return Ok({ bundle: bundle.val, signer, signature });
}

/** The outcome of a command whose file was at fault. */
export function fileFaultOutcome(fault: BundleFileFault): CommandOutcome {
  if (fault.kind === "unreadable") return failed(fault.failure);
  const lines = fault.faults.map((each) => `  ${each.field}: ${each.message}`);
  const count = lines.length === 1 ? "1 fault" : `${lines.length} faults`;
  return {
    exitCode: EXIT_CODES.usage,
    text: [`${fault.file}: ${count}`, ...lines].join("\n"),
    json: { kind: "invalid_bundle", file: fault.file, faults: fault.faults },
  };
}

function checkBundle(
  file: string,
  value: unknown,
): Result<Bundle, BundleFileFault> {
  const bundle = parseBundle(value);
  if (bundle.ok) return bundle;
  return Err({ kind: "invalid", file, faults: bundle.val });
}

async function readJsonFile(
  file: string,
): Promise<Result<unknown, BundleFileFault>> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (error) {
    return Err(unreadable(`${file} can't be read: ${reason(error)}`));
  }
  try {
    return Ok(JSON.parse(text));
  } catch (error) {
    return Err(unreadable(`${file} is not JSON: ${reason(error)}`));
  }
}

function unreadable(message: string): BundleFileFault {
  const failure = fail("invalid_settings", message, { field: "file" });
  return { kind: "unreadable", failure };
}

function reason(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
