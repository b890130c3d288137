/**
 * An in-memory data folder for tests that loses changes which were not synced before a crash.
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

/** Options of `MemoryDisk`. */
export interface MemoryDiskOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Returns how long the next change takes to become durable. */
  readonly nextSyncMs: () => Milliseconds;
}

interface DiskChange {
  readonly name: string;
  /** Whether the change needs disk space. */
  readonly needsSpace: boolean;
  readonly apply: () => void;
  /** Applies the portion of the change that survives a crash. */
  readonly applyPartially: () => void;
}

/** A simulated disk whose contents survive the processes that open it. */
export class MemoryDisk {
  readonly options: MemoryDiskOptions;
  readonly files = new Map<string, Buffer>();
  /** Number of changes made durable so far. */
  syncCount = 0;
  /** Whether the disk is full. */
  full = false;
  /** Whether there is space for a change of a file. */
  hasSpace: (name: string) => boolean = () => true;
  /** Whether the next change fails with a disk error, after which any portion of it may be stored. */
  failsNextChange = false;
  /** Whether a simulated disk error was reported to the process that has the disk open. */
  failed = false;
  /** Called immediately before each change becomes durable; may call `crash`. */
  beforeSync: () => void = () => {};
  #pending: DiskChange | undefined;
  #session = 0;

  constructor(options: MemoryDiskOptions) {
    this.options = options;
  }

  /** Opens the disk for a new process; unfinished changes of an earlier process are lost. */
  open(): MemoryFolder {
    this.crash();
    this.failed = false;
    return new MemoryFolder(this);
  }

  /** Number of the session that may write; each process opens one session. */
  get session(): number {
    return this.#session;
  }

  /** Ends the current session. An unfinished append is partially applied; other changes are lost. */
  crash(): void {
    this.#session += 1;
    this.#pending?.applyPartially();
    this.#pending = undefined;
  }

  /** Ends the current session and deletes all files. */
  wipe(): void {
    this.crash();
    this.files.clear();
  }

  /** Applies a change after the sync time. If the session ends first, the promise never settles. */
  async change(session: number, change: DiskChange): Promise<void> {
    if (session !== this.#session) return neverSettles();
    this.#pending = change;
    await this.options.clock.sleep(this.options.nextSyncMs());
    if (session !== this.#session) return neverSettles();
    this.#throwIfFaulty(change);
    this.beforeSync();
    if (session !== this.#session) return neverSettles();
    this.#pending = undefined;
    this.syncCount += 1;
    change.apply();
  }

  #throwIfFaulty(change: DiskChange): void {
    const isFull = this.full || !this.hasSpace(change.name);
    if (isFull && change.needsSpace) {
      this.#pending = undefined;
      throw new DiskFullError("the disk is full");
    }
    if (!this.failsNextChange) return;
    this.failsNextChange = false;
    this.failed = true;
    this.#pending = undefined;
    change.applyPartially();
    throw new StorageError(fail("storage_failed", "simulated disk error"));
  }
}

/** The folder of a memory disk as one process has opened it. */
export class MemoryFolder extends DataFolder {
  readonly #disk: MemoryDisk;
  readonly #session: number;

  constructor(disk: MemoryDisk) {
    super();
    this.#disk = disk;
    this.#session = disk.session;
  }

  /** Whether the process of this folder was killed; its operations have no effect and never end. */
  get #isEnded(): boolean {
    return this.#session !== this.#disk.session;
  }

  override lock(): Promise<void> {
    return Promise.resolve();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  override list(): Promise<readonly string[]> {
    if (this.#isEnded) return neverSettles();
    return Promise.resolve([...this.#disk.files.keys()]);
  }

  override read(name: string): Promise<Uint8Array> {
    if (this.#isEnded) return neverSettles();
    const bytes = this.#disk.files.get(name);
    if (bytes === undefined) return Promise.reject(missingFile(name));
    return Promise.resolve(bytes);
  }

  override readRange(
    name: string,
    range: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array> {
    if (this.#isEnded) return neverSettles();
    const bytes = this.#disk.files.get(name);
    if (bytes === undefined) return Promise.reject(missingFile(name));
    const end = range.offset + range.length;
    return Promise.resolve(bytes.subarray(range.offset, end));
  }

  override size(name: string): Promise<Bytes> {
    if (this.#isEnded) return neverSettles();
    const bytes = this.#disk.files.get(name);
    if (bytes === undefined) return Promise.reject(missingFile(name));
    return Promise.resolve(bytes.length);
  }

  override replace(name: string, bytes: Uint8Array): Promise<void> {
    const copy = Buffer.from(bytes);
    return this.#disk.change(this.#session, {
      name,
      needsSpace: true,
      apply: () => this.#disk.files.set(name, copy),
      applyPartially: () => {},
    });
  }

  override append(name: string, bytes: Uint8Array): Promise<void> {
    const files = this.#disk.files;
    const old = files.get(name) ?? Buffer.alloc(0);
    const random = this.#disk.options.random;
    return this.#disk.change(this.#session, {
      name,
      needsSpace: true,
      apply: () => files.set(name, Buffer.concat([old, bytes])),
      applyPartially: () => {
        const length = random.below(bytes.length + 1);
        files.set(name, Buffer.concat([old, bytes.subarray(0, length)]));
      },
    });
  }

  override rename(from: string, to: string): Promise<void> {
    const name = to;
    const files = this.#disk.files;
    if (this.#isEnded) return neverSettles();
    const bytes = files.get(from);
    if (bytes === undefined) return Promise.reject(missingFile(from));
    return this.#disk.change(this.#session, {
      name,
      needsSpace: false,
      apply: () => {
        files.delete(from);
        files.set(to, bytes);
      },
      applyPartially: () => {},
    });
  }

  override truncate(name: string, length: Bytes): Promise<void> {
    const files = this.#disk.files;
    return this.#disk.change(this.#session, {
      name,
      needsSpace: false,
      apply: () => {
        files.set(
          name,
          (files.get(name) ?? Buffer.alloc(0)).subarray(0, length),
        );
      },
      applyPartially: () => {},
    });
  }

  override remove(name: string): Promise<void> {
    return this.#disk.change(this.#session, {
      name,
      needsSpace: false,
      apply: () => this.#disk.files.delete(name),
      applyPartially: () => {},
    });
  }
}

function missingFile(name: string): StorageError {
  return new StorageError(
    fail("storage_failed", `file ${name} does not exist`),
  );
}

function neverSettles(): Promise<never> {
  return new Promise(() => {});
}
