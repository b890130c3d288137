/**
 * Signing keys of operators: Ed25519 private keys in PEM files that only their owner can access.
 *
 * @module
 */
import {
  createPrivateKey,
  generateKeyPairSync,
  type KeyObject,
} from "node:crypto";
import { chmod, mkdir, open, readdir, readFile, stat } from "node:fs/promises";
import { join } from "node:path";
import { encodePublicKey } from "#bundles";
import { Err, fail, type Failure, Ok, type Result } from "#core";

const KEY_FILE_SUFFIX = ".pem";
const PRIVATE_FILE_MODE = 0o600;
const PRIVATE_FOLDER_MODE = 0o700;
const GROUP_AND_OTHERS_MODE_BITS = 0o077;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,63}$/;

/** A private key, and the name under which a bundle lists its public key. */
export interface OperatorKey {
  readonly name: string;
  /** Raw public key in base64, as bundles list it. */
  readonly publicKey: string;
  readonly file: string;
  readonly privateKey: KeyObject;
}

/** A key file with its public key, or with the error that makes it unusable. */
export interface ListedKey {
  readonly name: string;
  readonly file: string;
  readonly publicKey: string | null;
  readonly fault: string | null;
}

/**
 * Generates a key pair and stores it as `FOLDER/NAME.pem`; never overwrites a file.
 *
 * @example
 * ```ts
 * const key = await generateOperatorKey("keys", "awa");
 * ```
 */
export async function generateOperatorKey(
  folder: string,
  name: string,
): Promise<Result<OperatorKey, Failure>> {
  if (!NAME_PATTERN.test(name)) {
    return Err(
      invalidKey(
        `${name} is not a valid key name: use lower-case letters, digits, dots, underscores and hyphens`,
      ),
    );
  }
  const file = join(folder, name + KEY_FILE_SUFFIX);
  const { privateKey } = generateKeyPairSync("ed25519");
  try {
    await mkdir(folder, { recursive: true, mode: PRIVATE_FOLDER_MODE });
    await createKeyFile(
      file,
      String(privateKey.export({ type: "pkcs8", format: "pem" })),
    );
  } catch (error) {
    return Err(invalidKey(`${file} can't be written: ${errorMessage(error)}`));
  }
  return Ok({ name, publicKey: encodePublicKey(privateKey), file, privateKey });
}

/** Reads a key; rejects a file that other users can access or that contains no Ed25519 private key. */
export async function readOperatorKey(
  file: string,
): Promise<Result<OperatorKey, Failure>> {
  let text: string;
  try {
    const { mode } = await stat(file);
    if ((mode & GROUP_AND_OTHERS_MODE_BITS) !== 0) {
      return Err(insecureModeFailure(file, mode));
    }
    text = await readFile(file, "utf8");
  } catch (error) {
    return Err(invalidKey(`${file} can't be read: ${errorMessage(error)}`));
  }
  const privateKey = parseKey(text);
  if (privateKey === undefined) {
    return Err(
      invalidKey(
        `${file} contains no Ed25519 private key in PEM; generate one with keys generate`,
      ),
    );
  }
  return Ok({
    name: keyName(file),
    publicKey: encodePublicKey(privateKey),
    file,
    privateKey,
  });
}

/** Lists the key files in a folder, sorted by name. */
export async function listOperatorKeys(
  folder: string,
): Promise<Result<readonly ListedKey[], Failure>> {
  let files: readonly string[];
  try {
    files = await readdir(folder);
  } catch (error) {
    return Err(invalidKey(`${folder} can't be read: ${errorMessage(error)}`));
  }
  const listed: ListedKey[] = [];
  for (const each of [...files].sort()) {
    if (!each.endsWith(KEY_FILE_SUFFIX)) continue;
    const file = join(folder, each);
    const key = await readOperatorKey(file);
    listed.push({
      name: keyName(file),
      file,
      publicKey: key.ok ? key.val.publicKey : null,
      fault: key.ok ? null : key.val.message,
    });
  }
  return Ok(listed);
}

async function createKeyFile(file: string, text: string): Promise<void> {
  const handle = await open(file, "wx", PRIVATE_FILE_MODE);
  try {
    await handle.writeFile(text);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await chmod(file, PRIVATE_FILE_MODE);
}

function parseKey(text: string): KeyObject | undefined {
  try {
    const key = createPrivateKey(text);
    return key.asymmetricKeyType === "ed25519" ? key : undefined;
  } catch {
    return undefined;
  }
}

function keyName(file: string): string {
  const base = file.slice(file.lastIndexOf("/") + 1);
  return base.endsWith(KEY_FILE_SUFFIX)
    ? base.slice(0, -KEY_FILE_SUFFIX.length)
    : base;
}

function insecureModeFailure(file: string, mode: number): Failure {
  const octalMode = (mode & 0o777).toString(8).padStart(4, "0");
  return invalidKey(
    `${file} has mode ${octalMode} and is accessible to other users; run: chmod 600 ${file}`,
  );
}

function invalidKey(message: string): Failure {
  return fail("invalid_settings", message, { field: "key" });
}

function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
