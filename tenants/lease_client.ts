/**
 * Renews the lease of an entry VM on its configuration, while that has tenants.
 *
 * @module
 */
import type {
  Clock,
  ClockReading,
  EventLog,
  Milliseconds,
  RoutingConfiguration,
  Timer,
} from "#core";
import type { PeerNetwork } from "#wire";
import type { ConfigurationLease } from "./configuration_lease.ts";
import { TENANT_EVENTS } from "./events.ts";
import {
  NEWEST_VERSION_KIND,
  type NewestVersionRequest,
  parseNewestVersion,
  parseReplyDemand,
} from "./lease_messages.ts";
import type { TenantShares } from "./tenant_shares.ts";

/** A lease of 5 s is renewed several times before it ends, also after the loss of several control VMs. */
const RENEWAL_INTERVAL_MS: Milliseconds = 1_000;
/** Interval at which the clocks are read, and a VM without a proof repeats its request. */
const TICK_MS: Milliseconds = 100;
/** A control VM waits up to 200 ms before it reads, and a read takes a few ms. */
const REPLY_TIMEOUT_MS: Milliseconds = 400;
const CHANNEL = "requests";

/** Options of `LeaseClient`. */
export interface LeaseClientOptions {
  readonly network: Pick<PeerNetwork, "request">;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly lease: ConfigurationLease;
  readonly readClocks: () => ClockReading;
  /** Returns the active configuration. */
  readonly configuration: () => RoutingConfiguration | null;
  /** Returns the control VMs, those that are likely to reply first. */
  readonly controlVms: () => readonly string[];
  /** Age of the last proof from which on calls are not accepted, for the log. */
  readonly usableMs: Milliseconds;
  /** Decides about calls by the demand of tenants over all VMs, which comes with the version; absent if nobody does. */
  readonly shares?: Pick<TenantShares, "needsDemand" | "recordDemand">;
}

/** Requests the newest version from control VMs, one after the other until one replies. */
export class LeaseClient {
  readonly #options: LeaseClientOptions;
  #timer: Timer | undefined;
  #server: string | undefined;
  #isRequesting = false;
  #requestedMs: Milliseconds = -Infinity;
  #isHeld = false;
  #reason = "no control VM was asked in time";

  constructor(options: LeaseClientOptions) {
    this.#options = options;
  }

  /** Renews the lease until `stop`. */
  start(): void {
    this.#timer = this.#options.clock.every(TICK_MS, () => this.#tick());
  }

  /** Stops renewing. */
  stop(): void {
    this.#timer?.cancel();
  }

  #tick(): void {
    const { lease, readClocks, configuration } = this.#options;
    const active = configuration();
    if (active?.tenants === undefined) return;
    const now = readClocks();
    const ageMs = lease.ageMs(now, active.version);
    this.#report(ageMs, active.version);
    if (this.#isRequesting) return;
    const intervalMs = ageMs === null ? TICK_MS : RENEWAL_INTERVAL_MS;
    if (now.steadyMs - this.#requestedMs >= intervalMs) void this.#request(now);
  }

  async #request(sent: ClockReading): Promise<void> {
    const { network, lease, controlVms } = this.#options;
    const servers = controlVms();
    const to = servers.find((each) => each === this.#server) ?? servers[0];
    if (to === undefined) return;
    this.#isRequesting = true;
    this.#requestedMs = sent.steadyMs;
    const { clock, shares } = this.#options;
    const needsDemand = shares?.needsDemand(clock.nowMs()) === true;
    const request: NewestVersionRequest = {
      kind: NEWEST_VERSION_KIND,
      ...(needsDemand ? { demand: true } : {}),
    };
    const timeoutMs = REPLY_TIMEOUT_MS;
    const reply = await network.request(
      { to, channel: CHANNEL, timeoutMs },
      request,
    );
    this.#isRequesting = false;
    const version = reply.ok ? parseNewestVersion(reply.val) : null;
    if (version !== null) {
      this.#server = to;
      lease.renew(sent, version);
      const demand = needsDemand ? parseReplyDemand(reply.val) : undefined;
      if (demand !== undefined) shares?.recordDemand(demand, clock.nowMs());
      return;
    }
    this.#reason = reply.err ? reply.val.message : "the reply is malformed";
    this.#server = servers[(servers.indexOf(to) + 1) % servers.length];
    // The next one gets a request with the next reading of the clocks.
    this.#requestedMs = -Infinity;
  }

  #report(ageMs: Milliseconds | null, version: number): void {
    const { events, usableMs } = this.#options;
    const isHeld = ageMs !== null && ageMs < usableMs;
    if (isHeld === this.#isHeld) return;
    this.#isHeld = isHeld;
    const event = isHeld
      ? TENANT_EVENTS.leaseRegained
      : TENANT_EVENTS.leaseLost;
    events.emit(event, {
      version,
      proofAgeMs: ageMs === null ? null : Math.round(ageMs),
      server: this.#server,
      ...(isHeld ? {} : { reason: this.#reasonOf(ageMs) }),
    });
  }

  #reasonOf(ageMs: Milliseconds | null): string {
    return ageMs === null ? "the wall clock was set" : this.#reason;
  }
}
