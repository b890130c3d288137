/**
 * Sends requests to the VM that leads a replicated log, wherever that is: follows what the others say of
 * the leader, and keeps to it while it answers.
 *
 * @module
 */
import {
  type Clock,
  Err,
  type ErrorKind,
  fail,
  type Failure,
  type Milliseconds,
  type Result,
} from "#core";
import type { Channel, PeerNetwork } from "#wire";

const PAUSE_MS: Milliseconds = 60;
const RETRY_AFTER_MS: Milliseconds = 500;

/** Failures after which another VM is asked. */
const ELSEWHERE: ReadonlySet<ErrorKind> = new Set([
  "not_leader",
  "no_quorum",
  "not_ready",
  "outcome_unknown",
]);

/** What the requests are sent with. */
export interface LeaderClientOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly channel: Channel;
  /** VMs that keep the log; the likely leader first. */
  readonly candidates: () => readonly string[];
}

/** How long one request may take. */
export interface RequestTimeouts {
  /** For one VM. */
  readonly attemptMs: Milliseconds;
  /** For all VMs together. */
  readonly totalMs: Milliseconds;
}

/**
 * Asks the leader. Requests must be idempotent: one whose outcome is unknown is sent again.
 *
 * @example
 * ```ts
 * const answer = await requests.send({ kind: "end", id }, { attemptMs: 1_000, totalMs: 3_000 });
 * ```
 */
export class LeaderClient {
  readonly #options: LeaderClientOptions;
  #leader: string | undefined;
  #turn = 0;

  constructor(options: LeaderClientOptions) {
    this.#options = options;
  }

  /** The leader's answer; `outcome_unknown` if a VM may have acted on it, else `no_quorum`. */
  async send(
    body: unknown,
    patience: RequestTimeouts,
  ): Promise<Result<unknown, Failure>> {
    const { clock, network, channel } = this.#options;
    const untilMs = clock.nowMs() + patience.totalMs;
    let mayHaveActed = false;
    while (true) {
      const to = this.#leader ?? this.#next();
      const leftMs = untilMs - clock.nowMs();
      if (leftMs <= 0) break;
      if (to !== undefined) {
        const timeoutMs = Math.min(patience.attemptMs, leftMs);
        const result = await network.request({ to, channel, timeoutMs }, body);
        if (result.ok || !ELSEWHERE.has(result.val.kind)) {
          if (result.ok) this.#leader = to;
          return result;
        }
        mayHaveActed ||= result.val.ran !== "no";
        if (this.#follow(to, result.val)) continue;
      }
      await clock.sleep(PAUSE_MS);
    }
    return Err(gaveUp(mayHaveActed));
  }

  /** Whether the failure names another VM to ask at once. */
  #follow(asked: string, failure: Failure): boolean {
    const named = failure.kind === "not_leader" ? failure.detail : undefined;
    if (named !== undefined && named !== asked && named !== this.#leader) {
      this.#leader = named;
      return true;
    }
    this.#leader = undefined;
    this.#turn += 1;
    return false;
  }

  #next(): string | undefined {
    const candidates = this.#options.candidates();
    return candidates[this.#turn % Math.max(1, candidates.length)];
  }
}

function gaveUp(mayHaveActed: boolean): Failure {
  const kind = mayHaveActed ? "outcome_unknown" : "no_quorum";
  return fail(kind, "no VM could answer for the replicated log", {
    retryAfterMs: RETRY_AFTER_MS,
  });
}
