/**
 * Connects the scheduler to the clock, the blackboard and the other entry VMs of the zone; callers wait here
 * for a slot at an upstream.
 *
 * @module
 */
import { z } from "zod";
import {
  type Blackboard,
  type BoardSections,
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type RandomSource,
  type Result,
} from "#core";
import type { PeerNetwork } from "#wire";
import type { DecisionLog } from "./decision_log.ts";
import { DemandReporter } from "./demand_reporter.ts";
import { REQUEST_EVENTS } from "./events.ts";
import { type Dispatch, Scheduler, type WorkOutcome } from "./scheduler.ts";
import type { UpstreamState } from "./upstream_state.ts";
import type { WorkItem } from "./work_item.ts";

/** Interval at which waiting work is checked, and at which a demand report to the zone may be sent. */
export const TICK_INTERVAL_MS: Milliseconds = 50;

const demandReportSchema = z.object({
  demand: z.record(z.string().max(256), z.number().finite().nonnegative()),
});

/** The right to run one work item at an upstream; must be released, and later releases have no effect. */
export interface Slot {
  readonly upstream: UpstreamState;
  readonly grantedAtMs: Milliseconds;
  release(outcome: WorkOutcome): void;
}

/** Options of `WorkGate`. */
export interface WorkGateOptions {
  readonly vm: string;
  readonly zone: string;
  readonly board: Blackboard<BoardSections>;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly decisions: DecisionLog;
}

/** Grants slots at upstreams in the order that the scheduler decides. */
export class WorkGate {
  readonly scheduler: Scheduler;
  readonly #options: WorkGateOptions;
  readonly #waiters = new Map<
    string,
    (result: Result<Slot, Failure>) => void
  >();
  readonly #disposers: (() => void)[] = [];
  readonly #demandReporter = new DemandReporter();

  constructor(options: WorkGateOptions) {
    this.#options = options;
    this.scheduler = new Scheduler(options);
    options.network.onNotice(
      "requests",
      (from, body) => this.#receiveDemand(from, body),
    );
    this.#readBoard();
  }

  /** Starts watching the blackboard and reporting demand. */
  start(): void {
    const { board, clock } = this.#options;
    for (const name of ["bundle", "upstreams", "load"] as const) {
      this.#disposers.push(board.watch(name, () => {
        this.#readBoard();
        this.#dispatchWaiting();
      }));
    }
    this.#readBoard();
    const timer = clock.every(TICK_INTERVAL_MS, () => {
      this.#tick();
      this.#reportDemand();
    });
    this.#disposers.push(() => timer.cancel());
  }

  /** Stops the timers and watches; waiting and running work is not cancelled. */
  stop(): void {
    for (const stop of this.#disposers.splice(0)) stop();
  }

  /** Waits for a slot; a failure means that this attempt was never dispatched. */
  acquire(
    item: WorkItem,
    signal: AbortSignal | undefined,
  ): Promise<Result<Slot, Failure>> {
    const nowMs = this.#options.clock.nowMs();
    if (signal?.aborted === true) return Promise.resolve(cancelled());
    const rejection = this.scheduler.submit(item, nowMs);
    if (rejection !== undefined) {
      this.#options.decisions.record(item.id, "refused", { ...rejection });
      return Promise.resolve(Err(rejection));
    }
    return new Promise((resolve) => {
      const onAbort = (): void => {
        if (!this.scheduler.withdraw(item.id)) return;
        this.#settle(item.id, cancelled());
      };
      signal?.addEventListener("abort", onAbort);
      this.#waiters.set(item.id, (result) => {
        signal?.removeEventListener("abort", onAbort);
        resolve(result);
      });
      this.#dispatchWaiting();
    });
  }

  #dispatchWaiting(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const dispatch of this.scheduler.takeDispatches(nowMs)) {
      this.#grant(dispatch, nowMs);
    }
    this.#publishCounts();
  }

  #grant(dispatch: Dispatch, nowMs: Milliseconds): void {
    const { item, selection } = dispatch;
    this.#options.decisions.record(item.id, "dispatched", {
      upstream: selection.upstream.id,
      reason: selection.reason,
      ownZone: selection.ownZone,
      waitedMs: Math.round(nowMs - item.arrivedMs),
    });
    let isReleased = false;
    this.#settle(
      item.id,
      Ok({
        upstream: selection.upstream,
        grantedAtMs: nowMs,
        release: (outcome) => {
          if (isReleased) return;
          isReleased = true;
          this.#release(item, { outcome, upstream: selection.upstream });
        },
      }),
    );
  }

  #release(
    item: WorkItem,
    end: { readonly outcome: WorkOutcome; readonly upstream: UpstreamState },
  ): void {
    const { outcome, upstream } = end;
    const nowMs = this.#options.clock.nowMs();
    this.scheduler.finish(item.id, outcome, nowMs);
    if (outcome.result === "failed") {
      this.#options.events.emit(REQUEST_EVENTS.upstreamSuspended, {
        upstream: upstream.id,
        failures: upstream.failures,
      });
    }
    this.#dispatchWaiting();
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    this.scheduler.updateShares(nowMs);
    this.#dispatchWaiting();
    for (const { item, failure } of this.scheduler.abandonLateWork(nowMs)) {
      this.#options.decisions.record(item.id, "given_up", { ...failure });
      this.#settle(item.id, Err(failure));
    }
    this.#publishCounts();
  }

  #settle(id: string, result: Result<Slot, Failure>): void {
    const settle = this.#waiters.get(id);
    this.#waiters.delete(id);
    settle?.(result);
  }

  #readBoard(): void {
    const { board, clock } = this.#options;
    const bundle = board.read("bundle")?.signed.bundle;
    if (bundle !== undefined) this.scheduler.setBundle(bundle);
    this.scheduler.setUpstreams(board.read("upstreams"), clock.nowMs());
    this.scheduler.setLoads(board.read("load"));
  }

  #publishCounts(): void {
    const { queued, running } = this.scheduler;
    const before = this.#options.board.read("requests");
    if (before.queued === queued && before.running === running) return;
    this.#options.board.write("requests", "requests", { queued, running });
  }

  #reportDemand(): void {
    const report = this.scheduler.demand();
    const peers = this.#zonePeers();
    const nowMs = this.#options.clock.nowMs();
    const options = { report, peers: peers.length, nowMs };
    if (!this.#demandReporter.isDue(options)) return;
    for (const to of peers) {
      this.#options.network.notify({ to, channel: "requests" }, report);
    }
  }

  #zonePeers(): readonly string[] {
    const { board, vm, zone } = this.#options;
    const peers: string[] = [];
    for (const view of board.read("members").values()) {
      if (view.name !== vm && view.zone === zone) peers.push(view.name);
    }
    return peers;
  }

  #receiveDemand(from: string, body: unknown): void {
    const parsed = demandReportSchema.safeParse(body);
    if (!parsed.success) {
      this.#options.events.emit(REQUEST_EVENTS.malformedDemandReport, { from });
      return;
    }
    const nowMs = this.#options.clock.nowMs();
    this.scheduler.recordDemand(from, parsed.data, nowMs);
  }
}

function cancelled(): Result<never, Failure> {
  return Err(fail("cancelled", "the caller went away", { ran: "no" }));
}
