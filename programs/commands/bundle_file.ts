/**
 * Reads bundles and signed bundles from files.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { type BundleError, parseBundle } from "#bundles";
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
import { type CommandOutcome, failureOutcome } from "./command_outcome.ts";

const MAXIMUM_VALUE_CHARACTERS = 80;

const signedBundleSchema = z.strictObject({
  bundle: z.unknown(),
  signer: z.string().min(1),
  signature: z.string().min(1),
});

/** A validation error with the JSON of the invalid value, if that is short enough to print. */
export interface BundleErrorWithValue extends BundleError {
  readonly value?: string;
}

/** Why a file contains no usable bundle: it can't be read, or its fields are invalid. */
export type BundleFileError =
  | { readonly kind: "unreadable"; readonly failure: Failure }
  | {
    readonly kind: "invalid";
    readonly file: string;
    readonly faults: readonly BundleErrorWithValue[];
  };

/** Reads an unsigned bundle, or the bundle inside a signed one. */
export async function readBundleFile(
  file: string,
): Promise<Result<Bundle, BundleFileError>> {
  const value = await readJsonFile(file);
  if (value.err) return value;
  const signed = signedBundleSchema.safeParse(value.val);
  return parseBundleFile(file, signed.success ? signed.data.bundle : value.val);
}

/** Reads a signed bundle. */
export async function readSignedFile(
  file: string,
): Promise<Result<SignedBundle, BundleFileError>> {
  const value = await readJsonFile(file);
  if (value.err) return value;
  const signed = signedBundleSchema.safeParse(value.val);
  if (!signed.success) {
    return Err(
      unreadableFile(
        `${file} is not a signed bundle; sign it with bundle sign`,
      ),
    );
  }
  const bundle = parseBundleFile(file, signed.data.bundle);
  if (bundle.err) return bundle;
  const { signer, signature } = signed.data;
  return Ok({ bundle: bundle.val, signer, signature });
}

/** Returns the outcome of a command whose bundle file is unusable. */
export function fileErrorOutcome(error: BundleFileError): CommandOutcome {
  if (error.kind === "unreadable") return failureOutcome(error.failure);
  const lines = error.faults.map((each) => {
    const value = each.value === undefined ? "" : ` ${each.value}`;
    return `  ${each.field}${value}: ${each.message}`;
  });
  const count = lines.length === 1 ? "1 error" : `${lines.length} errors`;
  return {
    exitCode: EXIT_CODES.usage,
    text: [`${error.file}: ${count}`, ...lines].join("\n"),
    json: { kind: "invalid_bundle", file: error.file, faults: error.faults },
  };
}

function parseBundleFile(
  file: string,
  value: unknown,
): Result<Bundle, BundleFileError> {
  const bundle = parseBundle(value);
  if (bundle.ok) return bundle;
  const faults = bundle.val.map((error) => {
    const valueText = formatFieldValue(value, error.field);
    return valueText === undefined ? error : { ...error, value: valueText };
  });
  return Err({ kind: "invalid", file, faults });
}

/** Returns the value of a field such as `vms[2].zone` or `vms.entry-a1.zone`, as JSON. */
function formatFieldValue(bundle: unknown, field: string): string | undefined {
  let value = bundle;
  for (const part of field.split(/[.[\]]+/).filter((each) => each !== "")) {
    value = childValue(value, part);
  }
  if (value === undefined) return undefined;
  const text = JSON.stringify(value);
  return text.length <= MAXIMUM_VALUE_CHARACTERS ? text : undefined;
}

function childValue(value: unknown, part: string): unknown {
  if (typeof value !== "object" || value === null) return undefined;
  if (Object.hasOwn(value, part)) return Reflect.get(value, part);
  if (!Array.isArray(value)) return undefined;
  return value.find((entry) => entry?.name === part);
}

async function readJsonFile(
  file: string,
): Promise<Result<unknown, BundleFileError>> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (error) {
    return Err(unreadableFile(`${file} can't be read: ${errorMessage(error)}`));
  }
  try {
    return Ok(JSON.parse(text));
  } catch (error) {
    return Err(unreadableFile(`${file} is not JSON: ${errorMessage(error)}`));
  }
}

function unreadableFile(message: string): BundleFileError {
  const failure = fail("invalid_settings", message, { field: "file" });
  return { kind: "unreadable", failure };
}

function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
