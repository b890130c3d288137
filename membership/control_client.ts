/**
 * Sends commands and queries from any VM to the leader of the control VMs: asks all control VMs which of
 * them is the leader, uses that one while it replies, and fails with a retry delay when there is no quorum.
 *
 * @module
 */
import {
  type Blackboard,
  type BoardSections,
  type Clock,
  ControlPort,
  Err,
  type ErrorKind,
  fail,
  type Failure,
  type MachineCommand,
  type MachineQuery,
  type Milliseconds,
  type Result,
} from "#core";
import type { PeerNetwork } from "#wire";
import { type ControlRequest, parseVmStatus } from "./control_messages.ts";
import type { VmDirectory } from "./vm_directory.ts";

const ATTEMPT_TIMEOUT_MS: Milliseconds = 2_000;
const STATUS_TIMEOUT_MS: Milliseconds = 500;
const SEARCH_TIMEOUT_MS: Milliseconds = 3_000;
const RETRY_INTERVAL_MS: Milliseconds = 100;
const RETRY_AFTER_MS: Milliseconds = 2_000;
const FAST_REJECTION_WINDOW_MS: Milliseconds = 1_000;

/** Failures of the replicated log itself, after which the leader is searched for again. */
const RETRYABLE_FAILURES: ReadonlySet<ErrorKind> = new Set([
  "not_leader",
  "no_quorum",
  "not_ready",
  "outcome_unknown",
]);

/** Options of `ControlClient`. */
export interface ControlClientOptions {
  readonly board: Blackboard<BoardSections>;
  readonly directory: VmDirectory;
  readonly network: PeerNetwork;
  readonly clock: Clock;
}

/** Control port that forwards requests to the leader over the peer network. */
export class ControlClient extends ControlPort {
  readonly #options: ControlClientOptions;
  #leaderSearch: Promise<string | undefined> | undefined;
  #searchFailedAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(options: ControlClientOptions) {
    super();
    this.#options = options;
  }

  override propose(request: MachineCommand): Promise<Result<unknown, Failure>> {
    return this.#send({ kind: "propose", ...request });
  }

  override query(request: MachineQuery): Promise<Result<unknown, Failure>> {
    return this.#send({ kind: "query", ...request });
  }

  async #send(request: ControlRequest): Promise<Result<unknown, Failure>> {
    const { clock } = this.#options;
    const deadlineMs = clock.nowMs() + this.#searchTimeoutMs();
    let mayHaveRun = false;
    while (true) {
      const leader = this.#cachedLeader() ?? await this.#findLeader();
      if (leader !== undefined) {
        const result = await this.#attempt(leader, request);
        if (result.ok || !RETRYABLE_FAILURES.has(result.val.kind)) {
          return result;
        }
        mayHaveRun ||= result.val.ran !== "no";
        this.#clearCachedLeader(leader);
      }
      if (clock.nowMs() >= deadlineMs) break;
      await clock.sleep(RETRY_INTERVAL_MS);
    }
    return Err(noLeaderFailure(mayHaveRun && request.kind === "propose"));
  }

  #attempt(
    to: string,
    request: ControlRequest,
  ): Promise<Result<unknown, Failure>> {
    return this.#options.network.request(
      { to, channel: "control", timeoutMs: ATTEMPT_TIMEOUT_MS },
      request,
    );
  }

  /**
   * Returns the time limit for finding the leader. Shortly after a failed search it allows one search only, so
   * that the request is rejected fast.
   */
  #searchTimeoutMs(): Milliseconds {
    const sinceMs = this.#options.clock.nowMs() - this.#searchFailedAtMs;
    return sinceMs < FAST_REJECTION_WINDOW_MS
      ? RETRY_INTERVAL_MS
      : SEARCH_TIMEOUT_MS;
  }

  #cachedLeader(): string | undefined {
    return this.#options.board.read("lease")?.leader;
  }

  #clearCachedLeader(leader: string): void {
    if (this.#cachedLeader() !== leader) return;
    this.#options.board.write("control", "lease", null);
  }

  /** Searches for the leader; concurrent calls share one search. */
  async #findLeader(): Promise<string | undefined> {
    this.#leaderSearch ??= this.#queryControlVms();
    const leader = await this.#leaderSearch;
    this.#leaderSearch = undefined;
    if (leader === undefined) {
      this.#searchFailedAtMs = this.#options.clock.nowMs();
    } else {
      this.#options.board.write("control", "lease", { leader });
    }
    return leader;
  }

  /** Asks all control VMs at once; returns the first that reports itself as the leader. */
  #queryControlVms(): Promise<string | undefined> {
    const controls = this.#options.directory.list("control");
    return new Promise((resolve) => {
      const queries = controls.map(async (vm) => {
        if (await this.#isLeader(vm.name)) resolve(vm.name);
      });
      Promise.all(queries).then(() => resolve(undefined));
    });
  }

  async #isLeader(vm: string): Promise<boolean> {
    const reply = await this.#options.network.request(
      { to: vm, channel: "control", timeoutMs: STATUS_TIMEOUT_MS },
      { kind: "status" },
    );
    if (!reply.ok) return false;
    return parseVmStatus(reply.val)?.leader === vm;
  }
}

function noLeaderFailure(mayHaveRun: boolean): Failure {
  if (mayHaveRun) {
    return fail(
      "outcome_unknown",
      "the control VMs did not confirm whether the change was applied",
      { retryAfterMs: RETRY_AFTER_MS },
    );
  }
  return fail("no_quorum", "no control VM with a quorum is reachable", {
    retryAfterMs: RETRY_AFTER_MS,
  });
}
