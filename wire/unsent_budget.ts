/**
 * Limits the bytes that a process holds for peers that have not received them yet, over all connections.
 *
 * @module
 */
import { type Bytes, KIBIBYTE } from "#core";

/** A frame up to this size may use the whole budget, so that heartbeats and elections pass beside large replies. */
const SMALL_FRAME_BYTES: Bytes = 16 * KIBIBYTE;
/** Part of the budget that only small frames may use. */
const SMALL_FRAME_SHARE = 1 / 8;
/** A connection with more than this part of the budget is closed when the budget is exhausted. */
const EVICTION_SHARE = 1 / 4;

/** Options of `UnsentBudget`. */
export interface UnsentBudgetOptions<Connection> {
  readonly maximumBytes: Bytes;
  /** Closes a connection whose peer does not read; its bytes no longer count. */
  readonly close: (connection: Connection) => void;
}

/**
 * Knows the unsent bytes of each connection.
 *
 * @example
 * ```ts
 * const budget = new UnsentBudget<Socket>({ maximumBytes, close: (socket) => socket.destroy() });
 * if (budget.admits(socket, frame.length)) {
 *   socket.write(frame, () => budget.update(socket, socket.writableLength));
 *   budget.update(socket, socket.writableLength);
 * }
 * ```
 */
export class UnsentBudget<Connection> {
  readonly #options: UnsentBudgetOptions<Connection>;
  readonly #unsent = new Map<Connection, Bytes>();
  #totalBytes: Bytes = 0;

  constructor(options: UnsentBudgetOptions<Connection>) {
    this.#options = options;
  }

  /** Unsent bytes of all connections. */
  get totalBytes(): Bytes {
    return this.#totalBytes;
  }

  /**
   * Returns whether a frame may be written. Without room for it, first closes the connections with the most unsent
   * bytes, which may include this one.
   */
  admits(connection: Connection, bytes: Bytes): boolean {
    const limit = this.#limitFor(bytes);
    while (this.#totalBytes + bytes > limit) {
      const largest = this.#largest();
      if (largest === undefined) return false;
      this.update(largest, 0);
      this.#options.close(largest);
      if (largest === connection) return false;
    }
    return true;
  }

  /** Sets the unsent bytes of a connection. */
  update(connection: Connection, unsentBytes: Bytes): void {
    this.#totalBytes += unsentBytes - (this.#unsent.get(connection) ?? 0);
    if (unsentBytes > 0) this.#unsent.set(connection, unsentBytes);
    else this.#unsent.delete(connection);
  }

  #limitFor(bytes: Bytes): Bytes {
    const { maximumBytes } = this.#options;
    if (bytes <= SMALL_FRAME_BYTES) return maximumBytes;
    return maximumBytes * (1 - SMALL_FRAME_SHARE);
  }

  /** Returns the connection with the most unsent bytes, if it has more than its share. */
  #largest(): Connection | undefined {
    let largestBytes = this.#options.maximumBytes * EVICTION_SHARE;
    let largest: Connection | undefined;
    for (const [connection, bytes] of this.#unsent) {
      if (bytes <= largestBytes) continue;
      largestBytes = bytes;
      largest = connection;
    }
    return largest;
  }
}
