/**
 * Reaches the leading control VM from any VM: asks all control VMs which of them leads, keeps to it
 * while it answers, and gives up at once with a time to come back when no quorum is to be found.
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
import { type ControlRequest, parseVmStatus } from "./control_messages.ts";
import type { VmDirectory } from "./vm_directory.ts";

const ATTEMPT_TIMEOUT_MS: Milliseconds = 2_000;
const STATUS_TIMEOUT_MS: Milliseconds = 500;
const SEARCH_MS: Milliseconds = 3_000;
const PAUSE_MS: Milliseconds = 100;
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
  #search: Promise<string | undefined> | undefined;
  #missedAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

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
    const giveUpAtMs = clock.nowMs() + this.#patienceMs();
    let maybeRan = false;
    while (true) {
      const leader = this.#known() ?? await this.#findLeader();
      if (leader !== undefined) {
        const result = await this.#attempt(leader, request);
        if (result.ok || !LOG_FAILURES.has(result.val.kind)) return result;
        maybeRan ||= result.val.ran !== "no";
        this.#forget(leader);
      }
      if (clock.nowMs() >= giveUpAtMs) break;
      await clock.sleep(PAUSE_MS);
    }
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

  /** While no leader is to be found, new callers wait for one search only. */
  #patienceMs(): Milliseconds {
    const sinceMs = this.#options.clock.nowMs() - this.#missedAtMs;
    return sinceMs < FAST_REFUSAL_MS ? PAUSE_MS : SEARCH_MS;
  }

  #known(): string | undefined {
    return this.#options.board.read("lease")?.leader;
  }

  #forget(leader: string): void {
    if (this.#known() !== leader) return;
    this.#options.board.write("control", "lease", null);
  }

  /** One search at a time, shared by all calls. */
  async #findLeader(): Promise<string | undefined> {
    this.#search ??= this.#askAll();
    const leader = await this.#search;
    this.#search = undefined;
    if (leader === undefined) {
      this.#missedAtMs = this.#options.clock.nowMs();
    } else {
      this.#options.board.write("control", "lease", { leader });
    }
    return leader;
  }

  /** Asks every control VM at once; the first that says it leads itself counts. */
  #askAll(): Promise<string | undefined> {
    const controls = this.#options.directory.list("control");
    return new Promise((resolve) => {
      const asked = controls.map(async (vm) => {
        if (await this.#leads(vm.name)) resolve(vm.name);
      });
      Promise.all(asked).then(() => resolve(undefined));
    });
  }

  async #leads(vm: string): Promise<boolean> {
    const answer = await this.#options.network.request(
      { to: vm, channel: "control", timeoutMs: STATUS_TIMEOUT_MS },
      { kind: "status" },
    );
    if (!answer.ok) return false;
    return parseVmStatus(answer.val)?.leader === vm;
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
