/**
 * Asks the control VM that decides where suspects run.
 *
 * @module
 */
import type { Failure, Result } from "#core";
import type { ControlLeader } from "#membership";
import {
  ISOLATION_END_KIND,
  type IsolationDecision,
  type IsolationEnd,
  type IsolationRequest,
} from "./isolation_messages.ts";

/** Asks for isolated runs. */
export abstract class IsolationPort {
  /** Returns the decision within the patience of the request, or why nobody could decide. */
  abstract request(
    request: IsolationRequest,
  ): Promise<Result<IsolationDecision, Failure>>;
  /** States that a run has ended. */
  abstract end(digest: string, incarnation: string): void;
}

/** Asks the leader of the control log. */
export class LeaderIsolationPort extends IsolationPort {
  readonly #leader: ControlLeader;

  constructor(leader: ControlLeader) {
    super();
    this.#leader = leader;
  }

  override async request(
    request: IsolationRequest,
  ): Promise<Result<IsolationDecision, Failure>> {
    const reply = await this.#leader.request(request, request.patienceMs);
    return reply as Result<IsolationDecision, Failure>;
  }

  override end(digest: string, incarnation: string): void {
    const notice: IsolationEnd = {
      kind: ISOLATION_END_KIND,
      digest,
      incarnation,
    };
    this.#leader.notify(notice);
  }
}
