/**
 * Passes values from a callback to an asynchronous iterator.
 *
 * @module
 */

/** Unbounded queue with one writer and one reader. */
export class ChunkQueue<Value> {
  readonly #values: Value[] = [];
  #isClosed = false;
  #wake: (() => void) | undefined;

  /** Appends a value. */
  push(value: Value): void {
    this.#values.push(value);
    this.#notify();
  }

  /** Closes the queue; the reader finishes after the values already queued. */
  close(): void {
    this.#isClosed = true;
    this.#notify();
  }

  /** Waits for the first value; resolves to false if the queue is closed without one. */
  async hasFirst(): Promise<boolean> {
    while (this.#values.length === 0 && !this.#isClosed) {
      await this.#nextChange();
    }
    return this.#values.length > 0;
  }

  /** Yields every value in order until the queue is closed. */
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
