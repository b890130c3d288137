/**
 * Tells whether this VM is cut off from the other availability zones. Such a VM reports that it is not ready: the load
 * balancer then sends its callers to another zone, where batches can be accepted and all upstreams be reached.
 *
 * A lost control plane looks the same to its followers, but then every zone can still serve calls. Connections to
 * upstreams of other zones tell the two apart.
 *
 * @module
 */
import type {
  Address,
  Clock,
  EventLog,
  FleetUpstream,
  Milliseconds,
  RandomSource,
} from "#core";
import { MEMBERSHIP_EVENTS } from "./events.ts";

const CHECK_INTERVAL_MS: Milliseconds = 500;
/** Time without a control VM that reaches a quorum before connections are tried; longer than most elections. */
const MINIMUM_SILENCE_MS: Milliseconds = 900;
/** Upstreams of other zones that are tried in a check; one may be down by itself. */
const PROBES = 3;

/** Options of `IsolationCheck`. */
export interface IsolationCheckOptions {
  readonly zone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /** Returns how long no control VM that reaches a quorum has been followed, 0 if one is. */
  readonly silentMs: () => Milliseconds;
  readonly upstreams: () => readonly FleetUpstream[];
  /** Returns whether a connection to an address can be opened in a short time. */
  readonly canConnect: (address: Address) => Promise<boolean>;
}

/** Checks for isolation while no control VM that reaches a quorum can be followed. */
export class IsolationCheck {
  readonly #options: IsolationCheckOptions;
  #isolated = false;
  #checking = false;

  constructor(options: IsolationCheckOptions) {
    this.#options = options;
  }

  /** Whether this VM reaches no other zone. */
  get isIsolated(): boolean {
    return this.#isolated && this.#options.silentMs() > 0;
  }

  /** Starts to check periodically; returns a function to stop. */
  start(): () => void {
    const timer = this.#options.clock.every(
      CHECK_INTERVAL_MS,
      () => void this.check(),
    );
    return () => timer.cancel();
  }

  /** Checks once, if no control VM can be followed. */
  async check(): Promise<void> {
    if (this.#checking) return;
    if (this.#options.silentMs() < MINIMUM_SILENCE_MS) {
      this.#set(false);
      return;
    }
    this.#checking = true;
    this.#set(!await this.#reachesOtherZone());
    this.#checking = false;
  }

  /** Tries some upstreams of other zones. Without any, nothing speaks for isolation. */
  async #reachesOtherZone(): Promise<boolean> {
    const { canConnect, random, upstreams, zone } = this.#options;
    const others = upstreams().filter((each) => each.zone !== zone);
    if (others.length === 0) return true;
    const first = random.below(others.length);
    const tries: Promise<boolean>[] = [];
    for (let at = 0; at < Math.min(PROBES, others.length); at += 1) {
      const upstream = others[(first + at) % others.length];
      if (upstream !== undefined) tries.push(canConnect(upstream.address));
    }
    return (await Promise.all(tries)).includes(true);
  }

  #set(isolated: boolean): void {
    if (this.#isolated === isolated) return;
    this.#isolated = isolated;
    const event = isolated
      ? MEMBERSHIP_EVENTS.isolated
      : MEMBERSHIP_EVENTS.noLongerIsolated;
    this.#options.events.emit(event, { zone: this.#options.zone });
  }
}
