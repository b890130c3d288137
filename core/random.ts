/**
 * Random sources that are passed in: the machine's for programs, a seeded one for tests.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 0x1_0000_0000;

/** Source of random numbers. */
export abstract class RandomSource {
  /** A whole number from 0 to 2^32 - 1. */
  abstract uint32(): number;

  /** A number from 0 up to, but not including, 1. */
  fraction(): number {
    return this.uint32() / UINT32_RANGE;
  }

  /** A whole number from 0 up to, but not including, `bound`. */
  below(bound: number): number {
    return Math.floor(this.fraction() * bound);
  }

  /** An identifier of 32 hexadecimal digits. */
  identifier(): string {
    let text = "";
    while (text.length < 32) {
      text += this.uint32().toString(16).padStart(8, "0");
    }
    return text;
  }
}

/** The machine's random source. */
export class SystemRandom extends RandomSource {
  #pool: Uint8Array = new Uint8Array(0);
  #offset = 0;

  override uint32(): number {
    if (this.#offset + 4 > this.#pool.length) {
      this.#pool = randomBytes(4_096);
      this.#offset = 0;
    }
    const view = new DataView(this.#pool.buffer, this.#pool.byteOffset);
    const value = view.getUint32(this.#offset);
    this.#offset += 4;
    return value;
  }
}

/** A source that gives the same numbers for the same seed. */
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
