/**
 * Watches the calls of callers: finds out which upstreams crashed under which call, and sends suspects where the leader
 * of the control log allows it.
 *
 * @module
 */
import {
  type Address,
  type Clock,
  type EventLog,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
} from "#core";
import type { CrashEvidence, KnownCrashes } from "#membership";
import type { CallContent } from "./call_digest.ts";
import {
  type AnsweredAttempt,
  type BrokenAttempt,
  type CallStanding,
  CallWatch,
  CrashGuard,
  type IsolationDemand,
  type IsolationOutcome,
} from "./crash_guard.ts";
import { CRASH_EVENTS } from "./events.ts";
import { LIKELY_CRASHES, TRIAL_INTERVAL_MS } from "./isolated_runs.ts";
import { ISOLATION_KIND, MAXIMUM_TRIED } from "./isolation_messages.ts";
import type { IsolationPort } from "./isolation_port.ts";
import { UndecidedAttempts } from "./undecided_attempts.ts";

/** Blocked calls of which this VM remembers when it asked for a trial run. */
const MAXIMUM_ASKED = 1_024;

/** What an attempt to connect to an address shows. */
export type ConnectionState = "open" | "refused" | "silent";

/** Options of `CallerGuard`. */
export interface CallerGuardOptions {
  readonly zone: string;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly crashes: KnownCrashes;
  readonly port: IsolationPort;
  /** Returns the known upstreams, including draining ones. */
  readonly upstreams: () => readonly FleetUpstream[];
  /** Tries soon whether an address accepts connections. */
  readonly probe: (address: Address) => Promise<ConnectionState>;
}

/** Watches the calls of one entry VM. */
export class CallerGuard extends CrashGuard {
  readonly #options: CallerGuardOptions;
  readonly #undecided = new UndecidedAttempts();
  /** When this VM last asked for a trial run of a blocked call, by digest; the oldest is first. */
  readonly #trialAskedMs = new Map<string, Milliseconds>();
  /** Incarnations at which this VM runs suspects that no control VM has decided about. */
  readonly #ownRuns = new Set<string>();

  constructor(options: CallerGuardOptions) {
    super();
    this.#options = options;
  }

  override watch(content: CallContent): CallWatch {
    return new WatchedCall(content, this);
  }

