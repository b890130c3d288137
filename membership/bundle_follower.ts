/**
 * Keeps the bundle in force on an entry VM: relays follow a control VM, the other entries follow their
 * relay, and each goes past a source that does not answer or has itself lost the quorum. A bundle once
 * in force is only ever replaced by a later version.
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
import { type WatchAnswer, watchAnswerSchema } from "./bundle_messages.ts";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import type { VmDirectory } from "./vm_directory.ts";

const WATCH_MS: Milliseconds = 4_000;
const ANSWER_MARGIN_MS: Milliseconds = 1_000;
const FIRST_ASK_MS: Milliseconds = 1_000;
const PAUSE_MS: Milliseconds = 200;
const FRESH_MS: Milliseconds = 10_000;
const CUT_OFF_AFTER_ROUNDS = 3;

/** What a follower is built from. */
export interface BundleFollowerOptions {
  readonly self: string;
  readonly zone: string;
  readonly board: Blackboard<BoardSections>;
  readonly directory: VmDirectory;
  readonly relayOf: (zone: string) => string | undefined;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /** Called with each bundle that comes into force. */
  readonly onBundle: (accepted: AcceptedBundle) => void;
}

/** Follows the bundle in force. */
export class BundleFollower {
  readonly #options: BundleFollowerOptions;
  #freshAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #failedRounds = 0;
  #asked = false;
  #stopped = false;

  constructor(options: BundleFollowerOptions) {
    this.#options = options;
  }

  /** Asks the zone and the control VMs what is in force, then follows. */
  async start(): Promise<void> {
    while (!this.#asked && !this.#stopped) await this.#askAll();
    this.#follow();
  }

  /** Ends after the watch that is under way. */
  stop(): void {
    this.#stopped = true;
  }

  /** Whether this VM has asked what is in force and has a bundle. */
  ready(): boolean {
    return this.#asked && this.#held() !== null;
  }

  /** Whether this VM heard of the quorum within the last seconds. */
  fresh(): boolean {
    return this.#options.clock.nowMs() - this.#freshAtMs < FRESH_MS;
  }

  #held(): AcceptedBundle | null {
    return this.#options.board.read("bundle");
  }

  async #askAll(): Promise<void> {
    const sources = [...this.#controls(), ...this.#zonePeers()];
    const asked = sources.map((to) => this.#watch({ to, waitMs: 0 }));
    const answers = await Promise.all(asked);
    const heard = answers.filter((answer) => answer !== undefined);
    if (heard.some((answer) => answer.fresh) && this.#held() !== null) {
      this.#asked = true;
      return;
    }
    this.#failedRounds += 1;
    const cutOff = this.#failedRounds >= CUT_OFF_AFTER_ROUNDS;
    const nobodyFresh = !heard.some((answer) => answer.fresh);
    if (cutOff && nobodyFresh && this.#held() !== null) {
      this.#options.events.emit(MEMBERSHIP_EVENTS.controlUnreachable);
      this.#asked = true;
      return;
    }
    await this.#options.clock.sleep(FIRST_ASK_MS);
  }

  async #follow(): Promise<void> {
    let turn = 0;
    while (!this.#stopped) {
      const sources = this.#sources();
      const to = sources[turn % Math.max(1, sources.length)];
      const answer = to === undefined
        ? undefined
        : await this.#watch({ to, waitMs: WATCH_MS });
      if (answer?.fresh === true) {
        turn = 0;
        continue;
      }
      turn += 1;
      if (turn === sources.length) {
        this.#options.events.emit(MEMBERSHIP_EVENTS.controlUnreachable);
      }
      await this.#options.clock.sleep(PAUSE_MS);
    }
  }

  /** Sources in the order in which they are tried. */
  #sources(): readonly string[] {
    const { self, zone, relayOf } = this.#options;
    const relay = relayOf(zone);
    const controls = this.#controls();
    if (relay === undefined || relay === self) {
      return [...controls, ...this.#zonePeers()];
    }
    return [relay, ...controls];
  }

  #controls(): readonly string[] {
    const { directory, random, zone } = this.#options;
    const controls = directory.list("control");
    const near = controls.filter((vm) => vm.zone === zone);
    const far = controls.filter((vm) => vm.zone !== zone);
    const start = random.below(Math.max(1, far.length));
    const rotated = [...far.slice(start), ...far.slice(0, start)];
    return [...near, ...rotated].map((vm) => vm.name);
  }

  #zonePeers(): readonly string[] {
    const { directory, self, zone } = this.#options;
    return directory.entryVmsOf(zone).map((vm) => vm.name)
      .filter((name) => name !== self);
  }

  async #watch(
    target: { readonly to: string; readonly waitMs: Milliseconds },
  ): Promise<WatchAnswer | undefined> {
    const held = this.#held();
    const answer = await this.#options.network.request(
      {
        to: target.to,
        channel: "bundles",
        timeoutMs: target.waitMs + ANSWER_MARGIN_MS,
      },
      {
        kind: "watch",
        digest: held?.digest ?? null,
        version: held?.signed.bundle.version ?? 0,
        waitMs: target.waitMs,
      },
    );
    if (!answer.ok || this.#stopped) return undefined;
    const parsed = watchAnswerSchema.safeParse(answer.val);
    if (!parsed.success) {
      this.#options.events.emit(MEMBERSHIP_EVENTS.malformedMessage, {
        from: target.to,
      });
      return undefined;
    }
    const watched = parsed.data as WatchAnswer;
    this.#take(target.to, watched.update);
    if (watched.fresh) this.#freshAtMs = this.#options.clock.nowMs();
    return watched;
  }

  #take(from: string, update: BundleUpdate): void {
    const held = this.#held();
    const accepted = match(update)
      .with({ kind: "none" }, () => undefined)
      .with({ kind: "whole" }, ({ accepted }) => accepted)
      .with({ kind: "delta" }, ({ delta }) => {
        if (held === null || held.digest !== delta.fromDigest) return undefined;
        const applied = applyDelta(held, delta);
        if (applied.ok) return applied.val;
        this.#options.events.emit(MEMBERSHIP_EVENTS.bundleRejected, {
          from,
          reason: applied.val.message,
        });
        return undefined;
      })
      .exhaustive();
    if (accepted !== undefined) this.#putInForce(accepted);
  }

  #putInForce(accepted: AcceptedBundle): void {
    const heldVersion = this.#held()?.signed.bundle.version ?? 0;
    if (accepted.signed.bundle.version <= heldVersion) return;
    this.#options.board.write("bundles", "bundle", accepted);
    this.#options.events.emit(MEMBERSHIP_EVENTS.bundleActivated, {
      version: accepted.signed.bundle.version,
      digest: accepted.digest,
    });
    this.#options.onBundle(accepted);
  }
}
