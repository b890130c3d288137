/**
 * Sends the leader's snapshot in chunks to replicas that the log no longer reaches. A transfer goes on
 * where the receiver says that it stands.
 *
 * @module
 */
import { type Bytes, KIBIBYTE, type Milliseconds } from "#core";
import type { ReplicaProgress } from "./leader_role.ts";
import type { SnapshotDescriptor } from "./log_storage.ts";
import type { MessageOf } from "./messages.ts";

/** Most bytes of one chunk. */
export const MAXIMUM_CHUNK_BYTES: Bytes = 256 * KIBIBYTE;

/** A chunk to be read from the disk and sent. */
export interface ChunkRequest {
  readonly progress: ReplicaProgress;
  readonly snapshot: SnapshotDescriptor;
  readonly offset: Bytes;
  readonly sentMs: Milliseconds;
}

interface Transfer {
  readonly snapshot: SnapshotDescriptor;
  offset: Bytes;
  requestedMs: Milliseconds;
}

/** Transfers of one leader. */
export class SnapshotTransfers {
  readonly #repeatMs: Milliseconds;
  readonly #transfers = new Map<string, Transfer>();
  #requests: ChunkRequest[] = [];

  constructor(repeatMs: Milliseconds) {
    this.#repeatMs = repeatMs;
  }

  /** Whether a transfer goes on, so that the snapshot should stay. */
  isActive(nowMs: Milliseconds): boolean {
    for (const transfer of this.#transfers.values()) {
      if (nowMs < transfer.requestedMs + 4 * this.#repeatMs) return true;
    }
    return false;
  }

  /** Starts a transfer, or repeats a chunk that got no answer. */
  ensureTransfer(
    progress: ReplicaProgress,
    options: {
      readonly snapshot: SnapshotDescriptor;
      readonly nowMs: Milliseconds;
    },
  ): void {
    const { snapshot, nowMs } = options;
    const known = this.#transfers.get(progress.voter.replica);
    if (known?.snapshot.hash === snapshot.hash) {
      if (nowMs < known.requestedMs + this.#repeatMs) return;
      this.#request(progress, known, nowMs);
      return;
    }
    const transfer = { snapshot, offset: 0, requestedMs: nowMs };
    this.#transfers.set(progress.voter.replica, transfer);
    this.#request(progress, transfer, nowMs);
  }

  /** Goes on where the receiver stands; at the end the receiver has the snapshot's index. */
  handleChunkReply(
    progress: ReplicaProgress,
    message: MessageOf<"chunkReply">,
    nowMs: Milliseconds,
  ): void {
    const transfer = this.#transfers.get(message.from);
    if (transfer?.snapshot.hash !== message.hash) return;
    if (message.offset >= transfer.snapshot.bytes) {
      this.#transfers.delete(message.from);
      progress.matchIndex = Math.max(
        progress.matchIndex,
        transfer.snapshot.meta.index,
      );
      progress.nextIndex = Math.max(
        progress.nextIndex,
        progress.matchIndex + 1,
      );
      return;
    }
    if (message.offset === transfer.offset) return;
    transfer.offset = message.offset;
    this.#request(progress, transfer, nowMs);
  }

  /** Chunks to be read and sent. */
  drainRequests(): readonly ChunkRequest[] {
    const requests = this.#requests;
    this.#requests = [];
    return requests;
  }

  #request(
    progress: ReplicaProgress,
    transfer: Transfer,
    nowMs: Milliseconds,
  ): void {
    transfer.requestedMs = nowMs;
    const { snapshot, offset } = transfer;
    this.#requests.push({ progress, snapshot, offset, sentMs: nowMs });
  }
}