  /** Decides about attempts whose upstreams are no longer among the known ones. */
  handleFleetChange(): void {
    const { clock, upstreams } = this.#options;
    const nowMs = clock.nowMs();
    for (const attempt of this.#undecided.removeCrashed(upstreams(), nowMs)) {
      const { call, upstream, endedMs } = attempt;
      this.#recordCrash(call, {
        upstream,
        endedMs,
        evidence: "incarnation_gone",
      });
    }
  }

  /** Returns the standing of a call; needs its digest only if there is a suspect of its length. */
  standingOf(call: CallWatch): CallStanding {
    const { crashes, clock } = this.#options;
    const { bodyBytes } = call;
    if (crashes.hasSuspectOfLength(bodyBytes)) {
      if (crashes.isBlocked(call.digest)) return "blocked";
      if (crashes.crashesOf(call.digest) > 0) return "suspect";
    }
    if (!this.#undecided.hasLength(bodyBytes)) return "clear";
    const isSuspect = this.#undecided.isSuspect(call.digest, clock.nowMs());
    return isSuspect ? "suspect" : "clear";
  }

  /** Whether a blocked call may ask for a trial run now; one call at a time does. */
  claimTrial(digest: string): boolean {
    const { crashes, clock } = this.#options;
    const nowMs = clock.nowMs();
    const sinceMs = Math.max(
      crashes.lastCrashMs(digest),
      this.#trialAskedMs.get(digest) ?? -Infinity,
    );
    if (nowMs - sinceMs < TRIAL_INTERVAL_MS) return false;
    this.#trialAskedMs.delete(digest);
    this.#trialAskedMs.set(digest, nowMs);
    const [oldest] = this.#trialAskedMs.keys();
    if (this.#trialAskedMs.size > MAXIMUM_ASKED && oldest !== undefined) {
      this.#trialAskedMs.delete(oldest);
    }
    return true;
  }

  /** Whether an upstream of a service that crashed under a call has not started again yet. */
  hasCrashedUpstream(service: string): boolean {
    const { crashes, upstreams } = this.#options;
    return upstreams().some((each) =>
      each.service === service && crashes.hasCrashed(each)
    );
  }

  /** Finds out whether the upstream of an attempt has crashed. */
  async recordBroken(
    call: CallWatch,
    attempt: BrokenAttempt,
  ): Promise<void> {
    const { clock, probe } = this.#options;
    const { upstream, cancelled } = attempt;
    const { digest, bodyBytes } = call;
    const endedMs = clock.nowMs();
    const key = { digest, bodyBytes };
    const end = cancelled ? "cancelled" : await probe(upstream.address);
    if (end === "refused") {
      const evidence = "connection_refused";
      this.#recordCrash(key, { upstream, endedMs, evidence });
    } else this.#undecided.add({ call: key, upstream, endedMs, end });
  }

  /** Records that an upstream is alive, and that it did not crash under this call. */
  recordAnswered(call: CallWatch, attempt: AnsweredAttempt): void {
    const { upstream, sentMs, succeeded } = attempt;
    this.#undecided.recordResponse(upstream, sentMs);
    if (!succeeded) return;
    const { crashes } = this.#options;
    const { bodyBytes } = call;
    if (this.#undecided.hasLength(bodyBytes)) {
      this.#undecided.recordAnswer(call.digest);
    }
    if (!crashes.hasSuspectOfLength(bodyBytes)) return;
    crashes.recordAnswer({ digest: call.digest, bodyBytes });
  }

  /** Returns an upstream for a suspect. */
  async isolate(
    call: CallWatch,
    demand: IsolationDemand,
  ): Promise<IsolationOutcome> {
    const { port, crashes, zone, events } = this.#options;
    const { digest } = call;
    const reply = await port.request({
      kind: ISOLATION_KIND,
      digest,
      service: demand.service,
      zone,
      tried: [...demand.tried].slice(0, MAXIMUM_TRIED),
      patienceMs: demand.patienceMs,
      record: crashes.recordOf(digest) ?? null,
    });
    if (reply.err) {
      const reason = reply.val.message;
      events.emit(CRASH_EVENTS.isolationUnavailable, { digest, reason });
      return this.#isolateAlone(call, demand);
    }
    const decision = reply.val;
    if (decision.kind === "blocked") return rejected("the call is blocked");
    if (decision.kind === "rejected") return decision;
    return this.#useGrant(digest, decision.incarnation);
  }

  #useGrant(digest: string, incarnation: string): IsolationOutcome {
    const { port, upstreams } = this.#options;
    const release = (): void => port.end(digest, incarnation);
    const upstream = upstreams().find((each) =>
      incarnationOf(each) === incarnation && each.phase === "ready"
    );
    if (upstream !== undefined) return { kind: "granted", upstream, release };
    release();
    return rejected("this VM does not know the upstream for it");
  }

  /** Without a control VM, only the suspects of this VM can be run apart from each other. */
  #isolateAlone(call: CallWatch, demand: IsolationDemand): IsolationOutcome {
    const { crashes, upstreams } = this.#options;
    if (crashes.crashesOf(call.digest) >= LIKELY_CRASHES) {
      return rejected(
        "no control VM decided about a call with several crashes",
      );
    }
    const upstream = upstreams().find((each) =>
      each.service === demand.service && each.phase === "ready" &&
      !demand.tried.has(each.id) && !crashes.hasCrashed(each) &&
      !this.#ownRuns.has(incarnationOf(each))
    );
    if (upstream === undefined) return rejected("no upstream is free for it");
    const incarnation = incarnationOf(upstream);
    this.#ownRuns.add(incarnation);
    const release = (): void => {
      this.#ownRuns.delete(incarnation);
    };
    return { kind: "granted", upstream, release };
  }

  #recordCrash(
    call: { readonly digest: string; readonly bodyBytes: number },
    crash: {
      readonly upstream: FleetUpstream;
      readonly endedMs: Milliseconds;
      readonly evidence: CrashEvidence;
    },
  ): void {
    const { crashes, clock } = this.#options;
    const { upstream, endedMs, evidence } = crash;
    crashes.recordCrash(call, {
      incarnation: incarnationOf(upstream),
      evidence,
      evidenceAgeMs: clock.nowMs() - endedMs,
    });
  }
}

/** A call of a caller. */
class WatchedCall extends CallWatch {
  readonly #guard: CallerGuard;
  #isAnswered = false;
  /** Whether the call asks for a trial run, as it was blocked when it came; undefined before that is known. */
  #asksForTrial: boolean | undefined;

  constructor(content: CallContent, guard: CallerGuard) {
    super(content);
    this.#guard = guard;
  }

  override get standing(): CallStanding {
    const standing = this.#guard.standingOf(this);
    if (standing !== "blocked") {
      this.#asksForTrial ??= false;
      return standing;
    }
    this.#asksForTrial ??= this.#guard.claimTrial(this.digest);
    return this.#asksForTrial ? "suspect" : "blocked";
  }

  override mayHedge(service: string): boolean {
    return this.standing === "clear" &&
      !this.#guard.hasCrashedUpstream(service);
  }

  override isolate(demand: IsolationDemand): Promise<IsolationOutcome> {
    // Whatever becomes of a trial run, it is the only one of this call.
    this.#asksForTrial = false;
    return this.#guard.isolate(this, demand);
  }

  override async recordBroken(attempt: BrokenAttempt): Promise<void> {
    // What an upstream has responded to does not crash the others.
    if (this.#isAnswered) return;
    await this.#guard.recordBroken(this, attempt);
  }

  override recordAnswered(attempt: AnsweredAttempt): void {
    this.#isAnswered ||= attempt.succeeded;
    this.#guard.recordAnswered(this, attempt);
  }
}

function rejected(reason: string): IsolationOutcome {
  return { kind: "rejected", reason };
}
