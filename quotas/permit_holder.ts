/**
 * The permits that a VM holds, by incarnation of their upstream.
 *
 * @module
 */
import type { Milliseconds } from "#core";

interface HeldPermits {
  count: number;
  readonly expiresMs: Milliseconds;
}

/** Holds permits until they are used or expire. */
export class PermitHolder {
  readonly #byIncarnation = new Map<string, HeldPermits[]>();

  /** Adds permits that were issued at the same time. */
  add(
    incarnation: string,
    permits: { readonly count: number; readonly expiresMs: Milliseconds },
  ): void {
    const held = this.#byIncarnation.get(incarnation) ?? [];
    held.push({ ...permits });
    this.#byIncarnation.set(incarnation, held);
  }

  /** Returns the number of valid permits for an upstream. */
  count(incarnation: string, nowMs: Milliseconds): number {
    let count = 0;
    for (const each of this.#valid(incarnation, nowMs)) count += each.count;
    return count;
  }

  /** Uses the permit that expires first; returns false if there is none. */
  use(incarnation: string, nowMs: Milliseconds): boolean {
    const first = this.#valid(incarnation, nowMs)[0];
    if (first === undefined) return false;
    first.count -= 1;
    return true;
  }

  #valid(incarnation: string, nowMs: Milliseconds): readonly HeldPermits[] {
    const held = this.#byIncarnation.get(incarnation);
    if (held === undefined) return [];
    const valid = held.filter((each) =>
      each.count > 0 && each.expiresMs > nowMs
    );
    if (valid.length === 0) this.#byIncarnation.delete(incarnation);
    else this.#byIncarnation.set(incarnation, valid);
    return valid.sort((a, b) => a.expiresMs - b.expiresMs);
  }
}
