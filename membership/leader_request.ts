/**
 * One request to the leader of a replicated log: the VMs that are asked, also several at a time, until one has
 * completed it.
 *
 * @module
 */
import {
  type Clock,
  Err,
  ERROR_TABLE,
  type ErrorKind,
  fail,
  type Failure,
  type Milliseconds,
  type Result,
  type Timer,
} from "#core";

const RETRY_INTERVAL_MS: Milliseconds = 60;
const RETRY_AFTER_MS: Milliseconds = 500;
/** VMs that are asked at the same time; one of them may be silent, and another one be the silent VM that it names. */
const MAXIMUM_ATTEMPTS_AT_ONCE = 3;

/** Failures after which the request is sent to another VM. */
const RETRYABLE_FAILURES: ReadonlySet<ErrorKind> = new Set([
  "not_leader",
  "no_quorum",
  "not_ready",
  "outcome_unknown",
]);

/** Time limits of one request. */
export interface RequestTimeouts {
  /** Limit of the attempt on one VM. */
  readonly attemptMs: Milliseconds;
  /** Limit of all attempts together. */
  readonly totalMs: Milliseconds;
  /**
   * Time without a reply after which another VM is asked as well; at least the time that the leader may take. The
   * attempts run one after the other if absent.
   */
  readonly silenceMs?: Milliseconds;
}

/** An attempt of a request, for the log. */
export interface AttemptRecord {
  readonly vm: string;
  readonly startedMs: Milliseconds;
  readonly tookMs: Milliseconds;
  /** `ok`, or why the attempt failed. */
  readonly outcome: string;
}

/** How a request ended. */
export interface RequestOutcome {
  readonly result: Result<unknown, Failure>;
  /** The VM that completed it, if any. */
  readonly leader: string | undefined;
  readonly attempts: readonly AttemptRecord[];
}

/** Options of `LeaderRequest`. */
export interface LeaderRequestOptions {
  readonly clock: Clock;
  readonly timeouts: RequestTimeouts;
  /** Asks one VM. */
  readonly ask: (
    vm: string,
    timeoutMs: Milliseconds,
  ) => Promise<Result<unknown, Failure>>;
  /**
   * Asks one VM whether it leads, before it is sent the request; absent for requests that are no larger than that.
   */
  readonly probe?: (
    vm: string,
    timeoutMs: Milliseconds,
  ) => Promise<Result<unknown, Failure>>;
  /** Returns the VMs that may lead; the likely leader first. */
  readonly candidates: () => readonly string[];
  /** Whether the VM is known to lead, so that it need not be probed. */
  readonly isLeader: (vm: string) => boolean;
  /** Called when a VM does not reply for `silenceMs`, or not at all. */
  readonly onSilent: (vm: string) => void;
  /** Called when a VM rejects the request; `leader` is the one that it names, if it does. */
  readonly onRejected: (vm: string, leader: string | undefined) => void;
}

/** A request in progress. It must be idempotent: a VM that does not reply may have executed it. */
export class LeaderRequest {
  readonly #options: LeaderRequestOptions;
  readonly #startedMs: Milliseconds;
  /** VMs that have not replied yet, and when they were asked. */
  readonly #asked = new Map<string, Milliseconds>();
  /** Those of them that have not been sent the request itself. */
  readonly #probed = new Set<string>();
  readonly #failures = new Map<string, number>();
  readonly #attempts: AttemptRecord[] = [];
  #mayHaveRun = false;
  #timer: Timer | undefined;
  #settle: ((outcome: RequestOutcome) => void) | undefined;

  constructor(options: LeaderRequestOptions) {
    this.#options = options;
    this.#startedMs = options.clock.nowMs();
  }

  /** Asks VMs until one has completed the request or the time is up. */
  run(): Promise<RequestOutcome> {
    const { clock, timeouts } = this.#options;
    return new Promise((resolve) => {
      const limit = clock.after(timeouts.totalMs, () => this.#giveUp());
      this.#settle = (outcome) => {
        this.#settle = undefined;
        limit.cancel();
        this.#timer?.cancel();
        resolve(outcome);
      };
      this.#askNext();
    });
  }

