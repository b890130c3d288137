/**
 * What a VM may send to a limited upstream while no control VM that issues permits replies: an equal share of half
 * the limit among the VMs that asked for permits last.
 *
 * @module
 */
import { type Milliseconds, type RandomSource, SECOND_MS } from "#core";

/** Time without a reply after which a VM uses its share; shorter interruptions are changes of leader. */
const OFFLINE_AFTER_MS: Milliseconds = 700;
/** Time of its share that a VM may use as soon as it is offline. */
const INITIAL_SHARE_MS: Milliseconds = 2 * SECOND_MS;
/** Part of a limit that VMs without control share: others may still get permits for all of it. */
const OFFLINE_FRACTION = 0.5;
/** Number of senders that is assumed before any reply has named it. */
const ASSUMED_SENDERS = 100;

interface ShareLevel {
  level: number;
  atMs: Milliseconds;
}

/** Options of `OfflineShare`. */
export interface OfflineShareOptions {
  readonly random: RandomSource;
}

/** The share of one VM in the limits of the upstreams of one service. */
export class OfflineShare {
  readonly #random: RandomSource;
  readonly #levels = new Map<string, ShareLevel>();
  #senders = ASSUMED_SENDERS;
  #failedSinceMs: Milliseconds | null = null;

  constructor(options: OfflineShareOptions) {
    this.#random = options.random;
  }

  /** Records a reply, which names the number of VMs that ask for permits. */
  recordReply(senders: number): void {
    this.#senders = Math.max(1, senders);
    this.#failedSinceMs = null;
    this.#levels.clear();
  }

  /** Records that no control VM replied. */
  recordFailure(nowMs: Milliseconds): void {
    this.#failedSinceMs ??= nowMs;
  }

  /** Whether no control VM has replied for so long that the share may be used. */
  isOffline(nowMs: Milliseconds): boolean {
    return this.#failedSinceMs !== null &&
      nowMs - this.#failedSinceMs >= OFFLINE_AFTER_MS;
  }

  /** Returns how many requests may be sent to an upstream now; 0 unless offline. */
  available(
    upstream: { readonly incarnation: string; readonly perSecond: number },
    nowMs: Milliseconds,
  ): number {
    if (!this.isOffline(nowMs)) return 0;
    return Math.floor(this.#levelOf(upstream, nowMs).level);
  }

  /** Uses the share for one request; returns false if it does not suffice. */
  use(
    upstream: { readonly incarnation: string; readonly perSecond: number },
    nowMs: Milliseconds,
  ): boolean {
    if (this.available(upstream, nowMs) < 1) return false;
    this.#levelOf(upstream, nowMs).level -= 1;
    return true;
  }

  #levelOf(
    upstream: { readonly incarnation: string; readonly perSecond: number },
    nowMs: Milliseconds,
  ): ShareLevel {
    const perMs = OFFLINE_FRACTION * upstream.perSecond / SECOND_MS /
      this.#senders;
    const known = this.#levels.get(upstream.incarnation);
    if (known === undefined) {
      // Shares are mostly below one request. With a random start, their whole requests fall due one after the other.
      const level = perMs * INITIAL_SHARE_MS + this.#random.fraction();
      const created = { level, atMs: nowMs };
      this.#levels.set(upstream.incarnation, created);
      return created;
    }
    known.level = Math.min(
      Math.max(1, perMs * INITIAL_SHARE_MS),
      known.level + perMs * (nowMs - known.atMs),
    );
    known.atMs = nowMs;
    return known;
  }
}
