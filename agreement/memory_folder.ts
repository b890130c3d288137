/**
 * A data folder in memory that forgets what wasn't synced: for tests.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  type Bytes,
  type Clock,
  fail,
  type Milliseconds,
  type RandomSource,
} from "#core";
import { DataFolder, DiskFullError, StorageError } from "./data_folder.ts";

/** What a memory disk is built from. */
export interface MemoryDiskOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** How long the next change takes to become durable. */
  readonly syncMs: () => Milliseconds;
}

interface DiskChange {
  /** Whether the change needs room. */
  readonly adds: boolean;
  readonly apply: () => void;
  /** What of the change is there after a crash. */
  readonly tear: () => void;
}

/** A disk that outlives the processes that open it. */
export class MemoryDisk {
  readonly options: MemoryDiskOptions;
  readonly files = new Map<string, Buffer>();
  /** Changes made durable so far. */
  syncs = 0;
  /** Whether there is no room for more bytes. */
  full = false;
  /** Whether the next change fails with an error of the disk, after which any part of it may be there. */
  broken = false;
  /** Whether the process that has the disk was told of such an error. */
  failed = false;
  /** Called before each change becomes durable; may call `crash`. */
  beforeSync: () => void = () => {};
  #pending: DiskChange | undefined;
  #session = 0;

  constructor(options: MemoryDiskOptions) {
    this.options = options;
  }

  /** Opens the disk for a new process; what an earlier one still writes is lost. */
  open(): MemoryFolder {
    this.crash();
    this.failed = false;
    return new MemoryFolder(this);
  }

  /** Number of the process that may write. */
  get session(): number {
    return this.#session;
  }

  /** Ends the process that writes: an unfinished append is there in part, other changes aren't. */
  crash(): void {
    this.#session += 1;
    this.#pending?.tear();
    this.#pending = undefined;
  }

  /** Empties the disk. */
  wipe(): void {
    this.crash();
    this.files.clear();
  }

  /** Makes a change durable after the sync time, unless the process ends before. */
  async change(session: number, change: DiskChange): Promise<void> {
    if (session !== this.#session) return forever();
    this.#pending = change;
    await this.options.clock.sleep(this.options.syncMs());
    if (session !== this.#session) return forever();
    this.#refuse(change);
    this.beforeSync();
    if (session !== this.#session) return forever();
    this.#pending = undefined;
    this.syncs += 1;
    change.apply();
  }

  #refuse(change: DiskChange): void {
    if (this.full && change.adds) {
      this.#pending = undefined;
      throw new DiskFullError("there is no room");
    }
    if (!this.broken) return;
    this.broken = false;
    this.failed = true;
    this.#pending = undefined;
    change.tear();
    throw new StorageError(fail("storage_failed", "the disk has an error"));
  }
}

/** One process's view of a memory disk. */
export class MemoryFolder extends DataFolder {
  readonly #disk: MemoryDisk;
  readonly #session: number;

  constructor(disk: MemoryDisk) {
    super();
    this.#disk = disk;
    this.#session = disk.session;
  }

  override lock(): Promise<void> {
    return Promise.resolve();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  override list(): Promise<readonly string[]> {
    return Promise.resolve([...this.#disk.files.keys()]);
  }

  override read(name: string): Promise<Uint8Array> {
    const bytes = this.#disk.files.get(name);
    if (bytes === undefined) {
      const failure = fail("storage_failed", `there is no file ${name}`);
      return Promise.reject(new StorageError(failure));
    }
    return Promise.resolve(bytes);
  }

  override async readRange(
    name: string,
    part: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array> {
    const bytes = await this.read(name);
    return bytes.subarray(part.offset, part.offset + part.length);
  }

  override replace(name: string, bytes: Uint8Array): Promise<void> {
    const copy = Buffer.from(bytes);
    return this.#disk.change(this.#session, {
      adds: true,
      apply: () => this.#disk.files.set(name, copy),
      tear: () => {},
    });
  }

  override append(name: string, bytes: Uint8Array): Promise<void> {
    const files = this.#disk.files;
    const old = files.get(name) ?? Buffer.alloc(0);
    const random = this.#disk.options.random;
    return this.#disk.change(this.#session, {
      adds: true,
      apply: () => files.set(name, Buffer.concat([old, bytes])),
      tear: () => {
        const length = random.below(bytes.length + 1);
        files.set(name, Buffer.concat([old, bytes.subarray(0, length)]));
      },
    });
  }

  override truncate(name: string, length: Bytes): Promise<void> {
    const files = this.#disk.files;
    return this.#disk.change(this.#session, {
      adds: false,
      apply: () => {
        files.set(
          name,
          (files.get(name) ?? Buffer.alloc(0)).subarray(0, length),
        );
      },
      tear: () => {},
    });
  }

  override remove(name: string): Promise<void> {
    return this.#disk.change(this.#session, {
      adds: false,
      apply: () => this.#disk.files.delete(name),
      tear: () => {},
    });
  }
}

function forever(): Promise<never> {
  return new Promise(() => {});
}
