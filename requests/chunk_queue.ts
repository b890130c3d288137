/**
 * Values handed from a callback to an asynchronous iterator.
 *
 * @module
 */

/** A queue with one writer and one reader. */
export class ChunkQueue<Value> {
  readonly #values: Value[] = [];
  #isClosed = false;
  #wake: (() => void) | undefined;

  /** Adds a value. */
  push(value: Value): void {
    this.#values.push(value);
    this.#notify();
  }

  /** No value follows. */
  close(): void {
    this.#isClosed = true;
    this.#notify();
  }

  /** Waits for the first value; false if the queue ends without one. */
  async hasFirst(): Promise<boolean> {
    while (this.#values.length === 0 && !this.#isClosed) {
      await this.#nextChange();
    }
    return this.#values.length > 0;
  }

  /** Every value in order, until the end. */
  async *values(): AsyncIterable<Value> {
    while (true) {
      for (const value of this.#values.splice(0)) yield value;
      if (this.#values.length > 0) continue;
      if (this.#isClosed) return;
      await this.#nextChange();
    }
  }

  #nextChange(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = resolve;
    });
  }

  #notify(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }
}
