/**
 * Reaches the leading control VM from any VM: follows hints, goes round when the leader is gone, and
 * gives up at once with a time to come back when no quorum is to be found.
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
  type MachineQuestion,
  type Milliseconds,
  type Result,
} from "#core";
import type { PeerNetwork } from "#wire";
import type { ControlRequest } from "./control_messages.ts";
import type { VmDirectory } from "./vm_directory.ts";

const ATTEMPT_TIMEOUT_MS: Milliseconds = 2_000;
const SEARCH_MS: Milliseconds = 3_000;
const PAUSE_MS: Milliseconds = 50;
const RETRY_AFTER_MS: Milliseconds = 2_000;
const FAST_REFUSAL_MS: Milliseconds = 1_000;

/** Failures of the log itself, after which another control VM is asked. */
const LOG_FAILURES: ReadonlySet<ErrorKind> = new Set([
  "not_leader",
  "no_quorum",
  "not_ready",
  "outcome_unknown",
]);

/** What a client is built from. */
export interface ControlClientOptions {
  readonly board: Blackboard<BoardSections>;
  readonly directory: VmDirectory;
  readonly network: PeerNetwork;
  readonly clock: Clock;
}

/** A control port over the network. */
export class ControlClient extends ControlPort {
  readonly #options: ControlClientOptions;
  #leader: string | undefined;
  #turn = 0;
  #refusedAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(options: ControlClientOptions) {
    super();
    this.#options = options;
  }

  override propose(request: MachineCommand): Promise<Result<unknown, Failure>> {
    return this.#send({ kind: "propose", ...request });
  }

  override query(request: MachineQuestion): Promise<Result<unknown, Failure>> {
    return this.#send({ kind: "query", ...request });
  }

  async #send(request: ControlRequest): Promise<Result<unknown, Failure>> {
    const { clock } = this.#options;
    const startedAtMs = clock.nowMs();
    let maybeRan = false;
    while (true) {
      const to = this.#next();
      if (to === undefined) break;
      const result = await this.#attempt(to, request);
      if (result.ok || !LOG_FAILURES.has(result.val.kind)) {
        this.#noteLeader(to);
        return result;
      }
      maybeRan ||= result.val.ran !== "no";
      const hinted = this.#follow(to, result.val);
      if (this.#mustGiveUp(startedAtMs)) break;
      if (!hinted) await clock.sleep(PAUSE_MS);
    }
    this.#refusedAtMs = clock.nowMs();
    return Err(giveUp(maybeRan && request.kind === "propose"));
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

  /** While the quorum is known to be gone, callers wait for one round only. */
  #mustGiveUp(startedAtMs: Milliseconds): boolean {
    const nowMs = this.#options.clock.nowMs();
    const knownGone = nowMs - this.#refusedAtMs < FAST_REFUSAL_MS;
    const limitMs = knownGone ? PAUSE_MS : SEARCH_MS;
    return nowMs - startedAtMs >= limitMs;
  }

  #next(): string | undefined {
    if (this.#leader !== undefined) return this.#leader;
    const controls = this.#options.directory.list("control");
    if (controls.length === 0) return undefined;
    this.#turn = (this.#turn + 1) % controls.length;
    return controls[this.#turn]?.name;
  }

  #follow(asked: string, failure: Failure): boolean {
    const hint = failure.kind === "not_leader" ? failure.detail : undefined;
    const known = hint !== undefined && hint !== asked &&
      this.#options.directory.find(hint) !== undefined;
    this.#leader = known ? hint : undefined;
    if (!known) this.#options.board.write("control", "lease", null);
    return known;
  }

  #noteLeader(leader: string): void {
    if (this.#options.board.read("lease")?.leader === leader) return;
    this.#leader = leader;
    this.#options.board.write("control", "lease", { leader, term: 0 });
  }
}

function giveUp(maybeRan: boolean): Failure {
  if (maybeRan) {
    return fail(
      "outcome_unknown",
      "the control VMs did not tell whether the change was made",
      { retryAfterMs: RETRY_AFTER_MS },
    );
  }
  return fail("no_quorum", "no control VM can answer for the quorum", {
    retryAfterMs: RETRY_AFTER_MS,
  });
}
