/**
 * The port through which a replica's storage accesses its data folder.
 *
 * @module
 */
import { type Bytes, fail, type Failure } from "#core";

/** A disk error or corrupt data; the replica cannot continue. */
export class StorageError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(failure.message);
    this.name = "StorageError";
    this.failure = failure;
  }
}

/** The disk is too full for a change. The change left nothing behind and can be retried. */
export class DiskFullError extends StorageError {
  constructor(message: string) {
    super(fail("storage_failed", message));
    this.name = "DiskFullError";
  }
}

/**
 * A flat folder of files. A change is durable once its promise resolves; it rejects with `DiskFullError`
 * if there is not enough disk space.
 */
export abstract class DataFolder {
  /** Locks the folder; rejects with a `StorageError` if another process has locked it. */
  abstract lock(): Promise<void>;
  /** Closes open files and releases the lock. */
  abstract close(): Promise<void>;
  /** Returns the names of all files. */
  abstract list(): Promise<readonly string[]>;
  /** Reads an entire file. */
  abstract read(name: string): Promise<Uint8Array>;
  /** Reads a range of bytes of a file; returns fewer at its end. */
  abstract readRange(
    name: string,
    range: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array>;
  /** Returns the length of a file. */
  abstract size(name: string): Promise<Bytes>;
  /** Creates or replaces a file atomically: after a crash it contains either the old or the new bytes. */
  abstract replace(name: string, bytes: Uint8Array): Promise<void>;
  /** Appends bytes to a file. After a crash the file may contain any portion of them. */
  abstract append(name: string, bytes: Uint8Array): Promise<void>;
  /** Renames a file atomically, replacing the file with the new name if there is one. */
  abstract rename(from: string, to: string): Promise<void>;
  /** Truncates a file to a length. */
  abstract truncate(name: string, length: Bytes): Promise<void>;
  /** Removes a file if it exists. */
  abstract remove(name: string): Promise<void>;
}
