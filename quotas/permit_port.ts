/**
 * Sends requests for permits to the control VM that issues them.
 *
 * @module
 */
import type { Clock, Failure, FleetNode, Milliseconds, Result } from "#core";
import { LeaderClient, leaderOf } from "#membership";
import type { PeerNetwork } from "#wire";
import type { PermitReply, PermitRequest } from "./permit_messages.ts";

/** Time for the way there and back, beside the patience of the request. */
const TRAVEL_MS: Milliseconds = 300;

/** Asks for permits. */
export abstract class PermitPort {
  /** Returns the permits that were issued within the patience of the request, or why nobody could issue any. */
  abstract request(
    request: PermitRequest,
  ): Promise<Result<PermitReply, Failure>>;
}

/** Options of `LeaderPermitPort`. */
export interface LeaderPermitPortOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly nodes: () => readonly FleetNode[];
  /** Returns the control VMs, the likely ones first. */
  readonly controlVms: () => readonly string[];
}

/** Asks the leader of the control log. */
export class LeaderPermitPort extends PermitPort {
  readonly #options: LeaderPermitPortOptions;
  readonly #client: LeaderClient;

  constructor(options: LeaderPermitPortOptions) {
    super();
    this.#options = options;
    this.#client = new LeaderClient({
      network: options.network,
      clock: options.clock,
      channel: "requests",
      candidates: () => this.#candidates(),
    });
  }

  /** Takes notice of changed VMs: requests to a control VM that no longer leads are sent to its successor. */
  handleVmChange(): void {
    this.#client.preferLeaderOf(this.#options.nodes(), "control");
  }

  override async request(
    request: PermitRequest,
  ): Promise<Result<PermitReply, Failure>> {
    const totalMs = request.patienceMs + TRAVEL_MS;
    const reply = await this.#client.send(request, {
      attemptMs: totalMs,
      totalMs,
    });
    return reply as Result<PermitReply, Failure>;
  }

  #candidates(): readonly string[] {
    const leader = leaderOf(this.#options.nodes(), "control");
    const first = leader === undefined ? [] : [leader.vm];
    return [...new Set([...first, ...this.#options.controlVms()])];
  }
}
