/**
 * A hash ring: requests with the same prefix go to the same few upstreams, and an upstream that comes or
 * goes moves only its own part.
 *
 * @module
 */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

const POINTS_PER_UPSTREAM = 32;

/** A 32-bit hash of a text. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** The points of a set of upstreams. */
export class AffinityRing {
  readonly #hashes: Uint32Array;
  readonly #owners: Uint32Array;
  readonly #size: number;

  /** @param names of the upstreams; walks give indexes into this list */
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

  /** Upstreams on the ring. */
  get size(): number {
    return this.#size;
  }

  /** Different upstreams in ring order from a hash on, at most `count`. */
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
