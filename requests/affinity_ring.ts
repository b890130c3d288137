/**
 * A consistent-hash ring: requests with the same prefix go to the same few upstreams, and an upstream that
 * joins or leaves remaps only its own portion of the prefixes.
 *
 * @module
 */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

const POINTS_PER_UPSTREAM = 32;

/** Returns a 32-bit hash of a string. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** A ring with several points for each upstream. */
export class AffinityRing {
  readonly #hashes: Uint32Array;
  readonly #owners: Uint32Array;
  readonly #size: number;

  /** @param names identifiers of the upstreams; `walk` yields indexes into this list */
  constructor(names: readonly string[]) {
    const points: { hash: number; owner: number }[] = [];
    for (const [owner, name] of names.entries()) {
      for (let point = 0; point < POINTS_PER_UPSTREAM; point += 1) {
        points.push({ hash: hash32(`${name}#${point}`), owner });
      }
    }
    points.sort((a, b) => a.hash - b.hash || a.owner - b.owner);
    this.#hashes = Uint32Array.from(points, (point) => point.hash);
    this.#owners = Uint32Array.from(points, (point) => point.owner);
    this.#size = names.length;
  }

  /** Number of upstreams on the ring. */
  get size(): number {
    return this.#size;
  }

  /** Yields at most `count` distinct upstreams in ring order, starting at a hash. */
  *walk(hash: number, count: number): Iterable<number> {
    const seen = new Set<number>();
    const wanted = Math.min(count, this.#size);
    let at = this.#firstAtOrAfter(hash);
    while (seen.size < wanted) {
      const owner = this.#owners[at % this.#owners.length];
      at += 1;
      if (owner === undefined) return;
      if (seen.has(owner)) continue;
      seen.add(owner);
      yield owner;
    }
  }

  #firstAtOrAfter(hash: number): number {
    let low = 0;
    let high = this.#hashes.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#hashes[middle] ?? 0) < hash) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
