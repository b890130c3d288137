/**
 * Reports the usage of each window while this process holds the duties: settles the counts of a window in the control
 * log, then sends them until they are accepted. Since only settled counts are sent, a window is never reported with
 * different counts, whichever process sends them.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import {
  type Clock,
  type EventLog,
  type Milliseconds,
  SECOND_MS,
  type Timer,
} from "#core";
import type { DutiesCommand, DutiesMachine } from "./duties_machine.ts";
import type { DutyHolder } from "./duty_holder.ts";
import type {
  DutyAuthority,
  DutyOutcome,
  DutyPort,
  UsageReport,
} from "./duty_port.ts";
import { DUTY_EVENTS } from "./events.ts";
import type { UsageCollector } from "./usage_collector.ts";
import type { UsageMetrics } from "./usage_metrics.ts";
import type { UsageSchedule } from "./usage_schedule.ts";
import type { WindowClock } from "./window_clock.ts";

const CHECK_INTERVAL_MS: Milliseconds = 100;
const MINIMUM_RETRY_MS: Milliseconds = 0.2 * SECOND_MS;
const MAXIMUM_RETRY_MS: Milliseconds = 2 * SECOND_MS;
/** Rejections, each with another fencing token, after which a report can't be meant to succeed. */
const MAXIMUM_CONFLICTS = 2;

/** Options of `UsageReporter`. */
export interface UsageReporterOptions {
  readonly log: ReplicatedLog;
  readonly machine: DutiesMachine;
  readonly holder: DutyHolder;
  readonly collector: UsageCollector;
  readonly port: DutyPort;
  readonly clock: Clock;
  readonly windowClock: WindowClock;
  readonly schedule: UsageSchedule;
  readonly events: EventLog;
  readonly metrics: UsageMetrics;
  /** Whether the active configuration has tenants. */
  readonly hasTenants: () => boolean;
}

/** Successive windows. */
interface WindowRange {
  readonly first: number;
  readonly last: number;
}

