/**
 * Calls of many entry VMs to upstreams of uneven speed of which some restart or recover, on virtual time and without a
 * network: plays the selection of upstreams, to compare its variants.
 *
 * @module
 */
import {
  type FleetUpstream,
  type Milliseconds,
  type RandomSource,
  SeededRandom,
} from "#core";
import { UpstreamSelector } from "#requests";
import { quantile } from "./statistics.ts";
import { UNEVEN_CAPACITY, WorldUpstream } from "./pace_upstream.ts";

const TICK_MS: Milliseconds = 0.25;
const TRAVEL_MS: Milliseconds = 0.5;
const OTHER_ZONE_TRAVEL_MS: Milliseconds = 1.5;
const DOWN_MS: Milliseconds = 5_000;
/** When the upstreams are back, and what callers get is measured from. */
export const BACK_MS: Milliseconds = 8_000;
const MAXIMUM_NOTICE_MS: Milliseconds = 300;
const MAXIMUM_ATTEMPTS = 3;
const DEADLINE_MS: Milliseconds = 2_000;
const HEDGE_DELAY_OBJECTIVE_RATIO = 0.45;
const WINDOW_MS: Milliseconds = 250;
/** Share of the calls due to the upstreams that counts as their full share. */
const FULL_SHARE = 0.8;

/** How upstreams go and come back: as another process, or after failing all calls; or fail half of them to the end. */
export type PaceFault = "restart" | "recover" | "fail_half";

/** Options of `PaceWorld`. */
export interface PaceWorldOptions {
  readonly seed: number;
  readonly vms: number;
  readonly upstreams: number;
  /** Upstreams that restart or fail for a while. */
  readonly returning: number;
  readonly zones: number;
  readonly slots: number;
  readonly workMs: Milliseconds;
  readonly objectiveMs: Milliseconds;
  /** Calls as a share of what all upstreams can run. */
  readonly load: number;
  readonly fault: PaceFault;
  readonly isUneven: boolean;
  /** Whether calls without a timely response are also sent to another upstream. */
  readonly isHedged: boolean;
  /** How many times slower a restarted upstream runs its first calls, and for how long. */
  readonly coldFactor: number;
  readonly coldMs: Milliseconds;
  readonly measuredMs: Milliseconds;
  readonly createSelector: (
    zone: string,
    random: RandomSource,
  ) => UpstreamSelector;
}

/** What callers got from the time at which the upstreams were back. */
export interface PaceOutcome {
  readonly calls: number;
  readonly meanMs: Milliseconds;
  readonly p99Ms: Milliseconds;
  readonly withinObjective: number;
  /** Share of the calls that no upstream ran. */
  readonly failed: number;
  /** Attempts that failed, by calls, from the first fault on. */
  readonly failedAttempts: number;
  /** Largest number of calls at one of the upstreams that were back, in its slots, while it may still be cold. */
  readonly peakPerSlot: number;
  /** Time until they got their share of the calls; Infinity if they did not. */
  readonly fullShareMs: Milliseconds;
}

interface Call {
  readonly vm: Vm;
  readonly startMs: Milliseconds;
  readonly tried: Set<string>;
  /** Attempts without a response. */
  readonly running: Set<Attempt>;
  isOver: boolean;
}

interface Attempt {
  readonly upstream: WorldUpstream;
  readonly sentMs: Milliseconds;
  readonly reply: (isAnswered: boolean) => void;
}

interface Vm {
  readonly zone: string;
  readonly selector: UpstreamSelector;
  known: FleetUpstream[];
}

/** Plays the load. */
export class PaceWorld {
  readonly #options: PaceWorldOptions;
  readonly #random: RandomSource;
  readonly #agenda: (() => void)[][] = [];
  readonly #upstreams: WorldUpstream[] = [];
  readonly #byId = new Map<string, WorldUpstream>();
  readonly #vms: Vm[] = [];
  readonly #latenciesMs: Milliseconds[] = [];
  #failed = 0;
  #failedAttempts = 0;
  #callsFromFault = 0;
  #peakPerSlot = 0;
  #fullShareMs = Infinity;
  #nowMs: Milliseconds = 0;

