import assert from "node:assert/strict";
import {
  chmod,
  mkdtemp,
  readFile,
  rm,
  stat,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import {
  generateOperatorKey,
  listOperatorKeys,
  readOperatorKey,
} from "./operator_keys.ts";

async function withFolder(
  use: (folder: string) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "cicadafield-keys-"));
  try {
    await use(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

test("a key is written for its owner only and read back with the same public half", async () => {
  await withFolder(async (folder) => {
    const made = (await generateOperatorKey(folder, "awa")).unwrap();
    assert.equal((await stat(made.file)).mode & 0o777, 0o600);
    const read = (await readOperatorKey(made.file)).unwrap();
    assert.equal(read.name, "awa");
    assert.equal(read.publicKey, made.publicKey);
    assert.match(read.publicKey, /^[A-Za-z0-9+/]{43}=$/);
  });
});

test("a key file that others can read is refused with what to do", async () => {
  await withFolder(async (folder) => {
    const made = (await generateOperatorKey(folder, "awa")).unwrap();
    for (const mode of [0o640, 0o604, 0o620, 0o602]) {
      await chmod(made.file, mode);
      const read = await readOperatorKey(made.file);
      assert.ok(read.err, mode.toString(8));
      assert.match(read.val.message, /open to others; run: chmod 600 /);
    }
  });
});

test("a key is never replaced", async () => {
  await withFolder(async (folder) => {
    const made = (await generateOperatorKey(folder, "awa")).unwrap();
    const before = await readFile(made.file, "utf8");
    assert.ok((await generateOperatorKey(folder, "awa")).err);
    assert.equal(await readFile(made.file, "utf8"), before);
  });
});

test("a name that leaves the folder is refused", async () => {
  await withFolder(async (folder) => {
    for (const name of ["../awa", "", "a/b", "Awa"]) {
      assert.ok((await generateOperatorKey(folder, name)).err, name);
    }
  });
});

test("a listing names usable keys and the fault of each other file", async () => {
  await withFolder(async (folder) => {
    const made = (await generateOperatorKey(folder, "awa")).unwrap();
    await writeFile(join(folder, "bad.pem"), "no key", { mode: 0o600 });
    await writeFile(join(folder, "notes.txt"), "");
    const keys = (await listOperatorKeys(folder)).unwrap();
    assert.deepEqual(keys.map((key) => key.name), ["awa", "bad"]);
    assert.equal(keys[0]?.publicKey, made.publicKey);
    assert.match(keys[1]?.fault ?? "", /holds no Ed25519 private key/);
  });
});
