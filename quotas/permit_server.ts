/**
 * The part of a control VM that issues permits while it leads the control log. Only one VM does at any time, since the
 * lease of a leader ends before the next one starts.
 *
 * @module
 */
import {
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
  SECOND_MS,
  type Timer,
} from "#core";
import { ControlPart, type Leadership, notLeaderFailure } from "#membership";
import { QUOTA_EVENTS } from "./events.ts";
import { PermitAllocator } from "./permit_allocator.ts";
import {
  parsePermitRequest,
  PERMIT_VALIDITY_MS,
  type PermitReply,
  type PermitRequest,
} from "./permit_messages.ts";
import type { PermitDecision, ServiceLimits } from "./service_permits.ts";

const REPORT_INTERVAL_MS: Milliseconds = 5 * SECOND_MS;
/** Time after which no permit of an earlier leader is in use, with a margin for the request that used it. */
const TAKEOVER_MS: Milliseconds = 2 * PERMIT_VALIDITY_MS;

/** Options of `PermitServer`. */
export interface PermitServerOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly leadership: () => Leadership;
  /** Returns the limits of the upstreams of a service; the same object while none changes. */
  readonly limitsOf: (service: string) => ServiceLimits;
}

/** Counts since the last log line of a service. */
interface ServiceCounts {
  issued: number;
  expired: number;
}

/** Decides about requests for permits. */
export class PermitServer extends ControlPart {
  override readonly kind = "permits";
  readonly #options: PermitServerOptions;
  readonly #allocator: PermitAllocator;
  readonly #counts = new Map<string, ServiceCounts>();
  #term: number | null = null;
  #ledSinceMs: Milliseconds = 0;
  #wakeUp: Timer | undefined;
  #reports: Timer | undefined;

  constructor(options: PermitServerOptions) {
    super();
    this.#options = options;
    this.#allocator = new PermitAllocator(options);
  }

  /** Starts to log what it issues. */
  start(): void {
    const { clock } = this.#options;
    this.#reports = clock.every(REPORT_INTERVAL_MS, () => this.#report());
  }

  /** Rejects the requests that wait. */
  stop(): void {
    this.#wakeUp?.cancel();
    this.#reports?.cancel();
    this.#allocator.clear();
  }

  override handle(body: unknown): Promise<Result<unknown, Failure>> {
    const request = parsePermitRequest(body);
    if (request === undefined) {
      const message = "not a well-formed request for permits";
      return Promise.resolve(Err(fail("malformed_request", message)));
    }
    const { leads, leader } = this.#options.leadership();
    if (!leads) return Promise.resolve(Err(notLeaderFailure(leader)));
    this.#noteTerm();
    return this.#decide(request);
  }

  /** Starts anew if this VM did not lead in the same term before. */
  #noteTerm(): void {
    const { clock, leadership } = this.#options;
    const { term } = leadership();
    const nowMs = clock.nowMs();
    if (term !== this.#term) {
      this.#term = term;
      this.#ledSinceMs = nowMs;
      this.#allocator.clear();
    }
    if (nowMs - this.#ledSinceMs >= TAKEOVER_MS) this.#allocator.endTakeover();
  }

  #decide(request: PermitRequest): Promise<Result<unknown, Failure>> {
    const { clock, leadership } = this.#options;
    const arrivedMs = clock.nowMs();
    return new Promise((resolve) => {
      const settle = (decision: PermitDecision): void => {
        const { leads, leader } = leadership();
        if (!leads) return resolve(Err(notLeaderFailure(leader)));
        this.#count(request, decision);
        const heldMs = clock.nowMs() - arrivedMs;
        const reply: PermitReply = { ...decision, heldMs };
        resolve(Ok(reply));
      };
      this.#allocator.request(request, { nowMs: arrivedMs, settle });
      this.#scheduleAdvance();
    });
  }

  #scheduleAdvance(): void {
    const { clock } = this.#options;
    this.#wakeUp?.cancel();
    const delayMs = this.#allocator.nextDelayMs(clock.nowMs());
    if (delayMs === Infinity) return;
    // Timers fire early by a fraction of a millisecond.
    this.#wakeUp = clock.after(Math.ceil(delayMs) + 1, () => this.#advance());
  }

  #advance(): void {
    const { clock, leadership } = this.#options;
    if (leadership().leads) this.#allocator.advance(clock.nowMs());
    else this.#allocator.clear();
    this.#scheduleAdvance();
  }

  #count(request: PermitRequest, decision: PermitDecision): void {
    const counts = this.#counts.get(request.service) ??
      { issued: 0, expired: 0 };
    this.#counts.set(request.service, counts);
    for (const { count } of decision.grants) counts.issued += count;
    const isExpired = request.waiting > 0 && decision.grants.length === 0;
    if (isExpired) counts.expired += 1;
  }

  #report(): void {
    const { events, clock } = this.#options;
    this.#allocator.prune(clock.nowMs());
    for (const [service, counts] of this.#counts) {
      const waiting = this.#allocator.queued;
      const overMs = REPORT_INTERVAL_MS;
      const fields = { service, ...counts, waiting, overMs };
      events.emit(QUOTA_EVENTS.permitsIssued, fields);
    }
    this.#counts.clear();
  }
}
