/**
 * Reads chunks of the leader's snapshot from the disk and sends them.
 *
 * @module
 */
import type { LogStorage, SnapshotDescriptor } from "./log_storage.ts";
import type { Replica } from "./replica.ts";
import type { Outgoing } from "./replica_state.ts";
import { CHUNK_BYTES, type ChunkRequest } from "./snapshot_sending.ts";

/** What a sender is built from. */
export interface ChunkSenderOptions {
  readonly replica: Replica;
  readonly storage: LogStorage;
  readonly send: (messages: readonly Outgoing[]) => void;
}

/** Does what the transfers of the leader ask for. */
export class ChunkSender {
  readonly #options: ChunkSenderOptions;

  constructor(options: ChunkSenderOptions) {
    this.#options = options;
  }

  /** Sends the chunks that are asked for now. */
  async send(): Promise<void> {
    const { leadership } = this.#options.replica;
    for (const request of leadership?.sending.takeRequests() ?? []) {
      await this.#sendOne(request);
    }
  }

  async #sendOne(request: ChunkRequest): Promise<void> {
    const { replica, send } = this.#options;
    const { snapshot, offset, sentMs } = request;
    const bytes = await this.#read(snapshot, offset);
    if (bytes === undefined || replica.leadership === undefined) return;
    const { replica: to, vm } = request.progress.seat;
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

  /** Part of the snapshot; undefined if a newer one has taken its place. */
  async #read(
    snapshot: SnapshotDescriptor,
    offset: number,
  ): Promise<Uint8Array | undefined> {
    try {
      const part = { offset, length: CHUNK_BYTES };
      return await this.#options.storage.readSnapshot(snapshot, part);
    } catch {
      return undefined;
    }
  }
}
