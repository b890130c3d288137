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

test("a generated key file is accessible to its owner only and reads back with the same public key", async () => {
  await withFolder(async (folder) => {
    const generated = (await generateOperatorKey(folder, "awa")).unwrap();
    assert.equal((await stat(generated.file)).mode & 0o777, 0o600);
    const read = (await readOperatorKey(generated.file)).unwrap();
    assert.equal(read.name, "awa");
    assert.equal(read.publicKey, generated.publicKey);
    assert.match(read.publicKey, /^[A-Za-z0-9+/]{43}=$/);
  });
});

test("a key file that other users can access is rejected with the command that fixes it", async () => {
  await withFolder(async (folder) => {
    const generated = (await generateOperatorKey(folder, "awa")).unwrap();
    for (const mode of [0o640, 0o604, 0o620, 0o602]) {
      await chmod(generated.file, mode);
      const read = await readOperatorKey(generated.file);
      assert.ok(read.err, mode.toString(8));
      assert.match(
        read.val.message,
        /accessible to other users; run: chmod 600 /,
      );
    }
  });
});

test("generating a key never overwrites an existing file", async () => {
  await withFolder(async (folder) => {
    const generated = (await generateOperatorKey(folder, "awa")).unwrap();
    const before = await readFile(generated.file, "utf8");
    assert.ok((await generateOperatorKey(folder, "awa")).err);
    assert.equal(await readFile(generated.file, "utf8"), before);
  });
});

test("a key name that would leave the folder is rejected", async () => {
  await withFolder(async (folder) => {
    for (const name of ["../awa", "", "a/b", "Awa"]) {
      assert.ok((await generateOperatorKey(folder, name)).err, name);
    }
  });
});

test("listing a folder returns the usable keys and the error of each unusable key file", async () => {
  await withFolder(async (folder) => {
    const generated = (await generateOperatorKey(folder, "awa")).unwrap();
    await writeFile(join(folder, "bad.pem"), "no key", { mode: 0o600 });
    await writeFile(join(folder, "notes.txt"), "");
    const keys = (await listOperatorKeys(folder)).unwrap();
    assert.deepEqual(keys.map((key) => key.name), ["awa", "bad"]);
    assert.equal(keys[0]?.publicKey, generated.publicKey);
    assert.match(keys[1]?.fault ?? "", /contains no Ed25519 private key/);
  });
});
