/**
 * Keeps the active bundle of an entry VM up to date. The relay of a zone follows a control VM and the other
 * entry VMs follow their relay; each skips a source that does not reply or that has itself lost the quorum. An
 * active bundle is only ever replaced by a later version.
 *
 * @module
 */
import { applyDelta, type BundleUpdate } from "#bundles";
import {
  type AcceptedBundle,
  type Blackboard,
  type BoardSections,
  type Clock,
  type EventLog,
  type Milliseconds,
  type RandomSource,
} from "#core";
import type { PeerNetwork } from "#wire";
import { match } from "ts-pattern";
import { type WatchReply, watchReplySchema } from "./bundle_messages.ts";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import type { VmDirectory } from "./vm_directory.ts";

const WATCH_WAIT_MS: Milliseconds = 4_000;
const REPLY_MARGIN_MS: Milliseconds = 1_000;
const INITIAL_QUERY_INTERVAL_MS: Milliseconds = 1_000;
const RETRY_DELAY_MS: Milliseconds = 200;
const QUORUM_FRESHNESS_MS: Milliseconds = 10_000;
const ISOLATED_AFTER_ROUNDS = 3;

/** Options of `BundleFollower`. */
export interface BundleFollowerOptions {
  readonly self: string;
  readonly zone: string;
  readonly board: Blackboard<BoardSections>;
  readonly directory: VmDirectory;
  /** Returns the name of the entry VM that relays bundles in a zone. */
  readonly relayOf: (zone: string) => string | undefined;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /** Called with each bundle that becomes active on this VM. */
  readonly onBundle: (accepted: AcceptedBundle) => void;
}

/** Follows the active bundle of the cluster. */
export class BundleFollower {
  readonly #options: BundleFollowerOptions;
  #lastFreshMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #failedRounds = 0;
  #queried = false;
  #stopped = false;

  constructor(options: BundleFollowerOptions) {
    this.#options = options;
  }

  /** Queries the VMs of the zone and the control VMs for the active bundle, then starts to follow it. */
  async start(): Promise<void> {
    while (!this.#queried && !this.#stopped) await this.#queryAllSources();
    this.#followSources();
  }

  /** Stops following once the current watch request has completed. */
  stop(): void {
    this.#stopped = true;
  }

  /** Whether the initial query has completed and this VM has a bundle. */
  isReady(): boolean {
    return this.#queried && this.#activeBundle() !== null;
  }

  /** Whether a source in contact with the quorum replied within the last `QUORUM_FRESHNESS_MS`. */
  isFresh(): boolean {
    return this.#options.clock.nowMs() - this.#lastFreshMs <
      QUORUM_FRESHNESS_MS;
  }

  #activeBundle(): AcceptedBundle | null {
    return this.#options.board.read("bundle");
  }

  async #queryAllSources(): Promise<void> {
    const sources = [...this.#controlSources(), ...this.#zonePeers()];
    const pendingReplies = sources.map((to) =>
      this.#watchSource({ to, waitMs: 0 })
    );
    const replies = await Promise.all(pendingReplies);
    const received = replies.filter((reply) => reply !== undefined);
    if (
      received.some((reply) => reply.fresh) && this.#activeBundle() !== null
    ) {
      this.#queried = true;
      return;
    }
    this.#failedRounds += 1;
    const isolated = this.#failedRounds >= ISOLATED_AFTER_ROUNDS;
    const noneFresh = !received.some((reply) => reply.fresh);
    if (isolated && noneFresh && this.#activeBundle() !== null) {
      this.#options.events.emit(MEMBERSHIP_EVENTS.controlUnreachable);
      this.#queried = true;
      return;
    }
    await this.#options.clock.sleep(INITIAL_QUERY_INTERVAL_MS);
  }

