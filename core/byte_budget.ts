/**
 * Limits the bytes of all message bodies of one kind that a process holds at the same time.
 *
 * @module
 */
import { GARBAGE_METER } from "./garbage_meter.ts";
import { type Bytes, KIBIBYTE, MEBIBYTE } from "./units.ts";

/** A body up to this size may use the whole budget, so that a few large bodies can't block the small ones. */
const SMALL_BODY_BYTES: Bytes = 64 * KIBIBYTE;
/** Part of the budget that only small bodies may use. */
const SMALL_BODY_SHARE = 1 / 6;
/** Other bodies, of small requests, beside which the largest body is still accepted. */
const ALONE_BYTES: Bytes = MEBIBYTE;

/** Limits of a `ByteBudget`. */
export interface ByteBudgetOptions {
  /** Bytes of all bodies together. */
  readonly maximumBytes: Bytes;
  /** Largest body; one of this size is always accepted while no other body is held. */
  readonly maximumBodyBytes: Bytes;
  /** Counts the bytes of this budget as well, with those of others; a reservation must fit into both. */
  readonly parent?: ByteBudget;
}

/**
 * Counts the bytes reserved for bodies.
 *
 * @example
 * ```ts
 * const budget = new ByteBudget({ maximumBytes: 48 * MEBIBYTE, maximumBodyBytes: 32 * MEBIBYTE });
 * const reservation = budget.open();
 * if (!reservation.extendTo(contentLength)) return rejectRequest();
 * reservation.release();
 * ```
 */
export class ByteBudget {
  readonly #maximumBytes: Bytes;
  /** Limit of all bodies, while several are held, for those that are not small. */
  readonly #largeBodiesBytes: Bytes;
  /** The same limit while hardly anything else is held. */
  readonly #largestBodyBytes: Bytes;
  readonly #parent: ByteBudget | undefined;
  #reservedBytes: Bytes = 0;

  constructor(options: ByteBudgetOptions) {
    const { maximumBytes, maximumBodyBytes } = options;
    this.#parent = options.parent;
    this.#largeBodiesBytes = maximumBytes * (1 - SMALL_BODY_SHARE);
    this.#largestBodyBytes = Math.max(maximumBodyBytes, this.#largeBodiesBytes);
    this.#maximumBytes = Math.max(maximumBytes, this.#largestBodyBytes);
  }

  /** Bytes reserved at present. */
  get reservedBytes(): Bytes {
    return this.#reservedBytes;
  }

  /** Returns an empty reservation for one body. */
  open(): ByteReservation {
    return new ByteReservation(
      (bytes, addedBytes) => this.#reserve(bytes, addedBytes),
      (bytes) => this.#canHold(bytes),
    );
  }

  #canHold(bytes: Bytes): boolean {
    if (bytes > this.#largestBodyBytes) return false;
    return this.#parent === undefined || this.#parent.#canHold(bytes);
  }

  #reserve(bytes: Bytes, addedBytes: Bytes): boolean {
    const limit = this.#limitOf(
      bytes,
      this.#reservedBytes + addedBytes - bytes,
    );
    const isGrowth = addedBytes > 0;
    if (isGrowth && this.#reservedBytes + addedBytes > limit) return false;
    const parent = this.#parent;
    if (parent !== undefined && !parent.#reserve(bytes, addedBytes)) {
      return false;
    }
    this.#reservedBytes += addedBytes;
    return true;
  }

  #limitOf(bytes: Bytes, otherBytes: Bytes): Bytes {
    if (bytes <= SMALL_BODY_BYTES) return this.#maximumBytes;
    return otherBytes <= ALONE_BYTES
      ? this.#largestBodyBytes
      : this.#largeBodiesBytes;
  }
}

/** The bytes reserved for one body. */
export class ByteReservation {
  readonly #reserve: (bytes: Bytes, addedBytes: Bytes) => boolean;
  readonly #canHold: (bytes: Bytes) => boolean;
  #bytes: Bytes = 0;

  constructor(
    reserve: (bytes: Bytes, addedBytes: Bytes) => boolean,
    canHold: (bytes: Bytes) => boolean,
  ) {
    this.#reserve = reserve;
    this.#canHold = canHold;
  }

  /** Bytes reserved at present. */
  get bytes(): Bytes {
    return this.#bytes;
  }

  /** Extends the reservation by `bytes`; returns false, without effect, if the budget has no room for them. */
  extendBy(bytes: Bytes): boolean {
    return this.extendTo(this.#bytes + bytes);
  }

  /** Returns whether `bytes` more would fit if nothing else were reserved. */
  canHold(bytes: Bytes): boolean {
    return this.#canHold(this.#bytes + bytes);
  }

  /** Extends the reservation to `bytes`; returns false, without effect, if the budget has no room for them. */
  extendTo(bytes: Bytes): boolean {
    if (bytes <= this.#bytes) return true;
    if (!this.#reserve(bytes, bytes - this.#bytes)) return false;
    this.#bytes = bytes;
    return true;
  }

  /** Returns the reserved bytes to the budget; later calls have no effect. */
  release(): void {
    this.#reserve(0, -this.#bytes);
    GARBAGE_METER.drop(this.#bytes);
    this.#bytes = 0;
  }
}