  /** Asks a VM that has become known as the leader, and stops waiting for all others. */
  prefer(leader: string): void {
    if (this.#settle === undefined) return;
    for (const vm of [...this.#asked.keys()]) {
      if (vm !== leader) this.#abandon(vm, "no longer leads");
    }
    if (!this.#asked.has(leader)) this.#ask(leader);
  }

  #askNext(): void {
    this.#timer?.cancel();
    if (this.#settle === undefined) return;
    const vm = this.#nextCandidate();
    if (vm !== undefined) this.#ask(vm);
    else if (this.#asked.size === 0) this.#continueAfter(RETRY_INTERVAL_MS);
  }

  /** Returns the candidate that failed least often, of those that need not reply any more. */
  #nextCandidate(): string | undefined {
    if (this.#asked.size >= MAXIMUM_ATTEMPTS_AT_ONCE) return undefined;
    let best: string | undefined;
    let fewest = Infinity;
    for (const vm of this.#options.candidates()) {
      const failures = this.#failures.get(vm) ?? 0;
      if (this.#asked.has(vm) || failures >= fewest) continue;
      best = vm;
      fewest = failures;
    }
    return best;
  }

  #ask(vm: string): void {
    const askedMs = this.#options.clock.nowMs();
    if (this.#timeoutMs() <= 0) return;
    this.#asked.set(vm, askedMs);
    this.#askAnotherAfterSilence();
    const isAwaited = (): boolean =>
      this.#settle !== undefined && this.#asked.get(vm) === askedMs;
    this.#send(vm, isAwaited).then((result) => {
      if (result !== undefined && isAwaited()) this.#handle(vm, result);
    });
  }

  /** Sends the request, to a VM that is not known to lead only once it says that it does. */
  async #send(
    vm: string,
    isAwaited: () => boolean,
  ): Promise<Result<unknown, Failure> | undefined> {
    const { probe, ask, isLeader } = this.#options;
    if (probe === undefined || isLeader(vm)) return ask(vm, this.#timeoutMs());
    this.#probed.add(vm);
    const probed = await probe(vm, this.#timeoutMs());
    if (!isAwaited()) return undefined;
    // A VM of an earlier build does not know the question.
    if (probed.err && probed.val.kind !== "malformed_request") {
      return Err({ ...probed.val, ran: "no" });
    }
    this.#probed.delete(vm);
    return ask(vm, this.#timeoutMs());
  }

  #timeoutMs(): Milliseconds {
    const { clock, timeouts } = this.#options;
    const remainingMs = this.#startedMs + timeouts.totalMs - clock.nowMs();
    return Math.min(timeouts.attemptMs, remainingMs);
  }

  #handle(vm: string, result: Result<unknown, Failure>): void {
    if (result.ok) {
      this.#record(vm, "ok");
      this.#finish(result, vm);
      return;
    }
    const failure = result.val;
    this.#record(vm, failure.kind);
    if (!RETRYABLE_FAILURES.has(failure.kind)) {
      this.#finish(Err(this.#withoutFalsePromise(failure)), undefined);
      return;
    }
    this.#mayHaveRun ||= failure.ran !== "no";
    this.#failures.set(vm, (this.#failures.get(vm) ?? 0) + 1);
    const leader = namedLeader(vm, failure);
    const { onSilent, onRejected } = this.#options;
    if (failure.kind === "outcome_unknown") onSilent(vm);
    else onRejected(vm, leader);
    // A VM that hears the leader confirms the one that is asked already.
    if (leader !== undefined && this.#asked.has(leader)) {
      this.#askAnotherAfterSilence();
    } else if (leader !== undefined && !this.#failures.has(leader)) {
      this.#ask(leader);
    } else {
      this.#continueAfter(RETRY_INTERVAL_MS);
    }
  }

  /** A rejection promises that nothing runs, which is not certain while another VM may execute the request. */
  #withoutFalsePromise(failure: Failure): Failure {
    const { status } = ERROR_TABLE[failure.kind];
    const isPromise = status === 429 || status === 503;
    const isCertain = !this.#mayHaveRun &&
      this.#asked.size === this.#probed.size;
    if (!isPromise || isCertain) return failure;
    return fail("outcome_unknown", failure.message);
  }

  #askAnotherAfterSilence(): void {
    const { silenceMs } = this.#options.timeouts;
    if (silenceMs === undefined) return;
    this.#timer?.cancel();
    this.#timer = this.#options.clock.after(silenceMs, () => {
      const untilMs = this.#options.clock.nowMs() - silenceMs;
      for (const [vm, askedMs] of this.#asked) {
        if (askedMs <= untilMs) this.#options.onSilent(vm);
      }
      this.#askNext();
    });
  }

  #continueAfter(delayMs: Milliseconds): void {
    this.#timer?.cancel();
    this.#timer = this.#options.clock.after(delayMs, () => this.#askNext());
  }

  #abandon(vm: string, reason: string): void {
    this.#mayHaveRun ||= !this.#probed.has(vm);
    this.#record(vm, reason);
  }

  #record(vm: string, outcome: string): void {
    const nowMs = this.#options.clock.nowMs();
    const askedMs = this.#asked.get(vm) ?? nowMs;
    this.#asked.delete(vm);
    this.#probed.delete(vm);
    this.#attempts.push({
      vm,
      startedMs: Math.round(askedMs - this.#startedMs),
      tookMs: Math.round(nowMs - askedMs),
      outcome,
    });
  }

  #giveUp(): void {
    for (const vm of [...this.#asked.keys()]) this.#abandon(vm, "no reply");
    const kind = this.#mayHaveRun ? "outcome_unknown" : "no_quorum";
    const message = "the replicated log did not complete the request";
    const failure = fail(kind, message, { retryAfterMs: RETRY_AFTER_MS });
    this.#finish(Err(failure), undefined);
  }

  #finish(
    result: Result<unknown, Failure>,
    leader: string | undefined,
  ): void {
    this.#settle?.({ result, leader, attempts: this.#attempts });
  }
}

/** Returns the leader that a VM names in a rejection, other than itself. */
function namedLeader(vm: string, failure: Failure): string | undefined {
  if (failure.kind !== "not_leader" || failure.detail === vm) return undefined;
  return failure.detail;
}
