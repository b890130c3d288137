/**
 * Sends requests for permits to the control VM that issues them.
 *
 * @module
 */
import type { Failure, Result } from "#core";
import type { ControlLeader } from "#membership";
import type { PermitReply, PermitRequest } from "./permit_messages.ts";

/** Asks for permits. */
export abstract class PermitPort {
  /** Returns the permits that were issued within the patience of the request, or why nobody could issue any. */
  abstract request(
    request: PermitRequest,
  ): Promise<Result<PermitReply, Failure>>;
}

/** Asks the leader of the control log. */
export class LeaderPermitPort extends PermitPort {
  readonly #leader: ControlLeader;

  constructor(leader: ControlLeader) {
    super();
    this.#leader = leader;
  }

  override async request(
    request: PermitRequest,
  ): Promise<Result<PermitReply, Failure>> {
    const reply = await this.#leader.request(request, request.patienceMs);
    return reply as Result<PermitReply, Failure>;
  }
}
