/**
 * Access to the leader of the control log from any control VM.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import {
  ControlPort,
  Err,
  type Failure,
  type MachineCommand,
  type MachineQuery,
  type Result,
} from "#core";
import type { ControlRequest } from "./control_messages.ts";
import type { LeaderClient } from "./leader_client.ts";
import type { RequestTimeouts } from "./leader_request.ts";

const LEADER_REQUEST_TIMEOUTS: RequestTimeouts = {
  attemptMs: 900,
  totalMs: 1_800,
  silenceMs: 250,
};

/** Options of `LocalFirstControl`. */
export interface LocalFirstControlOptions {
  /** The replica of this VM. */
  readonly log: ReplicatedLog;
  /** Reaches the leader over the network. */
  readonly leader: LeaderClient;
  /** Returns the failure with which a command is rejected before it reaches the replica of this VM. */
  readonly rejectCommand: (command: MachineCommand) => Failure | undefined;
}

/** Sends commands and queries to the replica of this VM if it leads, else to the leader over the network. */
export class LocalFirstControl extends ControlPort {
  readonly #options: LocalFirstControlOptions;

  constructor(options: LocalFirstControlOptions) {
    super();
    this.#options = options;
  }

  override propose(request: MachineCommand): Promise<Result<unknown, Failure>> {
    const { log, rejectCommand } = this.#options;
    if (log.leaseUntilMs() === 0) {
      return this.#askLeader({ kind: "propose", ...request });
    }
    const failure = rejectCommand(request);
    if (failure !== undefined) return Promise.resolve(Err(failure));
    return log.propose(request);
  }

  override query(request: MachineQuery): Promise<Result<unknown, Failure>> {
    const { log } = this.#options;
    if (log.leaseUntilMs() === 0) {
      return this.#askLeader({ kind: "query", ...request });
    }
    return log.query(request);
  }

  #askLeader(request: ControlRequest): Promise<Result<unknown, Failure>> {
    return this.#options.leader.send(request, LEADER_REQUEST_TIMEOUTS);
  }
}
