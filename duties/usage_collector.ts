/**
 * The part of a control VM that adds up the calls that entry VMs have counted. Every voter does, so that a new leader has
 * the counts.
 *
 * @module
 */
import { Err, type EventLog, fail, type Failure, Ok, type Result } from "#core";
import { ControlPart } from "#membership";
import type { TenantDemandMessage } from "#tenants";
import type { PeerNetwork } from "#wire";
import { DemandMeter } from "./demand_meter.ts";
import type { DutiesMachine } from "./duties_machine.ts";
import type { TenantCount } from "./duty_port.ts";
import { DUTY_EVENTS } from "./events.ts";
import {
  parseTally,
  TALLY_CHANNEL,
  TALLY_KIND,
  TALLY_TIMEOUT_MS,
  type TallyReply,
  type TallyRequest,
  withNames,
} from "./usage_messages.ts";
import type { TenantList } from "./tenant_list.ts";
import type { UsageMetrics } from "./usage_metrics.ts";
import type { UsageSchedule } from "./usage_schedule.ts";
import { MAXIMUM_STORED_WINDOWS, sortedCounts } from "./usage_windows.ts";
import type { WindowClock } from "./window_clock.ts";

/** Settled windows of which counts that arrive late are still recognised. */
const RECOGNISED_WINDOWS = 2;
/** Windows by which the clock of an entry VM may be ahead. */
const MAXIMUM_WINDOWS_AHEAD = 2;

/** Counts of one window by process, then by tenant. */
type ProcessCounts = Map<string, Map<string, number>>;

/** Options of `UsageCollector`. */
export interface UsageCollectorOptions {
  /** Identifies this process. */
  readonly epoch: string;
  readonly machine: DutiesMachine;
  readonly schedule: UsageSchedule;
  readonly windowClock: WindowClock;
  readonly events: EventLog;
  readonly metrics: UsageMetrics;
  /** Whether this VM reports the counts, so that it logs those which arrive too late. */
  readonly isHolder: () => boolean;
  readonly network: PeerNetwork;
  /** Returns the control VM that leads; undefined if none is known. */
  readonly leader: () => string | undefined;
  /** Returns the tenants of the active configuration; undefined if it has none. */
  readonly tenants: () => TenantList | undefined;
}

/** Stores the counts of the windows that are not settled. */
export class UsageCollector extends ControlPart {
  override readonly kind = TALLY_KIND;
  readonly #options: UsageCollectorOptions;
  readonly #windows = new Map<number, ProcessCounts>();
  readonly #meter = new DemandMeter();

  constructor(options: UsageCollectorOptions) {
    super();
    this.#options = options;
  }

  override handle(body: unknown): Promise<Result<unknown, Failure>> {
    const tally = parseTally(body);
    if (tally === undefined) {
      const message = "not a well-formed tally";
      return Promise.resolve(Err(fail("malformed_request", message)));
    }
    const { epoch, tenants } = this.#options;
    const reply: TallyReply = {
      epoch,
      settled: this.#settledWindow(),
      ...this.#compareClocks(tally),
    };
    const list = tenants();
    if (tally.list !== undefined && tally.list !== list?.digest) {
      return Promise.resolve(Ok({ ...reply, unknownList: true }));
    }
    this.#merge({ ...tally, windows: withNames(tally.windows, list) });
    if (tally.passOn === true) this.#passOn(tally);
    return Promise.resolve(Ok(reply));
  }

  /** Returns the calls of a window by tenant, sorted. */
  counts(window: number): readonly TenantCount[] {
    const totals = new Map<string, number>();
    for (const counts of this.#windows.get(window)?.values() ?? []) {
      for (const [tenant, count] of counts) {
        totals.set(tenant, (totals.get(tenant) ?? 0) + count);
      }
    }
    return sortedCounts(totals);
  }

  /** Returns the oldest window with counts that is not settled; undefined if there is none. */
  oldestUnsettled(): number | undefined {
    const settled = this.#settledWindow();
    const unsettled = [...this.#windows.keys()].filter((window) =>
      window > settled
    );
    return unsettled.length === 0 ? undefined : Math.min(...unsettled);
  }

  /** Returns the demand of tenants over all entry VMs, for entry VMs; undefined if this VM knows of no calls. */
  demand(): TenantDemandMessage | undefined {
    return this.#meter.demand(this.#options.windowClock.nowMs());
  }

  #settledWindow(): number {
    return (this.#options.machine.current.nextWindow ?? 0) - 1;
  }

