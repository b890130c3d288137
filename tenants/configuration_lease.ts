/**
 * Decides whether the configuration of a VM is certain to have been the newest a moment ago.
 *
 * A reply that names the newest version proves that this version was the newest at some moment after the request was
 * sent. So the proof counts from the moment of sending, and only while this VM has that version or a later one.
 *
 * @module
 */
import type { ClockReading, Milliseconds } from "#core";

/**
 * Difference between two clocks that is no step of one of them. Slewing of the wall clock and the time between the two
 * readings stay below it. It is also how much of a suspension a step back may hide, so leases end this much earlier.
 */
const CLOCK_TOLERANCE_MS: Milliseconds = 100;
/** Proofs for versions that this VM doesn't have yet; configurations change far less often than they spread. */
const MAXIMUM_PROOFS = 8;

interface Proof {
  readonly sent: ClockReading;
  readonly version: number;
}

/** The lease of a VM on its configuration. Performs no I/O. */
export class ConfigurationLease {
  readonly #durationMs: Milliseconds;
  #proofs: readonly Proof[] = [];
  #newestVersion = -1;

  /**
   * @param revocationMs Time after which a revoked key must not be accepted; null if a proof is never too old to accept
   * known keys.
   */
  constructor(revocationMs: Milliseconds | null) {
    this.#durationMs = revocationMs === null
      ? Infinity
      : revocationMs - CLOCK_TOLERANCE_MS;
  }

  /** Records that `version` was the newest at some moment after `sent`. */
  renew(sent: ClockReading, version: number): void {
    const others = this.#proofs.filter((each) =>
      each.version < version || each.sent.steadyMs > sent.steadyMs
    );
    this.#newestVersion = Math.max(this.#newestVersion, version);
    this.#proofs = [...others, { sent, version }].slice(-MAXIMUM_PROOFS);
  }

  /** Returns how long ago `version`, or an earlier one, was certainly the newest; null if that is unknown. */
  ageMs(now: ClockReading, version: number): Milliseconds | null {
    // The step may have hidden a suspension, so that no earlier proof has a known age.
    this.#proofs = this.#proofs.filter(({ sent }) => !hasStepped(sent, now));
    let ageMs: Milliseconds | null = null;
    for (const { sent, version: proven } of this.#proofs) {
      if (proven > version) continue;
      ageMs = Math.min(ageMs ?? Infinity, now.steadyMs - sent.steadyMs);
    }
    return ageMs;
  }

  /** Whether `version` was the newest at some moment within `limitMs`, and no newer one is known. */
  isNewest(
    now: ClockReading,
    version: number,
    { limitMs }: { readonly limitMs: Milliseconds },
  ): boolean {
    const ageMs = this.ageMs(now, version);
    return ageMs !== null && ageMs <= limitMs && version >= this.#newestVersion;
  }

  /** Whether keys of `version` may be accepted. */
  isValid(now: ClockReading, version: number): boolean {
    if (this.#durationMs === Infinity) return true;
    const ageMs = this.ageMs(now, version);
    return ageMs !== null && ageMs < this.#durationMs;
  }
}

/** Whether the VM was suspended, or its wall clock was set, between two readings. A step back may hide a suspension. */
function hasStepped(since: ClockReading, now: ClockReading): boolean {
  const wallMs = now.wallMs - since.wallMs;
  const steadyMs = now.steadyMs - since.steadyMs;
  return Math.abs(wallMs - steadyMs) > CLOCK_TOLERANCE_MS;
}
