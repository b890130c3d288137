/**
 * Requests to the leader of the control log for decisions that only one VM may make, and how it serves them. Only one VM
 * does at any time, since the lease of a leader ends before the next one starts.
 *
 * @module
 */
import {
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  type FleetNode,
  type Milliseconds,
  type Result,
} from "#core";
import type { PeerNetwork } from "#wire";
import { LeaderClient } from "./leader_client.ts";
import { leaderOf } from "./placement_plan.ts";

/** Time for the way there and back, beside the patience of a request. */
const TRAVEL_MS: Milliseconds = 300;
const CHANNEL = "requests";

/** Whether this VM leads the control log under a lease, and who else may. */
export interface Leadership {
  readonly leads: boolean;
  readonly term: number;
  readonly leader: string | null;
}

/** Returns the failure of a VM that does not lead, with the leader if it knows one. */
export function notLeaderFailure(leader: string | null): Failure {
  const message = leader === null ? "no leader is known" : `${leader} leads`;
  return fail(
    "not_leader",
    message,
    leader === null ? {} : { detail: leader },
  );
}

/** Options of `ControlLeader`. */
export interface ControlLeaderOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly nodes: () => readonly FleetNode[];
  /** Returns the control VMs, the likely ones first. */
  readonly controlVms: () => readonly string[];
}

/** The leader of the control log, as other VMs ask it. */
export class ControlLeader {
  readonly #options: ControlLeaderOptions;
  readonly #client: LeaderClient;

  constructor(options: ControlLeaderOptions) {
    this.#options = options;
    this.#client = new LeaderClient({
      network: options.network,
      clock: options.clock,
      events: options.events,
      channel: CHANNEL,
      candidates: () => this.#candidates(),
    });
  }

  /** Processes changed VMs: requests to a control VM that no longer leads are sent to its successor. */
  handleVmChange(): void {
    this.#client.preferLeaderOf(this.#options.nodes(), "control");
  }

  /** Returns the reply to a request that may wait for its decision. */
  request(
    body: unknown,
    patienceMs: Milliseconds,
  ): Promise<Result<unknown, Failure>> {
    const totalMs = patienceMs + TRAVEL_MS;
    return this.#client.send(body, { attemptMs: totalMs, totalMs });
  }

  /** Sends a notice; it is lost if no leader is known. */
  notify(body: unknown): void {
    const leader = leaderOf(this.#options.nodes(), "control");
    if (leader === undefined) return;
    this.#options.network.notify({ to: leader.vm, channel: CHANNEL }, body);
  }

  #candidates(): readonly string[] {
    const leader = leaderOf(this.#options.nodes(), "control");
    const first = leader === undefined ? [] : [leader.vm];
    return [...new Set([...first, ...this.#options.controlVms()])];
  }
}

/** The part of a control VM that handles one kind of request, mostly decisions that it makes only while it leads. */
export abstract class ControlPart {
  /** Kind of the requests that it handles. */
  abstract readonly kind: string;
  /** Returns the reply, or `not_leader`. */
  abstract handle(body: unknown): Promise<Result<unknown, Failure>>;
  /** Handles a notice of any kind. */
  handleNotice(_body: unknown): void {}
}

/** Passes what other VMs ask a control VM for to the parts that handle it. */
export function serveControlRequests(
  network: PeerNetwork,
  parts: readonly ControlPart[],
): void {
  network.onRequest(CHANNEL, (_from, body) => {
    const kind = (body as { readonly kind?: unknown } | null)?.kind;
    const part = parts.find((each) => each.kind === kind);
    if (part !== undefined) return part.handle(body);
    const message = "not a request that a control VM handles";
    return Promise.resolve(Err(fail("malformed_request", message)));
  });
  network.onNotice(CHANNEL, (_from, body) => {
    for (const part of parts) part.handleNotice(body);
  });
}
