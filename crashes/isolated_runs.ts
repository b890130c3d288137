/**
 * Decides where and when suspects run: apart from each other, so that a crash shows under which of them, and never so
 * many at a time that a service has no upstream left. Performs no I/O.
 *
 * @module
 */
import {
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
  SECOND_MS,
} from "#core";
import type {
  IsolationDecision,
  IsolationRequest,
} from "./isolation_messages.ts";

/** Time after which a run no longer counts, as its VM may have failed. */
const RUN_MS: Milliseconds = SECOND_MS;
/** Crashes from which on a call is so likely to crash the next upstream that most of its service must be up. */
export const LIKELY_CRASHES = 2;

/**
 * Time after the last crash under a blocked call before which it has no trial run, and between two of them. Whatever
 * else ended its upstreams is over by then, and they have started again.
 */
export const TRIAL_INTERVAL_MS: Milliseconds = 5 * SECOND_MS;

/** What is known of crashes. */
export interface CrashKnowledge {
  crashesOf(digest: string): number;
  /** When the last crash under a call was observed; `-Infinity` without any. */
  lastCrashMs(digest: string): Milliseconds;
  isBlocked(digest: string): boolean;
  /** Whether an upstream crashed while no other suspect is known to have run there. */
  ranAlone(digest: string): boolean;
  /** Whether an incarnation has crashed just now, though it may still be listed. */
  hasCrashed(incarnation: string, nowMs: Milliseconds): boolean;
}

/** Options of `IsolatedRuns`. */
export interface IsolatedRunsOptions {
  readonly crashes: CrashKnowledge;
  /** Returns the upstreams of a service that are ready by their heartbeats. */
  readonly upstreamsOf: (service: string) => readonly FleetUpstream[];
}

interface Run {
  readonly service: string;
  readonly incarnation: string;
  readonly untilMs: Milliseconds;
}

interface Waiter {
  readonly request: IsolationRequest;
  readonly untilMs: Milliseconds;
  readonly settle: (decision: IsolationDecision) => void;
}

/** The upstreams of a service at one moment. */
interface Copies {
  readonly known: number;
  readonly up: readonly FleetUpstream[];
  /** Incarnations at which suspects run. */
  readonly running: Set<string>;
}

/** Runs of suspects, and those that wait for one. */
export class IsolatedRuns {
  readonly #options: IsolatedRunsOptions;
  /** Runs by the digest of their call. */
  readonly #runs = new Map<string, Run>();
  #waiters: Waiter[] = [];

  constructor(options: IsolatedRunsOptions) {
    this.#options = options;
  }

  /** Adds a request; it is settled now or by a later `advance`. */
  request(
    request: IsolationRequest,
    waiting: {
      readonly nowMs: Milliseconds;
      readonly settle: (decision: IsolationDecision) => void;
    },
  ): void {
    const { nowMs, settle } = waiting;
    const untilMs = nowMs + request.patienceMs;
    this.#waiters.push({ request, untilMs, settle });
    this.advance(nowMs);
  }

  /** Chooses an upstream for a trial run of a blocked call, and counts the run; returns undefined if there is none now. */
  beginTrial(
    request: IsolationRequest,
    nowMs: Milliseconds,
  ): string | undefined {
    this.advance(nowMs);
    const { digest, service } = request;
    const upstream = this.#choose(request, this.#copiesOf(service, nowMs));
    if (upstream === undefined) return undefined;
    const incarnation = incarnationOf(upstream);
    const untilMs = nowMs + RUN_MS;
    this.#runs.set(digest, { service, incarnation, untilMs });
    return incarnation;
  }

  /** Records that a run has ended, and starts what waited for it. */
  end(digest: string, incarnation: string, nowMs: Milliseconds): void {
    if (this.#runs.get(digest)?.incarnation === incarnation) {
      this.#runs.delete(digest);
    }
    this.advance(nowMs);
  }

