/**
 * Fetches sets of upstreams, complete or as the changes since a version, from VMs that have newer copies.
 *
 * @module
 */
import type { Clock, Milliseconds } from "#core";
import type { PeerNetwork } from "#wire";
import {
  registryFetchReplySchema,
  registryHeadersReplySchema,
} from "./registry_messages.ts";
import type { UpstreamRegistry } from "./upstream_registry.ts";

const FETCH_TIMEOUT_MS: Milliseconds = 1_000;

/** Options of `SetFetcher`. */
export interface SetFetcherOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly registry: UpstreamRegistry;
  /** Called after a fetched update was applied. */
  readonly onApplied: () => void;
}

/** Fetches sets; each set from one VM at a time. */
export class SetFetcher {
  readonly #options: SetFetcherOptions;
  readonly #fetching = new Set<string>();

  constructor(options: SetFetcherOptions) {
    this.#options = options;
  }

  /** Fetches the newer sets of other VMs; resolves when each VM has replied or timed out. */
  async synchronise(peers: readonly string[]): Promise<void> {
    await Promise.all(peers.map((peer) => this.#synchroniseWith(peer)));
  }

  /** Fetches the set of a home from a VM that has a copy; does nothing while a fetch of it is in progress. */
  async fetch(from: string, home: string): Promise<void> {
    if (this.#fetching.has(home)) return;
    this.#fetching.add(home);
    const { clock, network, onApplied, registry } = this.#options;
    const copy = registry.copyVersion(home);
    const reply = await network.request(
      { to: from, channel: "registry", timeoutMs: FETCH_TIMEOUT_MS },
      { kind: "fetch", home, epoch: copy.epoch, since: copy.version },
    );
    this.#fetching.delete(home);
    if (!reply.ok) return;
    const parsed = registryFetchReplySchema.safeParse(reply.val);
    if (!parsed.success || parsed.data.update === null) return;
    registry.applyUpdate(parsed.data.update, clock.nowMs());
    onApplied();
  }

  async #synchroniseWith(peer: string): Promise<void> {
    const { clock, network, registry } = this.#options;
    const reply = await network.request(
      { to: peer, channel: "registry", timeoutMs: FETCH_TIMEOUT_MS },
      { kind: "headers" },
    );
    if (!reply.ok) return;
    const parsed = registryHeadersReplySchema.safeParse(reply.val);
    if (!parsed.success) return;
    const nowMs = clock.nowMs();
    const outdated = parsed.data.headers
      .filter((header) => registry.receiveHeader(header, nowMs));
    await Promise.all(outdated.map((header) => this.fetch(peer, header.home)));
  }
}