/** Settles and reports windows. */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  #checks: Timer | undefined;
  #isStopped = false;
  #isProposing = false;
  #sending: Promise<void> | undefined;
  #retryAtMs: Milliseconds = 0;
  #retryDelayMs = MINIMUM_RETRY_MS;
  /** The newest window that was accepted; its record in the log may be missing yet. */
  #acceptedWindow = -1;
  /** The window that was rejected, and how many times. */
  #conflict = { window: -1, count: 0 };
  /** The newest window that passed while the configuration had no tenants. */
  #idleWindow = -1;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
  }

  /** Starts to report whenever this process holds the duties. */
  start(): void {
    const { clock } = this.#options;
    this.#checks = clock.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Ends the reports; resolves when the call in progress has ended. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#checks?.cancel();
    await this.#sending;
  }

  /** Whether there is anything to settle or to report. */
  isNeeded(): boolean {
    const { hasTenants, collector, machine } = this.#options;
    return hasTenants() || machine.current.settled.length > 0 ||
      collector.oldestUnsettled() !== undefined;
  }

  #check(): void {
    if (this.#isStopped) return;
    const { log, clock, holder, hasTenants, windowClock } = this.#options;
    // The configuration of a VM that does not lead may be old.
    if (log.leaseUntilMs() <= clock.nowMs()) return;
    // A leader whose clock has stepped forward would skip or settle windows that have not begun.
    const isStable = windowClock.isStable();
    if (isStable && hasTenants()) this.#begin();
    if (isStable && !hasTenants()) this.#passWindow();
    const authority = holder.authority();
    if (authority === null) return;
    if (isStable && !this.#isProposing) this.#proposeNext(authority);
    this.#sending ??= this.#sendNext(authority).then((isAccepted) => {
      this.#sending = undefined;
      if (isAccepted) this.#check();
    });
  }

  /** Records the first window, before this process may report any. It can't have been settled yet, by anybody. */
  #begin(): void {
    const { machine, schedule, windowClock } = this.#options;
    if (machine.current.nextWindow !== null) return;
    const window = schedule.windowAt(windowClock.nowMs());
    void this.#propose({ kind: "begin", window });
  }

  /** Windows that pass without tenants are not reported unless they have calls. */
  #passWindow(): void {
    const { windowClock, schedule } = this.#options;
    this.#idleWindow = schedule.windowAt(windowClock.nowMs());
  }

  /** Proposes what the log has to record next. */
  #proposeNext({ fence }: DutyAuthority): void {
    const { machine, schedule, windowClock } = this.#options;
    const { nextWindow, settled } = machine.current;
    const nowMs = windowClock.nowMs();
    if (nextWindow === null) return;
    const waiting = settled[0]?.window ?? nextWindow;
    if (settled.length > 0 && waiting <= this.#acceptedWindow) {
      void this.#propose({ kind: "reported", window: this.#acceptedWindow });
      return;
    }
    const missed = schedule.newestMissed(nowMs);
    if (waiting <= missed) {
      void this.#skipMissed(fence, { first: waiting, last: missed });
      return;
    }
    const due = schedule.newestDue(nowMs);
    if (nextWindow > due) return;
    const command = this.#settlement(fence, { nextWindow, due });
    if (command !== undefined) void this.#propose(command);
  }

  /** Skips windows whose reports are of no use any more. */
  async #skipMissed(fence: number, windows: WindowRange): Promise<void> {
    const command = { kind: "skip", fence, window: windows.last } as const;
    if (await this.#propose(command)) this.#recordSkipped(windows, "too old");
  }

  /** Returns whether the command changed the state. */
  async #propose(command: DutiesCommand): Promise<boolean> {
    if (this.#isProposing) return false;
    const { log, machine, metrics } = this.#options;
    const before = machine.current;
    this.#isProposing = true;
    await log.propose({ machine: "duties", command });
    this.#isProposing = false;
    if (machine.current === before) return false;
    const { nextWindow } = machine.current;
    const isSettled = command.kind === "settle" &&
      nextWindow === command.window + 1;
    if (isSettled) metrics.addSettled();
    // Windows that wait follow at once, not at the next check.
    this.#check();
    return true;
  }

  /** Settles the next window, or skips windows without calls that passed without tenants, at least in part. */
  #settlement(fence: number, { nextWindow, due }: {
    readonly nextWindow: number;
    readonly due: number;
  }): DutiesCommand | undefined {
    const { machine, collector } = this.#options;
    const { firstWindow, settled } = machine.current;
    const counted = collector.oldestUnsettled() ?? Infinity;
    const idle = Math.max(this.#idleWindow, firstWindow ?? 0);
    const skipped = Math.min(idle, due, counted - 1);
    if (nextWindow > skipped) {
      const counts = collector.counts(nextWindow);
      return { kind: "settle", fence, window: nextWindow, counts };
    }
    // A skip would drop settled windows that wait for their report.
    const maySkip = this.isNeeded() && settled.length === 0;
    return maySkip ? { kind: "skip", fence, window: skipped } : undefined;
  }

  /** Sends the oldest report that has not been accepted, if it is time; returns whether it was accepted now. */
  async #sendNext(authority: DutyAuthority): Promise<boolean> {
    const { machine, clock, port } = this.#options;
    const report = machine.current.settled.find(({ window }) =>
      window > this.#acceptedWindow
    );
    if (report === undefined || clock.nowMs() < this.#retryAtMs) return false;
    const outcome = await port.sendUsage(report, authority);
    const isAccepted = outcome === "accepted";
    if (isAccepted) this.#recordAccepted(report);
    else this.#recordFailed(report, { outcome, fence: authority.fence });
    return isAccepted;
  }

  #recordAccepted({ window }: UsageReport): void {
    const { events, metrics, schedule, windowClock } = this.#options;
    this.#acceptedWindow = window;
    this.#retryDelayMs = MINIMUM_RETRY_MS;
    this.#retryAtMs = 0;
    const nowMs = windowClock.nowMs();
    const delayMs = Math.round(nowMs - schedule.endMs(window));
    const isLate = schedule.isLate(window, nowMs);
    metrics.addReported();
    if (isLate) metrics.addLate();
    const event = isLate
      ? DUTY_EVENTS.usageReportedLate
      : DUTY_EVENTS.usageReported;
    events.emit(event, { window, delayMs });
  }

  #recordFailed({ window }: UsageReport, failed: {
    readonly outcome: DutyOutcome;
    readonly fence: number;
  }): void {
    const { clock, events, holder } = this.#options;
    events.emit(DUTY_EVENTS.usageNotAccepted, { window, ...failed });
    this.#retryAtMs = clock.nowMs() + this.#retryDelayMs;
    this.#retryDelayMs = Math.min(2 * this.#retryDelayMs, MAXIMUM_RETRY_MS);
    if (failed.outcome !== "conflict") return;
    holder.release(failed.fence);
    const isRepeated = this.#conflict.window === window;
    this.#conflict = {
      window,
      count: isRepeated ? this.#conflict.count + 1 : 1,
    };
    if (this.#conflict.count < MAXIMUM_CONFLICTS) return;
    // The next holder goes on with the following window.
    this.#acceptedWindow = window;
    this.#recordSkipped({ first: window, last: window }, "rejected");
  }

  #recordSkipped(windows: WindowRange, reason: string): void {
    const { events, metrics } = this.#options;
    events.emit(DUTY_EVENTS.usageSkipped, { ...windows, reason });
    for (let each = windows.first; each <= windows.last; each += 1) {
      metrics.addLate();
    }
  }
}
