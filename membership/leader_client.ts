/**
 * Sends requests to the leader of a replicated log: follows redirects from the other VMs, and uses the
 * leader for later requests while it replies.
 *
 * @module
 */
import {
  type Clock,
  Err,
  type ErrorKind,
  fail,
  type Failure,
  type FleetNode,
  type FleetRole,
  type Milliseconds,
  type Result,
} from "#core";
import type { Channel, PeerNetwork } from "#wire";
import { leaderOf } from "./placement_plan.ts";

const RETRY_INTERVAL_MS: Milliseconds = 60;
const RETRY_AFTER_MS: Milliseconds = 500;

/** Failures after which the request is sent to another VM. */
const RETRYABLE_FAILURES: ReadonlySet<ErrorKind> = new Set([
  "not_leader",
  "no_quorum",
  "not_ready",
  "outcome_unknown",
]);

/** Options of `LeaderClient`. */
export interface LeaderClientOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly channel: Channel;
  /** VMs that run the log; the likely leader first. */
  readonly candidates: () => readonly string[];
}

/** Time limits of one request. */
export interface RequestTimeouts {
  /** Limit of the attempt on one VM. */
  readonly attemptMs: Milliseconds;
  /** Limit of all attempts together. */
  readonly totalMs: Milliseconds;
}

/**
 * Client of the leader of a replicated log. Requests must be idempotent: a request whose outcome is
 * unknown is sent again.
 *
 * @example
 * ```ts
 * const result = await client.send({ kind: "end", id }, { attemptMs: 1_000, totalMs: 3_000 });
 * ```
 */
export class LeaderClient {
  readonly #options: LeaderClientOptions;
  #leader: string | undefined;
  #candidateIndex = 0;
  /** Term of the leader that was preferred last by its report. */
  #preferredTerm = -1;
  /** Attempts in flight: the VM that was asked, and how to stop waiting for it. */
  readonly #attempts = new Map<() => void, string>();

  constructor(options: LeaderClientOptions) {
    this.#options = options;
  }

  /** Uses a VM that is known to lead now, and stops waiting for replies of any other. */
  preferLeader(vm: string): void {
    if (vm === this.#leader) return;
    this.#leader = vm;
    this.#candidateIndex = 0;
    for (const [abandon, asked] of this.#attempts) {
      if (asked !== vm) abandon();
    }
  }

  /** Uses the VM that reports to lead a group, unless a later leader is known. */
  preferLeaderOf(nodes: readonly FleetNode[], role: FleetRole): void {
    const leader = leaderOf(nodes, role);
    if (leader === undefined || leader.term <= this.#preferredTerm) return;
    this.#preferredTerm = leader.term;
    this.preferLeader(leader.vm);
  }

  /**
   * Sends a request to the leader and returns its result. Without one in time, fails with `outcome_unknown`
   * if a VM may have executed the request, else with `no_quorum`.
   */
  async send(
    body: unknown,
    timeouts: RequestTimeouts,
  ): Promise<Result<unknown, Failure>> {
    const { clock } = this.#options;
    const deadlineMs = clock.nowMs() + timeouts.totalMs;
    let mayHaveRun = false;
    while (true) {
      const to = this.#leader ?? this.#nextCandidate();
      const remainingMs = deadlineMs - clock.nowMs();
      if (remainingMs <= 0) break;
      if (to !== undefined) {
        const timeoutMs = Math.min(timeouts.attemptMs, remainingMs);
        const result = await this.#attempt(to, timeoutMs, body);
        if (result.ok || !RETRYABLE_FAILURES.has(result.val.kind)) {
          if (result.ok) this.#remember(to);
          return result;
        }
        mayHaveRun ||= result.val.ran !== "no";
        if (this.#redirect(to, result.val)) continue;
      }
      await clock.sleep(RETRY_INTERVAL_MS);
    }
    return Err(noLeaderFailure(mayHaveRun));
  }

  /** Asks one VM; the outcome is unknown if another one turns out to lead meanwhile. */
  #attempt(
    to: string,
    timeoutMs: Milliseconds,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const { network, channel } = this.#options;
    return new Promise((resolve) => {
      const settle = (result: Result<unknown, Failure>): void => {
        this.#attempts.delete(abandon);
        resolve(result);
      };
      const abandon = (): void => {
        settle(Err(fail("outcome_unknown", `${to} no longer leads`)));
      };
      this.#attempts.set(abandon, to);
      network.request({ to, channel, timeoutMs }, body).then(settle);
    });
  }

  #remember(leader: string): void {
    this.#leader = leader;
    this.#candidateIndex = 0;
  }

  /** Updates the known leader after a failure; returns whether the failure named another VM to try at once. */
  #redirect(askedVm: string, failure: Failure): boolean {
    const namedLeader = failure.kind === "not_leader"
      ? failure.detail
      : undefined;
    if (
      namedLeader !== undefined && namedLeader !== askedVm &&
      namedLeader !== this.#leader
    ) {
      this.#leader = namedLeader;
      return true;
    }
    // A leader that became known meanwhile is asked next.
    if (this.#leader !== undefined && this.#leader !== askedVm) return true;
    this.#leader = undefined;
    this.#candidateIndex += 1;
    return false;
  }

  #nextCandidate(): string | undefined {
    const candidates = this.#options.candidates();
    return candidates[this.#candidateIndex % Math.max(1, candidates.length)];
  }
}

function noLeaderFailure(mayHaveRun: boolean): Failure {
  const kind = mayHaveRun ? "outcome_unknown" : "no_quorum";
  return fail(
    kind,
    "the replicated log did not complete the request",
    {
      retryAfterMs: RETRY_AFTER_MS,
    },
  );
}
