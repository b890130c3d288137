/**
 * Sends the counts of an entry VM to one control VM: those that it has not acknowledged, soon after they changed, at most
 * twice a second. One that does not lead waits longer after a message with many counts, so that the traffic of a VM with
 * many calls stays small; if it leads later, it has the counts long before it may settle them.
 *
 * @module
 */
import { type Clock, type Milliseconds, SECOND_MS, type Timer } from "#core";
import type { PeerNetwork } from "#wire";
import {
  parseTallyReply,
  TALLY_CHANNEL,
  TALLY_KIND,
  TALLY_TIMEOUT_MS,
  type TallyReply,
  type TallyRequest,
  type TallyWindows,
  withPositions,
} from "./usage_messages.ts";
import type { TenantList } from "./tenant_list.ts";
import type { UsageWindows } from "./usage_windows.ts";
import type { WindowClock } from "./window_clock.ts";

/** Counts of this time are lost at most if the VM is killed. */
const SEND_INTERVAL_MS: Milliseconds = 0.5 * SECOND_MS;
/** Additional time for each count in the last message to a control VM that does not lead. */
const INTERVAL_PER_COUNT_MS: Milliseconds = 0.1 * SECOND_MS;
/** Tenants in one message whose calls ran nowhere: with more, the traffic would be largest under overload. */
const MAXIMUM_UNSERVED = 16;
/** A new hold waits longer than two of these intervals. */
const MAXIMUM_INTERVAL_MS: Milliseconds = 1.5 * SECOND_MS;
/**
 * Interval at which a message checks whether a control VM still knows the counts. A restarted one that leads settles no window
 * before that check, since a new hold waits longer.
 */
const CHECK_INTERVAL_MS: Milliseconds = 2 * SECOND_MS;

/** Interval at which the clocks of both sides are compared. */
const COMPARISON_INTERVAL_MS: Milliseconds = 10 * SECOND_MS;

/** Options of `TallySender`. */
export interface TallySenderOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** The control VM. */
  readonly to: string;
  /** Returns the control VM that leads; undefined if none is known. */
  readonly leader: () => string | undefined;
  /** Start of this process. */
  readonly startedMs: Milliseconds;
  readonly windows: UsageWindows;
  readonly windowClock: WindowClock;
  /** Whether the receiver has to pass the counts on to the leader. */
  readonly passOn: () => boolean;
  /** Returns the tenants of the active configuration; undefined if it has none. */
  readonly tenants: () => TenantList | undefined;
  /** Calls that ran nowhere since the start of the process, by tenant. */
  readonly unserved: ReadonlyMap<string, number>;
}

/** Sends counts until it is closed. */
export class TallySender {
  readonly #options: TallySenderOptions;
  /** Counts that the control VM has acknowledged, by window and tenant. */
  readonly #acknowledged = new Map<number, Map<string, number>>();
  /** Calls that ran nowhere which the control VM has acknowledged. */
  readonly #acknowledgedUnserved = new Map<string, number>();
  #epoch: string | undefined;
  /** Digest of a list that the control VM doesn't know, since it has another configuration. */
  #unknownList: string | undefined;
  #sentMs = -Infinity;
  /** When the control VM last replied to a message with a time. */
  #comparedMs = -Infinity;
  /** Number of counts in the last message. */
  #sentCounts = 0;
  #hasFailed = false;
  #isSending = false;
  #isClosed = false;
  #timer: Timer | undefined;

  constructor(options: TallySenderOptions) {
    this.#options = options;
  }

  /** Whether the last message was not acknowledged. */
  get hasFailed(): boolean {
    return this.#hasFailed;
  }

  /** Sends changed counts as soon as the last message is old enough. */
  handleChange(): void {
    if (this.#isSending || this.#isClosed) return;
    const { clock } = this.#options;
    this.#schedule(this.#sentMs + this.#intervalMs() - clock.nowMs());
  }

  /** Compares the clocks of both sides, before the first call is counted. */
  compareClocks(): void {
    if (!this.#isSending) void this.#send();
  }

  /** Sends at once what the control VM has not acknowledged; resolves after its reply. */
  async flush(): Promise<void> {
    if (this.#unacknowledged().length > 0) await this.#send();
  }

  /** Sends nothing any more. */
  close(): void {
    this.#isClosed = true;
    this.#timer?.cancel();
  }

  #intervalMs(): Milliseconds {
    const { to, leader } = this.#options;
    if (leader() === to) return SEND_INTERVAL_MS;
    const addedMs = this.#sentCounts * INTERVAL_PER_COUNT_MS;
    return Math.min(SEND_INTERVAL_MS + addedMs, MAXIMUM_INTERVAL_MS);
  }

  #schedule(delayMs: Milliseconds): void {
    this.#timer?.cancel();
    const { clock } = this.#options;
    this.#timer = clock.after(Math.max(0, delayMs), () => {
      if (!this.#isSending) void this.#send();
    });
  }

