/**
 * Sends the leader's snapshot in chunks to replicas whose next entry is no longer in the log. A transfer
 * resumes at the offset that the receiver reports.
 *
 * @module
 */
import { type Bytes, KIBIBYTE, type Milliseconds } from "#core";
import type { MessageOf } from "./messages.ts";
import type { ReplicaProgress } from "./replica_progress.ts";
import type { SnapshotDescriptor } from "./stored_state.ts";

/** Maximum size of a snapshot chunk. */
export const MAXIMUM_CHUNK_BYTES: Bytes = 256 * KIBIBYTE;

/**
 * Number of retry intervals without progress after which the receiver of a transfer counts as unreachable. A slow
 * disk may take several of them for one chunk, and a snapshot that is replaced too early is sent from its start.
 */
const TRANSFER_STALL_RETRIES = 20;

/** Time without progress after which a replica that installed a snapshot counts as unreachable. */
const CATCH_UP_STALL_MS: Milliseconds = 2_000;

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
  /** When the receiver last reported another offset, or the transfer started; retries don't change it. */
  advancedMs: Milliseconds;
}

/** A replica that installed a snapshot and needs the log from there on. */
interface CatchUp {
  readonly progress: ReplicaProgress;
  /** Last index of the log when the transfer ended. */
  readonly lastIndex: number;
  readonly startedMs: Milliseconds;
}

/** Snapshot transfers of one leader. */
export class SnapshotTransfers {
  readonly #retryIntervalMs: Milliseconds;
  readonly #transfers = new Map<string, Transfer>();
  readonly #catchUps = new Map<string, CatchUp>();
  #requests: ChunkRequest[] = [];

  constructor(retryIntervalMs: Milliseconds) {
    this.#retryIntervalMs = retryIntervalMs;
  }

  /**
   * Whether the snapshot should not be replaced yet: a transfer advanced within the last 20 retry intervals, or a
   * replica that received the snapshot still needs entries that were in the log when the transfer ended, and
   * advanced within the last 2 s. A replica that no longer answers doesn't count.
   */
  isActive(nowMs: Milliseconds): boolean {
    const stallMs = TRANSFER_STALL_RETRIES * this.#retryIntervalMs;
    for (const transfer of this.#transfers.values()) {
      if (nowMs < transfer.advancedMs + stallMs) return true;
    }
    for (const [replica, catchUp] of this.#catchUps) {
      if (isCatchingUp(catchUp, nowMs)) return true;
      this.#catchUps.delete(replica);
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
    const transfer = {
      snapshot,
      offset: 0,
      requestedMs: nowMs,
      advancedMs: nowMs,
    };
    this.#transfers.set(progress.member.replica, transfer);
    this.#request(progress, transfer, nowMs);
  }

  /** Requests the next chunk; after the last one, advances the receiver's progress to the snapshot's index. */
  handleChunkReply(
    progress: ReplicaProgress,
    message: MessageOf<"chunkReply">,
    now: { readonly nowMs: Milliseconds; readonly lastIndex: number },
  ): void {
    const { nowMs, lastIndex } = now;
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
      const catchUp = { progress, lastIndex, startedMs: nowMs };
      this.#catchUps.set(message.from, catchUp);
      return;
    }
    if (message.offset === transfer.offset) return;
    transfer.offset = message.offset;
    transfer.advancedMs = nowMs;
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

function isCatchingUp(catchUp: CatchUp, nowMs: Milliseconds): boolean {
  const { progress, lastIndex, startedMs } = catchUp;
  if (progress.matchIndex >= lastIndex) return false;
  const advancedMs = Math.max(startedMs, progress.lastAdvanceMs);
  return nowMs < advancedMs + CATCH_UP_STALL_MS;
}
