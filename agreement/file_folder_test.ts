import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { DiskFullError } from "./data_folder.ts";
import { FileFolder } from "./file_folder.ts";

type FileOperation = "writeFile" | "truncate" | "datasync";

/** Lets file operations of this process fail as on a full disk, a write after half of its bytes. */
class FullDisk {
  readonly #prototype: FileHandle;
  readonly #originals = new Map<FileOperation, unknown>();

  private constructor(prototype: FileHandle) {
    this.#prototype = prototype;
  }

  static async create(folder: string): Promise<FullDisk> {
    const file = await open(join(folder, "any"), "w");
    await file.close();
    return new FullDisk(Object.getPrototypeOf(file));
  }

  fill(...operations: readonly FileOperation[]): void {
    for (const operation of operations) {
      const original = this.#prototype[operation];
      this.#originals.set(operation, original);
      const write = this.#prototype.write as (
        bytes: Uint8Array,
      ) => Promise<unknown>;
      this.#prototype[operation] = async function (
        this: FileHandle,
        ...parts: readonly unknown[]
      ): Promise<never> {
        const [bytes] = parts;
        if (bytes instanceof Uint8Array) {
          const half = bytes.subarray(0, bytes.length / 2);
          await write.call(this, half);
        }
        throw Object.assign(new Error("no space"), { code: "ENOSPC" });
      } as never;
    }
  }

  free(): void {
    for (const [operation, original] of this.#originals) {
      this.#prototype[operation] = original as never;
    }
    this.#originals.clear();
  }
}

async function withFolder(
  use: (folder: FileFolder, disk: FullDisk) => Promise<void>,
): Promise<void> {
  const path = mkdtempSync(join(tmpdir(), "cicadafield-"));
  const disk = await FullDisk.create(path);
  const folder = new FileFolder(path, { lock: "none", prefix: "p-" });
  try {
    await use(folder, disk);
  } finally {
    disk.free();
    await folder.close();
    rmSync(path, { recursive: true, force: true });
  }
}

for (
  const operations of [["writeFile"], ["writeFile", "truncate"], [
    "writeFile",
    "datasync",
  ]] as const
) {
  test(`an append to a disk that fills within it leaves nothing behind if ${operations.join(" and ")} fail`, async () => {
    await withFolder(async (folder, disk) => {
      await folder.append("log", Buffer.from("first "));
      disk.fill(...operations);
      for (let tries = 0; tries < 3; tries += 1) {
        await assert.rejects(
          folder.append("log", Buffer.from("lost in part ")),
          DiskFullError,
        );
      }
      disk.free();
      await folder.append("log", Buffer.from("second"));
      const text = Buffer.from(await folder.read("log")).toString();
      assert.equal(text, "first second");
    });
  });
}