  /** Settles what can be settled, those with the fewest crashes first. */
  advance(nowMs: Milliseconds): void {
    const { crashes } = this.#options;
    for (const [digest, { untilMs }] of this.#runs) {
      if (untilMs <= nowMs) this.#runs.delete(digest);
    }
    const inOrder = this.#waiters.toSorted((a, b) =>
      crashes.crashesOf(a.request.digest) - crashes.crashesOf(b.request.digest)
    );
    const settled = new Set<Waiter>();
    const services = new Map<string, Copies>();
    for (const waiter of inOrder) {
      const { service } = waiter.request;
      const copies = services.get(service) ?? this.#copiesOf(service, nowMs);
      services.set(service, copies);
      const decision = this.#decide(waiter, copies, nowMs);
      if (decision === undefined) continue;
      settled.add(waiter);
      waiter.settle(decision);
    }
    this.#waiters = this.#waiters.filter((each) => !settled.has(each));
  }

  /** Returns when `advance` has something to do though nothing else happens; Infinity if never. */
  nextDelayMs(nowMs: Milliseconds): Milliseconds {
    if (this.#waiters.length === 0) return Infinity;
    let nextMs = Infinity;
    for (const { untilMs } of this.#waiters) nextMs = Math.min(nextMs, untilMs);
    for (const { untilMs } of this.#runs.values()) {
      nextMs = Math.min(nextMs, untilMs);
    }
    return Math.max(0, nextMs - nowMs);
  }

  /** Rejects what waits, and forgets all runs. */
  clear(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    this.#runs.clear();
    for (const { settle } of waiters) {
      settle({ kind: "rejected", reason: "the control VM no longer leads" });
    }
  }

  #decide(
    waiter: Waiter,
    copies: Copies,
    nowMs: Milliseconds,
  ): IsolationDecision | undefined {
    const { request, untilMs } = waiter;
    const { digest, service } = request;
    if (this.#options.crashes.isBlocked(digest)) return { kind: "blocked" };
    const upstream = this.#choose(request, copies);
    if (upstream !== undefined) {
      const incarnation = incarnationOf(upstream);
      const run = { service, incarnation, untilMs: nowMs + RUN_MS };
      this.#runs.set(digest, run);
      copies.running.add(incarnation);
      return { kind: "granted", incarnation };
    }
    if (untilMs > nowMs) return undefined;
    const reason = "too few upstreams are up to run a suspect";
    return { kind: "rejected", reason };
  }

  #choose(
    request: IsolationRequest,
    copies: Copies,
  ): FleetUpstream | undefined {
    const { digest, tried, zone } = request;
    const { up, running } = copies;
    if (running.size >= maximumRuns(copies)) return undefined;
    if (this.#runs.has(digest)) return undefined;
    const spare = up.length - running.size - 1;
    const isLikely = this.#isLikelyToCrash(digest);
    if (spare < requiredSpare(copies, isLikely)) return undefined;
    const free = up.filter((each) =>
      !tried.includes(each.id) && !running.has(incarnationOf(each))
    );
    return free.find((each) => each.zone === zone) ?? free[0];
  }

  #isLikelyToCrash(digest: string): boolean {
    const { crashes } = this.#options;
    return crashes.crashesOf(digest) >= LIKELY_CRASHES ||
      crashes.ranAlone(digest);
  }

  #copiesOf(service: string, nowMs: Milliseconds): Copies {
    const { crashes, upstreamsOf } = this.#options;
    const known = upstreamsOf(service);
    const up = known.filter((each) =>
      !crashes.hasCrashed(incarnationOf(each), nowMs)
    );
    return { known: known.length, up, running: this.#runningIn(service) };
  }

  #runningIn(service: string): Set<string> {
    const incarnations = new Set<string>();
    for (const run of this.#runs.values()) {
      if (run.service === service) incarnations.add(run.incarnation);
    }
    return incarnations;
  }
}

/** Returns how many suspects may run at a time: on no more than half of the upstreams. */
function maximumRuns({ up }: Copies): number {
  return Math.max(1, Math.floor(up.length / 2));
}

/**
 * Returns how many upstreams must be left if all that run suspects crash: half of the service for a call that is likely
 * to crash the next one, else one; none if the service has only one.
 */
function requiredSpare({ known }: Copies, isLikely: boolean): number {
  return Math.min(known - 1, isLikely ? Math.ceil(known / 2) : 1);
}
