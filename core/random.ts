/**
 * Random sources for injection: the system's for programs, a seeded one for tests.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 0x1_0000_0000;

/** Generates random numbers. */
export abstract class RandomSource {
  /** Returns an integer from 0 to 2^32 - 1. */
  abstract uint32(): number;

  /** Returns a number from 0 up to, but not including, 1. */
  fraction(): number {
    return this.uint32() / UINT32_RANGE;
  }

  /** Returns an integer from 0 up to, but not including, `bound`. */
  below(bound: number): number {
    return Math.floor(this.fraction() * bound);
  }

  /** Returns an identifier of 32 hexadecimal digits. */
  identifier(): string {
    let text = "";
    while (text.length < 32) {
      text += this.uint32().toString(16).padStart(8, "0");
    }
    return text;
  }
}

/** The cryptographic random source of the system. */
export class SystemRandom extends RandomSource {
  #buffer: Uint8Array = new Uint8Array(0);
  #offset = 0;

  override uint32(): number {
    if (this.#offset + 4 > this.#buffer.length) {
      this.#buffer = randomBytes(4_096);
      this.#offset = 0;
    }
    const view = new DataView(this.#buffer.buffer, this.#buffer.byteOffset);
    const value = view.getUint32(this.#offset);
    this.#offset += 4;
    return value;
  }
}

/** A random source that generates the same numbers for the same seed. */
export class SeededRandom extends RandomSource {
  readonly #generator;

  constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(seed);
  }

  override uint32(): number {
    return this.#generator.next() >>> 0;
  }
}
