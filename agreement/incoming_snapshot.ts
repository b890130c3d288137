/**
 * A snapshot that is being received from the leader. It is stored as `incoming-H`, with H its hash, and kept across
 * restarts so that the transfer can resume.
 *
 * @module
 */
import type { Bytes } from "#core";
import { decodeValue } from "#wire";
import { type DataFolder, StorageError } from "./data_folder.ts";
import { encodeRecord, isRecord, MAGIC } from "./record.ts";
import { hashFile } from "./record_reader.ts";
import { describeSingleValue, describeSnapshot } from "./snapshot_file.ts";
import type { SnapshotDescriptor, SnapshotMeta } from "./stored_state.ts";

/** Prefix of the names of partially received snapshots. */
export const INCOMING_PREFIX = "incoming-";

/** A chunk of a snapshot sent by the leader. */
export interface SnapshotChunk {
  readonly hash: string;
  readonly offset: Bytes;
  readonly total: Bytes;
  readonly bytes: Uint8Array;
}

/** A snapshot that was received completely but is not installed yet. */
export interface ReceivedSnapshot {
  /** Name of its file. */
  readonly name: string;
  readonly descriptor: SnapshotDescriptor;
}

/** Progress of a snapshot transfer. */
export interface SnapshotProgress {
  /** Number of bytes received and stored so far. */
  readonly bytes: Bytes;
  /** The snapshot, once all of its bytes have been received and match the hash. */
  readonly complete: ReceivedSnapshot | null;
}

/** Stores the chunks of one snapshot at a time. */
export class IncomingSnapshot {
  readonly #folder: DataFolder;
  readonly #conversionName: string;
  #name: string | null = null;
  #bytes: Bytes = 0;

  /** A snapshot that is a single value is stored as a record in a file named `conversionName` when complete. */
  constructor(folder: DataFolder, conversionName: string) {
    this.#folder = folder;
    this.#conversionName = conversionName;
  }

  /**
   * Stores a chunk and returns the progress of the transfer. If the completed snapshot does not match its hash or
   * can't be read, it is discarded and the transfer restarts at 0 bytes.
   */
  async receive(chunk: SnapshotChunk): Promise<SnapshotProgress> {
    const name = INCOMING_PREFIX + chunk.hash;
    await this.#open(name);
    if (chunk.offset === this.#bytes && chunk.bytes.length > 0) {
      await this.#folder.append(name, chunk.bytes);
      this.#bytes += chunk.bytes.length;
    }
    if (this.#bytes < chunk.total) {
      return { bytes: this.#bytes, complete: null };
    }
    const complete = await this.#complete(name, chunk.hash);
    this.#name = null;
    if (complete === null) await this.#folder.remove(name);
    return { bytes: complete === null ? 0 : chunk.total, complete };
  }

  async #open(name: string): Promise<void> {
    if (this.#name === name) return;
    const names = await this.#folder.list();
    for (const other of names) {
      if (!other.startsWith(INCOMING_PREFIX) || other === name) continue;
      await this.#folder.remove(other);
    }
    this.#bytes = names.includes(name) ? await this.#folder.size(name) : 0;
    this.#name = name;
  }

  async #complete(
    name: string,
    hash: string,
  ): Promise<ReceivedSnapshot | null> {
    const file = { folder: this.#folder, name };
    if (await hashFile(file) !== hash) return null;
    const range = { offset: 0, length: MAGIC.length };
    if (!isRecord(await this.#folder.readRange(name, range))) {
      return this.#convert(name);
    }
    try {
      return { name, descriptor: await describeSnapshot(file) };
    } catch (error) {
      if (!isCorruption(error)) throw error;
      return null;
    }
  }

  /** Stores a snapshot that a leader of an earlier build sent as that build stores it. */
  async #convert(name: string): Promise<ReceivedSnapshot> {
    const payload = await this.#folder.read(name);
    const { meta } = decodeValue(payload) as { readonly meta: SnapshotMeta };
    const descriptor = describeSingleValue(meta, payload);
    await this.#folder.replace(this.#conversionName, encodeRecord(payload));
    await this.#folder.remove(name);
    return { name: this.#conversionName, descriptor };
  }
}

function isCorruption(error: unknown): boolean {
  return error instanceof StorageError &&
    error.failure.kind === "storage_corrupt";
}
