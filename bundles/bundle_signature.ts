/**
 * Canonical bytes, digests and Ed25519 signatures of bundles.
 *
 * Source: RFC 8785 for the canonical bytes, RFC 8032 for the signatures.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createHash,
  createPublicKey,
  type KeyObject,
  sign,
  verify,
} from "node:crypto";
import canonicalize from "canonicalize";
import {
  type Bundle,
  Err,
  fail,
  type Failure,
  Ok,
  type OperatorEntry,
  type Result,
  type SignedBundle,
} from "#core";
import { sortLists } from "./bundle_schema.ts";

const ED25519_PUBLIC_KEY_BYTES = 32;

/** Returns the canonical bytes, which are signed and hashed; they do not depend on the order of the lists. */
export function canonicalBytes(bundle: Bundle): Uint8Array {
  return Buffer.from(canonicalize(sortLists(bundle)) ?? "", "utf8");
}

/** Returns the SHA-256 digest of the canonical bytes, in hexadecimal. */
export function bundleDigest(bundle: Bundle): string {
  return createHash("sha256").update(canonicalBytes(bundle)).digest("hex");
}

/** An operator with the private key to sign with. */
export interface Signer {
  /** Name of the operator. */
  readonly signer: string;
  readonly privateKey: KeyObject;
}

/**
 * Signs a bundle.
 *
 * @example
 * ```ts
 * const { privateKey } = generateKeyPairSync("ed25519");
 * const signed = signBundle(bundle, { signer: "awa", privateKey });
 * ```
 */
export function signBundle(bundle: Bundle, signer: Signer): SignedBundle {
  const signature = sign(null, canonicalBytes(bundle), signer.privateKey);
  return {
    bundle,
    signer: signer.signer,
    signature: signature.toString("base64"),
  };
}

/** Returns the raw public key of a key pair in base64, as listed in bundles. */
export function encodePublicKey(key: KeyObject): string {
  const parts = key.export({ format: "jwk" });
  return Buffer.from(parts.x ?? "", "base64url").toString("base64");
}

/** Verifies that one of the given operators signed the bundle. */
export function verifySignedBundle(
  signed: SignedBundle,
  operators: readonly OperatorEntry[],
): Result<true, Failure> {
  const operator = operators.find((each) => each.name === signed.signer);
  if (operator === undefined) {
    return rejectSignature(
      `${signed.signer} is not an operator who may sign this bundle`,
    );
  }
  const key = decodePublicKey(operator.publicKey);
  if (key === undefined) {
    return rejectSignature(`the public key of ${operator.name} is malformed`);
  }
  const signature = Buffer.from(signed.signature, "base64");
  if (!verify(null, canonicalBytes(signed.bundle), key, signature)) {
    return rejectSignature(
      `the signature of ${signed.signer} does not match the bundle`,
    );
  }
  return Ok(true);
}

function decodePublicKey(text: string): KeyObject | undefined {
  const raw = Buffer.from(text, "base64");
  if (raw.length !== ED25519_PUBLIC_KEY_BYTES) return undefined;
  const x = raw.toString("base64url");
  try {
    return createPublicKey({
      key: { kty: "OKP", crv: "Ed25519", x },
      format: "jwk",
    });
  } catch {
    return undefined;
  }
}

function rejectSignature(message: string): Result<never, Failure> {
  return Err(fail("bad_signature", message, { field: "signature" }));
}
