/**
 * Fetches sets of upstreams, whole or from a version on, from VMs that hold newer copies.
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

/** What a fetcher is built from. */
export interface SetFetcherOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly registry: UpstreamRegistry;
  /** Called after a set was taken. */
  readonly onApplied: () => void;
}

/** Fetches each set from one VM at a time. */
export class SetFetcher {
  readonly #options: SetFetcherOptions;
  readonly #fetching = new Set<string>();

  constructor(options: SetFetcherOptions) {
    this.#options = options;
  }

  /** Asks other VMs for what they hold; resolves when each answered or timed out. */
  async synchronise(peers: readonly string[]): Promise<void> {
    await Promise.all(peers.map((peer) => this.#synchroniseWith(peer)));
  }

  /** Fetches the set of a home from a VM that holds it. */
  async fetch(from: string, home: string): Promise<void> {
    if (this.#fetching.has(home)) return;
    this.#fetching.add(home);
    const { clock, network, onApplied: onTaken, registry } = this.#options;
    const held = registry.copyVersion(home);
    const answer = await network.request(
      { to: from, channel: "registry", timeoutMs: FETCH_TIMEOUT_MS },
      { kind: "fetch", home, epoch: held.epoch, since: held.version },
    );
    this.#fetching.delete(home);
    if (!answer.ok) return;
    const parsed = registryFetchReplySchema.safeParse(answer.val);
    if (!parsed.success || parsed.data.update === null) return;
    registry.applyUpdate(parsed.data.update, clock.nowMs());
    onTaken();
  }

  async #synchroniseWith(peer: string): Promise<void> {
    const { clock, network, registry } = this.#options;
    const answer = await network.request(
      { to: peer, channel: "registry", timeoutMs: FETCH_TIMEOUT_MS },
      { kind: "headers" },
    );
    if (!answer.ok) return;
    const parsed = registryHeadersReplySchema.safeParse(answer.val);
    if (!parsed.success) return;
    const nowMs = clock.nowMs();
    const missing = parsed.data.headers
      .filter((header) => registry.receiveHeader(header, nowMs));
    await Promise.all(missing.map((header) => this.fetch(peer, header.home)));
  }
}
