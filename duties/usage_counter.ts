/**
 * Counts the calls of an entry VM and sends the counts to the control VMs, each of which may have to report them.
 *
 * @module
 */
import type { Clock, EventLog, Milliseconds } from "#core";
import type { PeerNetwork } from "#wire";
import { DUTY_EVENTS } from "./events.ts";
import { TallySender } from "./tally_sender.ts";
import type { TenantList } from "./tenant_list.ts";
import type { UsageSchedule } from "./usage_schedule.ts";
import { UsageWindows } from "./usage_windows.ts";
import type { WindowClock } from "./window_clock.ts";

/** Time in which the last counts of a VM that stops are acknowledged. */
const FLUSH_MS: Milliseconds = 300;

/** Options of `UsageCounter`. */
export interface UsageCounterOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly schedule: UsageSchedule;
  readonly windowClock: WindowClock;
  /** Start of this process. */
  readonly startedMs: Milliseconds;
  /** Returns the control VMs that hold a replica of the control log. */
  readonly voters: () => readonly string[];
  /** Returns the one of them that leads; undefined if none is known. */
  readonly leader: () => string | undefined;
  /** Returns the tenants of the active configuration; undefined if it has none. */
  readonly tenants: () => TenantList | undefined;
}

/** Counts calls by tenant. */
export class UsageCounter {
  readonly #options: UsageCounterOptions;
  readonly #windows = new UsageWindows();
  /** Calls that ran nowhere, by tenant. */
  readonly #unserved = new Map<string, number>();
  readonly #senders = new Map<string, TallySender>();

  constructor(options: UsageCounterOptions) {
    this.#options = options;
  }

  /**
   * Time in flight after which a call without a response counts as running, so that its window is not settled without
   * it.
   */
  get assumedRunMs(): Milliseconds {
    return this.#options.schedule.assumedRunMs;
  }

  /** Counts a call that began to run at a time on this VM's clock. */
  count(tenant: string, ranMs: Milliseconds): void {
    const { clock, schedule, windowClock, events } = this.#options;
    const ageMs = Math.max(0, clock.nowMs() - ranMs);
    const window = schedule.windowAt(windowClock.nowMs() - ageMs);
    if (!this.#windows.count(tenant, window)) {
      events.emit(DUTY_EVENTS.usageCountedLate, { tenant, window, calls: 1 });
      return;
    }
    this.#updateSenders();
    for (const sender of this.#senders.values()) sender.handleChange();
  }

  /** Counts a call of a tenant that ran nowhere. Such calls are in no report; the control VMs learn the demand by them. */
  countUnserved(tenant: string): void {
    this.#unserved.set(tenant, (this.#unserved.get(tenant) ?? 0) + 1);
    this.#updateSenders();
    for (const sender of this.#senders.values()) sender.handleChange();
  }

  /** Processes changed control VMs. */
  handleFleetChange(): void {
    if (this.#options.tenants() === undefined) return;
    if (!this.#updateSenders()) return;
    for (const sender of this.#senders.values()) sender.compareClocks();
  }

  /** Sends the last counts. */
  async stop(): Promise<void> {
    const senders = [...this.#senders.values()];
    await Promise.race([
      Promise.all(senders.map((sender) => sender.flush())),
      this.#options.clock.sleep(FLUSH_MS),
    ]);
    for (const sender of senders) sender.close();
  }

  /** Sends to the current voters only; returns whether there is a new one. */
  #updateSenders(): boolean {
    const voters = this.#options.voters();
    if (voters.length === 0) return false;
    for (const [vm, sender] of this.#senders) {
      if (voters.includes(vm)) continue;
      sender.close();
      this.#senders.delete(vm);
    }
    let hasNew = false;
    for (const to of voters) {
      if (this.#senders.has(to)) continue;
      const sender = new TallySender({
        ...this.#options,
        to,
        windows: this.#windows,
        unserved: this.#unserved,
        passOn: () => this.#mustPassOn(),
      });
      this.#senders.set(to, sender);
      hasNew = true;
    }
    return hasNew;
  }

  /** Whether the leader can't be reached directly; another voter may reach it. */
  #mustPassOn(): boolean {
    const leader = this.#options.leader();
    if (leader === undefined) return true;
    return this.#senders.get(leader)?.hasFailed === true;
  }
}
