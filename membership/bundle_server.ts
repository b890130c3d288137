/**
 * Serves watch requests for the active bundle, on control VMs and on the relays of zones.
 *
 * @module
 */
import { type BundleUpdate, retainNewest, updateSince } from "#bundles";
import {
  type AcceptedBundle,
  type Clock,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
} from "#core";
import type { PeerNetwork } from "#wire";
import { type WatchReply, watchRequestSchema } from "./bundle_messages.ts";

const MAXIMUM_WATCHERS = 1_024;

/** Options of `BundleServer`. */
export interface BundleServerOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** Whether this VM was in contact with the quorum recently. */
  readonly isFresh: () => boolean;
}

interface RequesterBundle {
  readonly digest: string | null;
  readonly version: number;
}

/** Retains the newest bundles and replies to waiting watch requests when a bundle becomes active. */
export class BundleServer {
  readonly #options: BundleServerOptions;
  readonly #wakers = new Set<() => void>();
  #retained: readonly AcceptedBundle[] = [];

  constructor(options: BundleServerOptions) {
    this.#options = options;
  }

  /** Starts to handle watch requests. */
  start(): void {
    this.#options.network.onRequest(
      "bundles",
      (_from, body) => this.#handleWatch(body),
    );
  }

  /** Provides a bundle that has become active on this VM to the waiting watch requests. */
  publish(accepted: AcceptedBundle): void {
    if (this.#retained.at(-1)?.digest === accepted.digest) return;
    this.#retained = retainNewest(this.#retained, accepted);
    const wakers = [...this.#wakers];
    this.#wakers.clear();
    for (const wake of wakers) wake();
  }

  async #handleWatch(body: unknown): Promise<Result<WatchReply, Failure>> {
    const parsed = watchRequestSchema.safeParse(body);
    if (!parsed.success) {
      return Err(fail("malformed_request", "not a watch request"));
    }
    const { waitMs } = parsed.data;
    const available = this.#updateFor(parsed.data);
    const mayWait = waitMs > 0 && this.#wakers.size < MAXIMUM_WATCHERS &&
      this.#options.isFresh();
    if (available.kind === "none" && mayWait) await this.#waitForBundle(waitMs);
    const update = this.#updateFor(parsed.data);
    return Ok({ update, fresh: this.#options.isFresh() });
  }

  #updateFor(requester: RequesterBundle): BundleUpdate {
    const newest = this.#retained.at(-1)?.signed.bundle.version ?? 0;
    if (newest <= requester.version) return { kind: "none" };
    return updateSince(this.#retained, requester.digest);
  }

  #waitForBundle(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.#wakers.delete(wake);
        resolve();
      };
      const timer = this.#options.clock.after(waitMs, wake);
      this.#wakers.add(wake);
    });
  }
}