  async #send(): Promise<void> {
    const { network, clock, to } = this.#options;
    this.#isSending = true;
    this.#sentMs = clock.nowMs();
    const changed = this.#unacknowledged();
    this.#sentCounts = changed
      .map(({ counts }) => Object.keys(counts).length)
      .reduce((sum, each) => sum + each, 0);
    const unserved = this.#changedUnserved();
    this.#sentCounts += Object.keys(unserved).length;
    const tally = this.#createTally(changed, unserved);
    const response = await network.request(
      { to, channel: TALLY_CHANNEL, timeoutMs: TALLY_TIMEOUT_MS },
      tally,
    );
    this.#isSending = false;
    const reply = response.ok ? parseTallyReply(response.val) : undefined;
    this.#hasFailed = reply === undefined;
    if (reply !== undefined) this.#compareWith(reply);
    if (reply?.needsTime === true) this.#comparedMs = -Infinity;
    if (reply?.unknownList === true) this.#unknownList = tally.list;
    else if (reply !== undefined) {
      this.#acknowledge({ sent: changed, unserved }, reply);
    }
    this.#scheduleNext(reply);
  }

  #createTally(
    changed: TallyWindows,
    unserved: Readonly<Record<string, number>>,
  ): TallyRequest {
    const { network, startedMs, passOn } = this.#options;
    return {
      kind: TALLY_KIND,
      vm: network.self,
      startedMs,
      ...this.#encode(changed),
      ...(passOn() ? { passOn: true } : {}),
      ...this.#ownTime(),
      ...(Object.keys(unserved).length === 0 ? {} : { unserved }),
    };
  }

  /** Sends again at once if the control VM lacks something, soon if counts have changed, else after the next check. */
  #scheduleNext(reply: TallyReply | undefined): void {
    const { clock, windows } = this.#options;
    if (this.#isClosed || !windows.hasCounts) return;
    const isIncomplete = reply?.unknownList === true ||
      reply?.needsTime === true;
    if (isIncomplete) return this.#schedule(0);
    const isComplete = this.#unacknowledged().length === 0 &&
      Object.keys(this.#changedUnserved()).length === 0;
    const delayMs = isComplete ? CHECK_INTERVAL_MS : this.#intervalMs();
    this.#schedule(this.#sentMs + delayMs - clock.nowMs());
  }

  #ownTime(): Pick<TallyRequest, "nowMs"> {
    const { to, clock, windowClock } = this.#options;
    const sinceMs = clock.nowMs() - this.#comparedMs;
    // A clock that has stepped is wrong until it is compared again.
    const isKnown = windowClock.knows(`${to} ${this.#epoch}`);
    if (isKnown && sinceMs < COMPARISON_INTERVAL_MS) return {};
    return { nowMs: Math.round(windowClock.ownMs()) };
  }

  #compareWith({ epoch, nowMs }: TallyReply): void {
    if (nowMs === undefined) return;
    const { to, clock, windowClock } = this.#options;
    this.#comparedMs = clock.nowMs();
    windowClock.compare(`${to} ${epoch}`, nowMs);
  }

  /** Replaces names by positions, unless the control VM doesn't know the list. */
  #encode(changed: TallyWindows): Pick<TallyRequest, "windows" | "list"> {
    const list = this.#options.tenants();
    if (list === undefined || list.digest === this.#unknownList) {
      return { windows: changed };
    }
    return { windows: withPositions(changed, list), list: list.digest };
  }

  #acknowledge(
    { sent, unserved }: {
      readonly sent: TallyWindows;
      readonly unserved: Readonly<Record<string, number>>;
    },
    reply: TallyReply,
  ): void {
    if (reply.epoch !== this.#epoch) {
      this.#acknowledged.clear();
      if (this.#epoch !== undefined) this.#comparedMs = -Infinity;
    }
    this.#epoch = reply.epoch;
    for (const [tenant, count] of Object.entries(unserved)) {
      this.#acknowledgedUnserved.set(tenant, count);
    }
    for (const { window, counts } of sent) {
      const known = this.#acknowledged.get(window) ?? new Map();
      this.#acknowledged.set(window, known);
      for (const [tenant, count] of Object.entries(counts)) {
        known.set(tenant, count);
      }
    }
    const { windows } = this.#options;
    // By then, the control VM has had time to activate the configuration of this VM.
    if (reply.settled > windows.settledWindow) this.#unknownList = undefined;
    windows.settle(reply.settled);
    for (const window of this.#acknowledged.keys()) {
      if (window <= windows.settledWindow) this.#acknowledged.delete(window);
    }
  }

  /** Returns the counts that changed most, as many as keep the message small; the others follow with the next ones. */
  #changedUnserved(): Readonly<Record<string, number>> {
    const known = this.#acknowledgedUnserved;
    const changed = [...this.#options.unserved]
      .map(([tenant, count]) => ({
        tenant,
        count,
        added: count - (known.get(tenant) ?? 0),
      }))
      .filter(({ added }) => added > 0)
      .sort((a, b) => b.added - a.added)
      .slice(0, MAXIMUM_UNSERVED);
    return Object.fromEntries(
      changed.map(({ tenant, count }) => [tenant, count]),
    );
  }

  #unacknowledged(): TallyWindows {
    const changed: TallyWindows = [];
    for (const { window, counts } of this.#options.windows.unsettled()) {
      const known = this.#acknowledged.get(window);
      const added = [...counts].filter(([tenant, count]) =>
        known?.get(tenant) !== count
      );
      if (added.length === 0) continue;
      changed.push({ window, counts: Object.fromEntries(added) });
    }
    return changed;
  }
}