  constructor(options: PaceWorldOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    for (let at = 0; at < options.upstreams; at += 1) {
      const upstream = new WorldUpstream({
        ...options,
        index: at,
        random: new SeededRandom(options.seed * 1_000_000 + at),
        nowMs: () => this.#nowMs,
        after: (delayMs, action) => this.#after(delayMs, action),
      });
      this.#upstreams.push(upstream);
      this.#byId.set(upstream.record.id, upstream);
    }
    for (let at = 0; at < options.vms; at += 1) {
      const zone = `z${at % options.zones}`;
      const random = new SeededRandom(options.seed * 1_000 + at);
      // The first numbers of similar seeds are similar.
      for (let draw = 0; draw < 64; draw += 1) random.uint32();
      const known = this.#upstreams.map(({ record }) => record);
      const selector = options.createSelector(zone, random);
      this.#vms.push({ zone, selector, known });
    }
  }

  /** Plays the load and returns what callers got. */
  run(): PaceOutcome {
    const { measuredMs, upstreams, slots, workMs, load, isUneven } =
      this.#options;
    const speed = this.#upstreams.reduce((sum, each) => sum + each.speed, 0);
    const meanSpeed = speed / upstreams;
    const usual = isUneven ? UNEVEN_CAPACITY : 1;
    const callsPerMs = load * usual * upstreams * slots * meanSpeed / workMs;
    const untilMs = BACK_MS + measuredMs;
    this.#at(DOWN_MS, () => this.#takeDown());
    this.#at(BACK_MS, () => this.#bringBack());
    this.#at(BACK_MS + WINDOW_MS, () => this.#checkShare(callsPerMs));
    let dueMs = 0;
    for (let tick = 0; this.#nowMs < untilMs; tick += 1) {
      this.#nowMs = tick * TICK_MS;
      while (dueMs <= this.#nowMs) {
        this.#startCall();
        dueMs -= Math.log(1 - this.#random.fraction()) / callsPerMs;
      }
      for (const action of this.#agenda[tick] ?? []) action();
      delete this.#agenda[tick];
    }
    return this.#outcome();
  }

  #outcome(): PaceOutcome {
    const { objectiveMs } = this.#options;
    const served = this.#latenciesMs.length;
    const calls = served + this.#failed;
    const sumMs = this.#latenciesMs.reduce((sum, each) => sum + each, 0);
    const within = this.#latenciesMs.filter((each) => each <= objectiveMs);
    return {
      calls,
      meanMs: sumMs / served,
      p99Ms: quantile(this.#latenciesMs, 0.99),
      withinObjective: within.length / calls,
      failed: this.#failed / calls,
      failedAttempts: this.#failedAttempts / this.#callsFromFault,
      peakPerSlot: this.#peakPerSlot,
      fullShareMs: this.#fullShareMs,
    };
  }

  get #returning(): readonly WorldUpstream[] {
    return this.#upstreams.slice(0, this.#options.returning);
  }

  #takeDown(): void {
    const { fault } = this.#options;
    for (const upstream of this.#returning) {
      if (fault === "fail_half") {
        upstream.failHalf();
        continue;
      }
      upstream.stop();
      if (fault === "recover") continue;
      this.#announce((known) =>
        known.filter(({ id }) => id !== upstream.record.id)
      );
    }
  }

  #bringBack(): void {
    const { fault } = this.#options;
    if (fault === "fail_half") return;
    for (const upstream of this.#returning) {
      upstream.start({ isRestart: fault === "restart" });
      if (fault === "recover") continue;
      this.#announce((known) => [...known, upstream.record]);
    }
  }

  /** Lets each VM learn of a change at another time. */
  #announce(
    change: (known: readonly FleetUpstream[]) => FleetUpstream[],
  ): void {
    for (const vm of this.#vms) {
      const delayMs = this.#random.fraction() * MAXIMUM_NOTICE_MS;
      this.#after(delayMs, () => {
        vm.known = change(vm.known);
      });
    }
  }

  #checkShare(callsPerMs: number): void {
    const total = this.#upstreams.reduce((sum, each) => sum + each.speed, 0);
    let speed = 0;
    let ended = 0;
    for (const upstream of this.#returning) {
      speed += upstream.speed;
      ended += upstream.resetEnded();
    }
    const due = callsPerMs * WINDOW_MS * speed / total;
    if (ended >= due * FULL_SHARE) this.#fullShareMs = this.#nowMs - BACK_MS;
    else this.#after(WINDOW_MS, () => this.#checkShare(callsPerMs));
  }

  #startCall(): void {
    const vm = this.#vms[this.#random.below(this.#vms.length)];
    if (vm === undefined) return;
    if (this.#nowMs >= DOWN_MS) this.#callsFromFault += 1;
    const call: Call = {
      vm,
      startMs: this.#nowMs,
      tried: new Set(),
      running: new Set(),
      isOver: false,
    };
    this.#attempt(call);
    const { objectiveMs, isHedged } = this.#options;
    if (!isHedged) return;
    this.#after(
      objectiveMs * HEDGE_DELAY_OBJECTIVE_RATIO,
      () => this.#attempt(call),
    );
  }

  #attempt(call: Call): void {
    if (call.isOver || call.tried.size >= MAXIMUM_ATTEMPTS) return;
    const { vm: { selector, known, zone }, tried } = call;
    const { coldMs } = this.#options;
    selector.observe(() => known, this.#nowMs);
    const record = selector.select(known, { tried, nowMs: this.#nowMs });
    const upstream = this.#byId.get(record?.id ?? "");
    if (record === undefined || upstream === undefined) return;
    tried.add(record.id);
    selector.recordSent(record.id);
    const travelMs = record.zone === zone ? TRAVEL_MS : OTHER_ZONE_TRAVEL_MS;
    const attempt: Attempt = {
      upstream,
      sentMs: this.#nowMs,
      reply: (isAnswered) =>
        this.#after(
          travelMs,
          () => this.#handleEnd(call, attempt, isAnswered),
        ),
    };
    call.running.add(attempt);
    this.#after(travelMs, () => {
      if (!call.running.has(attempt)) return;
      upstream.run(attempt.reply);
      const { isReturning, perSlot } = upstream;
      if (isReturning && this.#nowMs < BACK_MS + coldMs) {
        this.#peakPerSlot = Math.max(this.#peakPerSlot, perSlot);
      }
    });
  }

  #handleEnd(call: Call, attempt: Attempt, isAnswered: boolean): void {
    if (!call.running.delete(attempt)) return;
    const { selector } = call.vm;
    const nowMs = this.#nowMs;
    const { sentMs, upstream: { record: { id } } } = attempt;
    const latencyMs = isAnswered ? nowMs - sentMs : null;
    selector.recordEnded(id, { nowMs, latencyMs });
    if (isAnswered) return this.#end(call, true);
    selector.pause(id, nowMs);
    if (nowMs >= DOWN_MS) this.#failedAttempts += 1;
    if (nowMs - call.startMs < DEADLINE_MS) this.#attempt(call);
    if (call.running.size === 0) this.#end(call, false);
  }

  /** Cancels an attempt after the response to another one. */
  #cancel(call: Call, { upstream, sentMs, reply }: Attempt): void {
    const { selector } = call.vm;
    const nowMs = this.#nowMs;
    const { id } = upstream.record;
    upstream.cancel(reply);
    const cancelledAfterMs = nowMs - sentMs;
    selector.recordEnded(id, { nowMs, latencyMs: null, cancelledAfterMs });
    const isOverdue = nowMs - sentMs > this.#options.objectiveMs;
    if (isOverdue) selector.pause(id, nowMs);
  }

  #end(call: Call, isServed: boolean): void {
    call.isOver = true;
    for (const attempt of call.running) this.#cancel(call, attempt);
    call.running.clear();
    if (call.startMs < BACK_MS) return;
    if (isServed) this.#latenciesMs.push(this.#nowMs - call.startMs);
    else this.#failed += 1;
  }

  #after(delayMs: Milliseconds, action: () => void): void {
    this.#at(this.#nowMs + delayMs, action);
  }

  #at(timeMs: Milliseconds, action: () => void): void {
    const tick = Math.max(
      Math.floor(this.#nowMs / TICK_MS) + 1,
      Math.round(timeMs / TICK_MS),
    );
    (this.#agenda[tick] ??= []).push(action);
  }
}