  async #followSources(): Promise<void> {
    let sourceIndex = 0;
    while (!this.#stopped) {
      const sources = this.#sources();
      const to = sources[sourceIndex % Math.max(1, sources.length)];
      const reply = to === undefined
        ? undefined
        : await this.#watchSource({ to, waitMs: WATCH_WAIT_MS });
      if (reply?.fresh === true) {
        sourceIndex = 0;
        continue;
      }
      sourceIndex += 1;
      if (sourceIndex === sources.length) {
        this.#options.events.emit(MEMBERSHIP_EVENTS.controlUnreachable);
      }
      await this.#options.clock.sleep(RETRY_DELAY_MS);
    }
  }

  /** Returns the sources in the order in which they are tried. */
  #sources(): readonly string[] {
    const { self, zone, relayOf } = this.#options;
    const relay = relayOf(zone);
    const controls = this.#controlSources();
    if (relay === undefined || relay === self) {
      return [...controls, ...this.#zonePeers()];
    }
    return [relay, ...controls];
  }

  /** Returns the control VMs: those of the own zone, then the others from a random start. */
  #controlSources(): readonly string[] {
    const { directory, random, zone } = this.#options;
    const controls = directory.list("control");
    const sameZone = controls.filter((vm) => vm.zone === zone);
    const otherZones = controls.filter((vm) => vm.zone !== zone);
    const start = random.below(Math.max(1, otherZones.length));
    const rotated = [...otherZones.slice(start), ...otherZones.slice(0, start)];
    return [...sameZone, ...rotated].map((vm) => vm.name);
  }

  #zonePeers(): readonly string[] {
    const { directory, self, zone } = this.#options;
    return directory.entryVmsOf(zone).map((vm) => vm.name)
      .filter((name) => name !== self);
  }

  async #watchSource(
    target: { readonly to: string; readonly waitMs: Milliseconds },
  ): Promise<WatchReply | undefined> {
    const active = this.#activeBundle();
    const response = await this.#options.network.request(
      {
        to: target.to,
        channel: "bundles",
        timeoutMs: target.waitMs + REPLY_MARGIN_MS,
      },
      {
        kind: "watch",
        digest: active?.digest ?? null,
        version: active?.signed.bundle.version ?? 0,
        waitMs: target.waitMs,
      },
    );
    if (!response.ok || this.#stopped) return undefined;
    const parsed = watchReplySchema.safeParse(response.val);
    if (!parsed.success) {
      this.#options.events.emit(MEMBERSHIP_EVENTS.malformedMessage, {
        from: target.to,
      });
      return undefined;
    }
    const reply = parsed.data as WatchReply;
    this.#applyUpdate(target.to, reply.update);
    if (reply.fresh) this.#lastFreshMs = this.#options.clock.nowMs();
    return reply;
  }

  #applyUpdate(from: string, update: BundleUpdate): void {
    const base = this.#activeBundle();
    const accepted = match(update)
      .with({ kind: "none" }, () => undefined)
      .with({ kind: "whole" }, ({ accepted }) => accepted)
      .with({ kind: "delta" }, ({ delta }) => {
        if (base === null || base.digest !== delta.fromDigest) return undefined;
        const applied = applyDelta(base, delta);
        if (applied.ok) return applied.val;
        this.#options.events.emit(MEMBERSHIP_EVENTS.bundleRejected, {
          from,
          reason: applied.val.message,
        });
        return undefined;
      })
      .exhaustive();
    if (accepted !== undefined) this.#activate(accepted);
  }

  #activate(accepted: AcceptedBundle): void {
    const activeVersion = this.#activeBundle()?.signed.bundle.version ?? 0;
    if (accepted.signed.bundle.version <= activeVersion) return;
    this.#options.board.write("bundles", "bundle", accepted);
    this.#options.events.emit(MEMBERSHIP_EVENTS.bundleActivated, {
      version: accepted.signed.bundle.version,
      digest: accepted.digest,
    });
    this.#options.onBundle(accepted);
  }
}