  #compareClocks(
    tally: TallyRequest,
  ): Pick<TallyReply, "nowMs" | "needsTime"> {
    const { windowClock } = this.#options;
    const process = processOf(tally);
    if (tally.nowMs === undefined) {
      return windowClock.knows(process) ? {} : { needsTime: true };
    }
    windowClock.compare(process, tally.nowMs);
    return { nowMs: Math.round(windowClock.ownMs()) };
  }

  /** Passes all counts of a process on to the leader, since it may have received none of them. */
  #passOn({ kind, vm, startedMs }: TallyRequest): void {
    const { network, leader } = this.#options;
    const to = leader();
    if (to === undefined || to === network.self) return;
    const settled = this.#settledWindow();
    const windows = [...this.#windows]
      .filter(([window]) => window > settled)
      .map(([window, processes]) => {
        const counts = processes.get(processOf({ vm, startedMs })) ?? [];
        return { window, counts: Object.fromEntries(counts) };
      })
      .filter(({ counts }) => Object.keys(counts).length > 0);
    const tally: TallyRequest = { kind, vm, startedMs, windows };
    // If it is lost, the next message of the process repeats it.
    void network.request(
      { to, channel: TALLY_CHANNEL, timeoutMs: TALLY_TIMEOUT_MS },
      tally,
    );
  }

  /** Counts of a process only increase, so messages may arrive twice and in any order. */
  #merge({ vm, startedMs, windows, unserved }: TallyRequest): void {
    this.#dropOldWindows();
    const { oldest, newest } = this.#plausibleWindows();
    const settled = this.#settledWindow();
    const process = processOf({ vm, startedMs });
    if (unserved !== undefined) {
      const nowMs = this.#options.windowClock.nowMs();
      this.#meter.recordUnserved(process, unserved, nowMs);
    }
    for (const { window, counts } of windows) {
      if (window < oldest || window > newest) continue;
      const added = this.#mergeWindow(window, { process, counts });
      if (window <= settled && added > 0) this.#recordLate(vm, window, added);
    }
  }

  /** Returns the range of windows that are accepted: by the time, or by the settled ones while the time may be wrong. */
  #plausibleWindows(): { readonly oldest: number; readonly newest: number } {
    const { schedule, windowClock } = this.#options;
    if (!windowClock.isStable()) {
      const settled = this.#settledWindow();
      return {
        oldest: settled - RECOGNISED_WINDOWS,
        newest: settled + MAXIMUM_STORED_WINDOWS,
      };
    }
    const current = schedule.windowAt(windowClock.nowMs());
    return {
      oldest: current - MAXIMUM_STORED_WINDOWS,
      newest: current + MAXIMUM_WINDOWS_AHEAD,
    };
  }

  /** Returns the number of calls that were not known before. */
  #mergeWindow(window: number, { process, counts }: {
    readonly process: string;
    readonly counts: Readonly<Record<string, number>>;
  }): number {
    const { schedule, windowClock } = this.#options;
    const nowMs = windowClock.nowMs();
    const processes = this.#windows.get(window) ?? new Map();
    // All counts of a process come again to a control VM that has started again: the calls of earlier windows are not new.
    const isRecent = processes.has(process) ||
      window >= schedule.windowAt(nowMs);
    this.#windows.set(window, processes);
    const known = processes.get(process) ?? new Map<string, number>();
    processes.set(process, known);
    let added = 0;
    for (const [tenant, count] of Object.entries(counts)) {
      const previous = known.get(tenant) ?? 0;
      if (count <= previous) continue;
      known.set(tenant, count);
      added += count - previous;
      if (isRecent) this.#meter.addRan(tenant, count - previous, nowMs);
    }
    return added;
  }

  #recordLate(vm: string, window: number, calls: number): void {
    const { isHolder, metrics, events } = this.#options;
    if (!isHolder()) return;
    metrics.addUncounted(calls);
    events.emit(DUTY_EVENTS.usageCountedLate, { vm, window, calls });
  }

  #dropOldWindows(): void {
    const oldest = Math.max(
      this.#settledWindow() - RECOGNISED_WINDOWS,
      this.#plausibleWindows().oldest,
    );
    for (const window of this.#windows.keys()) {
      if (window < oldest) this.#windows.delete(window);
    }
  }
}

/** Identifies a process that counts from zero. */
function processOf({ vm, startedMs }: {
  readonly vm: string;
  readonly startedMs: number;
}): string {
  return `${vm} ${startedMs}`;
}
