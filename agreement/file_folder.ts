/**
 * A data folder on a disk.
 *
 * @module
 */
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  rename,
} from "node:fs/promises";
import { rm, stat } from "node:fs/promises";
import { createServer, type Server } from "node:net";
import { join } from "node:path";
import { type Bytes, fail } from "#core";
import { DataFolder, DiskFullError, StorageError } from "./data_folder.ts";

const TEMPORARY_SUFFIX = ".new";
/** Codes of the system for a disk or a share of it that is full. */
const NO_ROOM_CODES: ReadonlySet<string> = new Set(["ENOSPC", "EDQUOT"]);

interface AppendedFile {
  readonly name: string;
  readonly file: FileHandle;
  /** What is durable of it. */
  length: Bytes;
}

/**
 * Files in one folder of a local disk. The lock is an abstract socket named after the folder's device
 * and inode: the kernel lets it go when the process ends, however that happens. Where the machine runs
 * one process only and has no such sockets, `lock: "none"` goes without.
 *
 * @example
 * ```ts
 * const folder = new FileFolder("/var/lib/cicadafield");
 * ```
 */
export class FileFolder extends DataFolder {
  readonly #path: string;
  readonly #locking: "socket" | "none";
  readonly #prefix: string;
  #lock: Server | undefined;
  #appending: AppendedFile | undefined;

  constructor(
    path: string,
    options: {
      readonly lock: "socket" | "none";
      /** Begins the names of all files, so that two replicas can share a folder. */
      readonly prefix?: string;
    } = { lock: "socket" },
  ) {
    super();
    this.#path = path;
    this.#locking = options.lock;
    this.#prefix = options.prefix ?? "";
  }

  override async lock(): Promise<void> {
    await mkdir(this.#path, { recursive: true });
    if (this.#locking === "none") return;
    const { dev, ino } = await stat(this.#path);
    const server = createServer((socket) => socket.destroy());
    await new Promise<void>((resolve, reject) => {
      server.once("error", () => {
        const message = `another process uses the data folder ${this.#path}`;
        reject(new StorageError(fail("storage_failed", message)));
      });
      server.listen(`\0cicadafield-${dev}-${ino}`, resolve);
    });
    server.unref();
    this.#lock = server;
  }

  override async close(): Promise<void> {
    await this.#closeAppending();
    const lock = this.#lock;
    this.#lock = undefined;
    if (lock === undefined) return;
    await new Promise((resolve) => lock.close(resolve));
  }

  override async list(): Promise<readonly string[]> {
    await mkdir(this.#path, { recursive: true });
    const all = await readdir(this.#path);
    const names = all.filter((each) => each.startsWith(this.#prefix))
      .map((each) => each.slice(this.#prefix.length));
    for (
      const name of names.filter((each) => each.endsWith(TEMPORARY_SUFFIX))
    ) {
      await rm(this.#file(name), { force: true });
    }
    return names.filter((each) => !each.endsWith(TEMPORARY_SUFFIX));
  }

  override async read(name: string): Promise<Uint8Array> {
    const { size } = await stat(this.#file(name));
    return this.readRange(name, { offset: 0, length: size });
  }

  override async readRange(
    name: string,
    part: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array> {
    const file = await open(this.#file(name), "r");
    try {
      const buffer = new Uint8Array(part.length);
      const { bytesRead } = await file.read(
        buffer,
        0,
        part.length,
        part.offset,
      );
      return buffer.subarray(0, bytesRead);
    } finally {
      await file.close();
    }
  }

  override async replace(name: string, bytes: Uint8Array): Promise<void> {
    await this.#closeAppending();
    const target = this.#file(name);
    const temporary = target + TEMPORARY_SUFFIX;
    try {
      await writeWhole(temporary, bytes);
    } catch (error) {
      if (!isNoRoom(error)) throw error;
      await rm(temporary, { force: true });
      throw new DiskFullError(`there is no room for ${name}`);
    }
    await rename(temporary, target);
    await this.#syncFolder();
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    try {
      const appending = await this.#open(name);
      await this.#write(appending, bytes);
      appending.length += bytes.length;
    } catch (error) {
      if (!isNoRoom(error)) throw error;
      throw new DiskFullError(`there is no room for more of ${name}`);
    }
  }

  /** Where there is no room, what was written of the bytes is cut off again. */
  async #write(appending: AppendedFile, bytes: Uint8Array): Promise<void> {
    const { file, length } = appending;
    try {
      await file.writeFile(bytes);
      await file.datasync();
    } catch (error) {
      if (isNoRoom(error)) {
        await file.truncate(length);
        await file.datasync();
      }
      throw error;
    }
  }

  override async truncate(name: string, length: Bytes): Promise<void> {
    await this.#closeAppending();
    const file = await open(this.#file(name), "r+");
    try {
      await file.truncate(length);
      await file.sync();
    } finally {
      await file.close();
    }
  }

  override async remove(name: string): Promise<void> {
    await this.#closeAppending();
    await rm(this.#file(name), { force: true });
    await this.#syncFolder();
  }

  #file(name: string): string {
    return join(this.#path, this.#prefix + name);
  }

  async #open(name: string): Promise<AppendedFile> {
    if (this.#appending?.name === name) return this.#appending;
    await this.#closeAppending();
    const file = await open(this.#file(name), "a");
    const { size } = await file.stat();
    const appending = { name, file, length: size };
    this.#appending = appending;
    await this.#syncFolder();
    return appending;
  }

  async #closeAppending(): Promise<void> {
    const appending = this.#appending;
    this.#appending = undefined;
    await appending?.file.close();
  }

  async #syncFolder(): Promise<void> {
    const folder = await open(this.#path, "r");
    try {
      await folder.sync();
    } finally {
      await folder.close();
    }
  }
}

async function writeWhole(path: string, bytes: Uint8Array): Promise<void> {
  const file = await open(path, "w");
  try {
    await file.writeFile(bytes);
    await file.sync();
  } finally {
    await file.close();
  }
}

function isNoRoom(error: unknown): boolean {
  const code = (error as { readonly code?: unknown }).code;
  return typeof code === "string" && NO_ROOM_CODES.has(code);
}
