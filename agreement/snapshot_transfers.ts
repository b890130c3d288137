/**
 * Sends the leader's snapshot in chunks to replicas whose next entry is no longer in the log. A transfer
 * resumes at the offset that the receiver reports.
 *
 * @module
 */
import { type Bytes, KIBIBYTE, type Milliseconds } from "#core";
import type { ReplicaProgress } from "./leader_role.ts";
import type { SnapshotDescriptor } from "./log_storage.ts";
import type { MessageOf } from "./messages.ts";

/** Maximum size of a snapshot chunk. */
export const MAXIMUM_CHUNK_BYTES: Bytes = 256 * KIBIBYTE;

/** Request to read a chunk from the disk and send it. */
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

/** Snapshot transfers of one leader. */
export class SnapshotTransfers {
  readonly #retryIntervalMs: Milliseconds;
  readonly #transfers = new Map<string, Transfer>();
  #requests: ChunkRequest[] = [];

  constructor(retryIntervalMs: Milliseconds) {
    this.#retryIntervalMs = retryIntervalMs;
  }

  /** Whether a chunk was requested within the last 4 retry intervals: the snapshot should not be replaced yet. */
  isActive(nowMs: Milliseconds): boolean {
    for (const transfer of this.#transfers.values()) {
      if (nowMs < transfer.requestedMs + 4 * this.#retryIntervalMs) return true;
    }
    return false;
  }

  /** Starts a transfer unless one is running; requests an unacknowledged chunk again. */
  ensureTransfer(
    progress: ReplicaProgress,
    options: {
      readonly snapshot: SnapshotDescriptor;
      readonly nowMs: Milliseconds;
    },
  ): void {
    const { snapshot, nowMs } = options;
    const known = this.#transfers.get(progress.member.replica);
    if (known?.snapshot.hash === snapshot.hash) {
      if (nowMs < known.requestedMs + this.#retryIntervalMs) return;
      this.#request(progress, known, nowMs);
      return;
    }
    const transfer = { snapshot, offset: 0, requestedMs: nowMs };
    this.#transfers.set(progress.member.replica, transfer);
    this.#request(progress, transfer, nowMs);
  }

  /** Requests the next chunk; after the last one, advances the receiver's progress to the snapshot's index. */
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

  /** Removes and returns the chunk requests. */
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
