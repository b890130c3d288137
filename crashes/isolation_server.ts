/**
 * The part of a control VM that decides where suspects run while it leads the control log.
 *
 * @module
 */
import {
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  Ok,
  type Result,
  type Timer,
} from "#core";
import {
  ControlPart,
  type CrashRecord,
  type Leadership,
  notLeaderFailure,
} from "#membership";
import { CRASH_EVENTS } from "./events.ts";
import {
  IsolatedRuns,
  type IsolatedRunsOptions,
  TRIAL_INTERVAL_MS,
} from "./isolated_runs.ts";
import {
  ISOLATION_KIND,
  type IsolationDecision,
  type IsolationRequest,
  parseIsolationEnd,
  parseIsolationRequest,
} from "./isolation_messages.ts";

/** Options of `IsolationServer`. */
export interface IsolationServerOptions extends IsolatedRunsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly leadership: () => Leadership;
  /** Adds what the sender of a request knows, and distributes it to all VMs. */
  readonly recordCrashes: (records: readonly CrashRecord[]) => void;
  /** Counts a trial run of a blocked call in the control log; returns whether the call may have it. */
  readonly countTrial: (digest: string) => Promise<boolean>;
}

/** Decides about requests to run suspects. */
export class IsolationServer extends ControlPart {
  override readonly kind = ISOLATION_KIND;
  readonly #options: IsolationServerOptions;
  readonly #runs: IsolatedRuns;
  #term: number | null = null;
  #wakeUp: Timer | undefined;

  constructor(options: IsolationServerOptions) {
    super();
    this.#options = options;
    this.#runs = new IsolatedRuns(options);
  }

  /** Rejects the requests that wait. */
  stop(): void {
    this.#wakeUp?.cancel();
    this.#runs.clear();
  }

  override handle(body: unknown): Promise<Result<unknown, Failure>> {
    const request = parseIsolationRequest(body);
    if (request === undefined) {
      const message = "not a well-formed request to run a suspect";
      return Promise.resolve(Err(fail("malformed_request", message)));
    }
    const { leads, leader, term } = this.#options.leadership();
    if (!leads) return Promise.resolve(Err(notLeaderFailure(leader)));
    if (term !== this.#term) this.#runs.clear();
    this.#term = term;
    const { record } = request;
    if (record !== null) this.#options.recordCrashes([record]);
    return this.#options.crashes.isBlocked(request.digest)
      ? this.#decideTrial(request)
      : this.#decide(request);
  }

  /** Lets a blocked call run once more, long after its last crash and no more often than is counted for good. */
  async #decideTrial(
    request: IsolationRequest,
  ): Promise<Result<unknown, Failure>> {
    const { clock, crashes, countTrial } = this.#options;
    const { digest } = request;
    const nowMs = clock.nowMs();
    let decision: IsolationDecision = { kind: "blocked" };
    if (nowMs - crashes.lastCrashMs(digest) >= TRIAL_INTERVAL_MS) {
      const incarnation = this.#runs.beginTrial(request, nowMs);
      if (incarnation !== undefined && await countTrial(digest)) {
        decision = { kind: "granted", incarnation };
      } else if (incarnation !== undefined) {
        this.#runs.end(digest, incarnation, clock.nowMs());
      }
    }
    this.#log(request, decision);
    return Ok(decision);
  }

  override handleNotice(body: unknown): void {
    const end = parseIsolationEnd(body);
    if (end === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    this.#runs.end(end.digest, end.incarnation, nowMs);
    this.#scheduleAdvance();
  }

  /** Lets suspects run that wait for more upstreams, or rejects those that have become blocked. */
  handleChange(): void {
    this.#advance();
  }

  #decide(request: IsolationRequest): Promise<Result<unknown, Failure>> {
    const { clock, leadership } = this.#options;
    const nowMs = clock.nowMs();
    return new Promise((resolve) => {
      const settle = (decision: IsolationDecision): void => {
        const { leads, leader } = leadership();
        if (!leads) return resolve(Err(notLeaderFailure(leader)));
        this.#log(request, decision);
        resolve(Ok(decision));
      };
      this.#runs.request(request, { nowMs, settle });
      this.#scheduleAdvance();
    });
  }

  #scheduleAdvance(): void {
    const { clock } = this.#options;
    this.#wakeUp?.cancel();
    const delayMs = this.#runs.nextDelayMs(clock.nowMs());
    if (delayMs === Infinity) return;
    // Timers fire early by a fraction of a millisecond.
    this.#wakeUp = clock.after(Math.ceil(delayMs) + 1, () => this.#advance());
  }

  #advance(): void {
    const { clock, leadership } = this.#options;
    if (leadership().leads) this.#runs.advance(clock.nowMs());
    else this.#runs.clear();
    this.#scheduleAdvance();
  }

  #log(request: IsolationRequest, decision: IsolationDecision): void {
    const { digest, service } = request;
    const { crashes, events } = this.#options;
    events.emit(CRASH_EVENTS.isolationDecided, {
      digest,
      service,
      crashes: crashes.crashesOf(digest),
      ...decision,
    });
  }
}
