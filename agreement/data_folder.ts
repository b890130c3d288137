/**
 * The data folder of a replica, as the storage sees it.
 *
 * @module
 */
import { type Bytes, fail, type Failure } from "#core";

/** A fault of the disk or of the data on it; the replica can't go on. */
export class StorageError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(failure.message);
    this.name = "StorageError";
    this.failure = failure;
  }
}

/** There is no room for a change; nothing of it is left, and it can be tried again. */
export class DiskFullError extends StorageError {
  constructor(message: string) {
    super(fail("storage_failed", message));
    this.name = "DiskFullError";
  }
}

/**
 * A flat folder of files; every change is durable once its promise resolves. A change that finds no room
 * rejects with `DiskFullError`.
 */
export abstract class DataFolder {
  /** Keeps other processes out; rejects with a `StorageError` if one holds the folder. */
  abstract lock(): Promise<void>;
  /** Lets others in and closes open files. */
  abstract close(): Promise<void>;
  /** Names of all files. */
  abstract list(): Promise<readonly string[]>;
  /** All bytes of a file. */
  abstract read(name: string): Promise<Uint8Array>;
  /** Some bytes of a file; fewer at its end. */
  abstract readRange(
    name: string,
    part: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array>;
  /** Creates or replaces a file: after a crash it holds either the old or the new bytes. */
  abstract replace(name: string, bytes: Uint8Array): Promise<void>;
  /** Adds bytes to a file: after a crash any part of them may be there. */
  abstract append(name: string, bytes: Uint8Array): Promise<void>;
  /** Cuts a file. */
  abstract truncate(name: string, length: Bytes): Promise<void>;
  /** Removes a file if it exists. */
  abstract remove(name: string): Promise<void>;
}
