/**
 * Sends orders of upstreams with the authority of the holder of the duties.
 *
 * @module
 */
import type { DutyHolder, DutyOutcome, DutyPort, UpstreamOrder } from "#duties";
import { type UpstreamOrderOutcome, UpstreamOrderPort } from "#scaling";

/** Options of `HeldOrderPort`. */
export interface HeldOrderPortOptions {
  readonly holder: DutyHolder;
  readonly port: DutyPort;
  /** Whether the receiver rejects calls with a fencing token lower than one that it has seen. */
  readonly checksFences: boolean;
}

/** Sends orders while this process holds the duties. */
export class HeldOrderPort extends UpstreamOrderPort {
  readonly #options: HeldOrderPortOptions;

  constructor(options: HeldOrderPortOptions) {
    super();
    this.#options = options;
  }

  override mayOrder(): boolean {
    return this.#options.holder.authority() !== null;
  }

  override async order(order: UpstreamOrder): Promise<UpstreamOrderOutcome> {
    const { holder, port, checksFences } = this.#options;
    const authority = holder.authority();
    if (authority === null) return "not_holder";
    const outcome = await port.orderUpstreams(order, authority);
    // The status does not say whether the zone has no more upstreams or the token is too low.
    if (outcome === "conflict" && checksFences) holder.release(authority.fence);
    return ORDER_OUTCOMES[outcome];
  }
}

const ORDER_OUTCOMES: Readonly<Record<DutyOutcome, UpstreamOrderOutcome>> = {
  accepted: "accepted",
  conflict: "unavailable",
  rate_limited: "unknown",
  unknown: "unknown",
};
