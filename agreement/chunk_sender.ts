/**
 * Reads chunks of the leader's snapshot from storage and sends them to followers.
 *
 * @module
 */
import type { LogStorage } from "./log_storage.ts";
import type { Replica } from "./replica.ts";
import type { OutgoingMessage } from "./replica_state.ts";
import {
  type ChunkRequest,
  MAXIMUM_CHUNK_BYTES,
} from "./snapshot_transfers.ts";
import type { SnapshotDescriptor } from "./stored_state.ts";

/** Options of `ChunkSender`. */
export interface ChunkSenderOptions {
  readonly replica: Replica;
  readonly storage: LogStorage;
  readonly send: (messages: readonly OutgoingMessage[]) => void;
}

/** Sends the chunks that the leader's snapshot transfers request. */
export class ChunkSender {
  readonly #options: ChunkSenderOptions;

  constructor(options: ChunkSenderOptions) {
    this.#options = options;
  }

  /** Sends all chunks that are currently requested. */
  async send(): Promise<void> {
    const { leaderRole } = this.#options.replica;
    for (const request of leaderRole?.snapshotTransfers.drainRequests() ?? []) {
      await this.#sendChunk(request);
    }
  }

  async #sendChunk(request: ChunkRequest): Promise<void> {
    const { replica, send } = this.#options;
    const { snapshot, offset, sentMs } = request;
    const bytes = await this.#readChunk(snapshot, offset);
    if (bytes === undefined || replica.leaderRole === undefined) return;
    const { replica: to, vm } = request.progress.member;
    const message = replica.state.message("chunk", {
      to,
      index: snapshot.meta.index,
      hash: snapshot.hash,
      offset,
      total: snapshot.bytes,
      sentMs,
      bytes: bytes as Uint8Array<ArrayBuffer>,
    });
    send([{ vm, message }]);
  }

  /** Reads a chunk; returns undefined if a newer snapshot has replaced this one. */
  async #readChunk(
    snapshot: SnapshotDescriptor,
    offset: number,
  ): Promise<Uint8Array | undefined> {
    try {
      const range = { offset, length: MAXIMUM_CHUNK_BYTES };
      return await this.#options.storage.readSnapshot(snapshot, range);
    } catch {
      return undefined;
    }
  }
}
