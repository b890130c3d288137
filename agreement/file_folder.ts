/**
 * A data folder on a local disk.
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
/** Error codes of the operating system for a full disk or an exhausted disk quota. */
const DISK_FULL_CODES: ReadonlySet<string> = new Set(["ENOSPC", "EDQUOT"]);

interface AppendFile {
  readonly file: FileHandle;
  /** Length of the file that is durable. */
  durableBytes: Bytes;
  /** Whether bytes of an append that failed may follow them. */
  isTorn: boolean;
}

/**
 * Stores files in one folder of a local disk. The lock is an abstract socket named after the folder's
 * device and inode, which the kernel releases however the process ends. `lock: "none"` disables locking,
 * for machines that run a single process and do not support abstract sockets.
 *
 * @example
 * ```ts
 * const folder = new FileFolder("/var/lib/cicadafield");
 * ```
 */
export class FileFolder extends DataFolder {
  readonly #path: string;
  readonly #lockMode: "socket" | "none";
  readonly #prefix: string;
  #lockServer: Server | undefined;
  /** Files open for appending: the log, and the files that are being written beside it. */
  readonly #appendFiles = new Map<string, AppendFile>();

  constructor(
    path: string,
    options: {
      readonly lock: "socket" | "none";
      /** Prefix of all file names, so that two replicas can share a folder. */
      readonly prefix?: string;
    } = { lock: "socket" },
  ) {
    super();
    this.#path = path;
    this.#lockMode = options.lock;
    this.#prefix = options.prefix ?? "";
  }

  override async lock(): Promise<void> {
    await mkdir(this.#path, { recursive: true });
    if (this.#lockMode === "none") return;
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
    this.#lockServer = server;
  }

  override async close(): Promise<void> {
    for (const name of [...this.#appendFiles.keys()]) {
      await this.#closeAppendFile(name);
    }
    const lockServer = this.#lockServer;
    this.#lockServer = undefined;
    if (lockServer === undefined) return;
    await new Promise((resolve) => lockServer.close(resolve));
  }

  override async list(): Promise<readonly string[]> {
    await mkdir(this.#path, { recursive: true });
    const all = await readdir(this.#path);
    const names = all.filter((each) => each.startsWith(this.#prefix))
      .map((each) => each.slice(this.#prefix.length));
    for (
      const name of names.filter((each) => each.endsWith(TEMPORARY_SUFFIX))
    ) {
      await rm(this.#pathOf(name), { force: true });
    }
    return names.filter((each) => !each.endsWith(TEMPORARY_SUFFIX));
  }

  override async read(name: string): Promise<Uint8Array> {
    const { size } = await stat(this.#pathOf(name));
    return this.readRange(name, { offset: 0, length: size });
  }

  override async readRange(
    name: string,
    range: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array> {
    const file = await open(this.#pathOf(name), "r");
    try {
      const buffer = new Uint8Array(range.length);
      const { bytesRead } = await file.read(
        buffer,
        0,
        range.length,
        range.offset,
      );
      return buffer.subarray(0, bytesRead);
    } finally {
      await file.close();
    }
  }

  override async size(name: string): Promise<Bytes> {
    return (await stat(this.#pathOf(name))).size;
  }

  override async replace(name: string, bytes: Uint8Array): Promise<void> {
    await this.#closeAppendFile(name);
    const target = this.#pathOf(name);
    const temporary = target + TEMPORARY_SUFFIX;
    try {
      await writeAndSync(temporary, bytes);
    } catch (error) {
      if (!isDiskFull(error)) throw error;
      await rm(temporary, { force: true });
      throw new DiskFullError(`the disk is too full to write ${name}`);
    }
    await rename(temporary, target);
    await this.#syncFolder();
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    try {
      const appendFile = await this.#openForAppend(name);
      await this.#writeAppended(appendFile, bytes);
      appendFile.durableBytes += bytes.length;
    } catch (error) {
      if (!isDiskFull(error)) throw error;
      throw new DiskFullError(`the disk is too full to append to ${name}`);
    }
  }

  /**
   * Appends and syncs bytes; if the disk is full, truncates the file to its durable length. A full disk may prevent that
   * as well, so it is made up for before the next append.
   */
  async #writeAppended(
    appendFile: AppendFile,
    bytes: Uint8Array,
  ): Promise<void> {
    const { file } = appendFile;
    if (appendFile.isTorn) await this.#truncateTorn(appendFile);
    appendFile.isTorn = true;
    try {
      await file.writeFile(bytes);
      await file.datasync();
      appendFile.isTorn = false;
    } catch (error) {
      if (isDiskFull(error)) await this.#truncateTorn(appendFile);
      throw error;
    }
  }

  async #truncateTorn(appendFile: AppendFile): Promise<void> {
    const { file, durableBytes } = appendFile;
    await file.truncate(durableBytes);
    await file.datasync();
    appendFile.isTorn = false;
  }

  override async rename(from: string, to: string): Promise<void> {
    await this.#closeAppendFile(from);
    await this.#closeAppendFile(to);
    await rename(this.#pathOf(from), this.#pathOf(to));
    await this.#syncFolder();
  }

  override async truncate(name: string, length: Bytes): Promise<void> {
    await this.#closeAppendFile(name);
    const file = await open(this.#pathOf(name), "r+");
    try {
      await file.truncate(length);
      await file.sync();
    } finally {
      await file.close();
    }
  }

  override async remove(name: string): Promise<void> {
    await this.#closeAppendFile(name);
    await rm(this.#pathOf(name), { force: true });
    await this.#syncFolder();
  }

  #pathOf(name: string): string {
    return join(this.#path, this.#prefix + name);
  }

  async #openForAppend(name: string): Promise<AppendFile> {
    const known = this.#appendFiles.get(name);
    if (known !== undefined) return known;
    const file = await open(this.#pathOf(name), "a");
    const { size } = await file.stat();
    const appendFile = { file, durableBytes: size, isTorn: false };
    this.#appendFiles.set(name, appendFile);
    await this.#syncFolder();
    return appendFile;
  }

  async #closeAppendFile(name: string): Promise<void> {
    const appendFile = this.#appendFiles.get(name);
    if (appendFile === undefined) return;
    if (appendFile.isTorn) await this.#truncateTorn(appendFile);
    this.#appendFiles.delete(name);
    await appendFile.file.close();
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

async function writeAndSync(path: string, bytes: Uint8Array): Promise<void> {
  const file = await open(path, "w");
  try {
    await file.writeFile(bytes);
    await file.sync();
  } finally {
    await file.close();
  }
}

function isDiskFull(error: unknown): boolean {
  const code = (error as { readonly code?: unknown }).code;
  return typeof code === "string" && DISK_FULL_CODES.has(code);
}
