/**
 * Which incarnation of an upstream is at its address now. An upstream may start again under the identifier that it had,
 * with other software, and nobody knows before its next heartbeat has gone round. A connection leads to the same
 * process for as long as it is open, so an upstream is asked once for each connection.
 *
 * @module
 */
import {
  type Bytes,
  type Clock,
  type FleetUpstream,
  incarnationOf,
  KIBIBYTE,
  type Milliseconds,
  SECOND_MS,
  type Timer,
} from "#core";
import { probeCrash } from "./connection_probe.ts";
import { ProcessWatch } from "./process_watch.ts";
import { SingleConnection } from "./single_connection.ts";
import type { OwnCall, UpstreamDialect } from "./upstream_dialect.ts";
import type { UpstreamHttp } from "./upstream_http.ts";

const TIMEOUT_MS: Milliseconds = 300;
const MAXIMUM_BYTES: Bytes = 256 * KIBIBYTE;
/** Longer than an upstream without heartbeats stays listed: by then its successor is known, or it is gone. */
const DOUBT_MS: Milliseconds = 6 * SECOND_MS;
/** Incarnations that are remembered, the newest ones. */
const MAXIMUM_REMEMBERED = 4_096;
/** How long a connection is kept that no call uses: upstreams accept a limited number from all VMs together. */
const IDLE_MS: Milliseconds = 500;
/** Idle connections to one upstream. */
const MAXIMUM_IDLE_CONNECTIONS = 4;
const OK_STATUS = 200;

/** What is known of the upstream that a call would reach. */
export type IdentityCheck =
  /** Calls over this connection reach the incarnation that is known. */
  | { readonly kind: "identified"; readonly connection: SingleConnection }
  /** The upstream doesn't tell; `isDoubtful` if it may have started again since its last heartbeat. */
  | { readonly kind: "unidentified"; readonly isDoubtful: boolean }
  /** Another incarnation is at the address, or none that replies. */
  | { readonly kind: "failed"; readonly reason: string };

interface IdleConnection {
  readonly connection: SingleConnection;
  /** Closes it. */
  readonly timer: Timer;
}

/** Options of `UpstreamIdentity`. */
export interface UpstreamIdentityOptions {
  readonly clock: Clock;
  readonly dialect: UpstreamDialect;
  readonly http: UpstreamHttp;
  /** Whether this VM follows no control VM now; never if absent. */
  readonly isOutOfDate?: () => boolean;
}

/** Identifies upstreams by what they say on a connection, and keeps the connections for further calls. */
export class UpstreamIdentity {
  readonly #options: UpstreamIdentityOptions;
  /** Connections to incarnations over which no call is sent now. */
  readonly #idle = new Map<string, IdleConnection[]>();
  /** Incarnations that don't tell which one they are. */
  readonly #silent = new Set<string>();
  /** Until when incarnations may have been replaced, as a call to them failed. */
  readonly #doubtfulUntilMs = new Map<string, Milliseconds>();
  /** Whether those that don't tell have started again. */
  readonly #processes: ProcessWatch;

  constructor(options: UpstreamIdentityOptions) {
    this.#options = options;
    this.#processes = new ProcessWatch(options);
  }

  /** Watches those of these upstreams that don't tell who they are, before a stream is sent to any of them. */
  attend(upstreams: readonly FleetUpstream[]): void {
    for (const upstream of upstreams) {
      if (this.#isSilent(upstream)) this.#processes.attend(upstream);
    }
  }

  /** Returns those of these upstreams of which nobody knows whether they have started again. */
  doubtful(upstreams: readonly FleetUpstream[]): readonly string[] {
    const found: string[] = [];
    for (const upstream of upstreams) {
      if (!this.#isSilent(upstream)) continue;
      const isDoubtful = this.#hasFailed(upstream) ||
        this.#processes.mayHaveChanged(upstream);
      if (isDoubtful) found.push(upstream.id);
    }
    return found;
  }

  /**
   * Whether the head of a response that has just arrived came from the known incarnation of an upstream that does not
   * tell who it is.
   */
  async confirm(upstream: FleetUpstream): Promise<boolean> {
    return !this.#hasFailed(upstream) &&
      await this.#processes.isUnchanged(upstream);
  }

  /**
   * Records that a call to an upstream failed as it does when the upstream ends. One that doesn't tell who it is stays
   * in doubt unless it accepts connections right after.
   */
  async recordFailure(upstream: FleetUpstream): Promise<void> {
    if (!this.#isSilent(upstream)) return;
    const incarnation = incarnationOf(upstream);
    const untilMs = this.#options.clock.nowMs() + DOUBT_MS;
    this.#doubtfulUntilMs.set(incarnation, untilMs);
    removeOldest(this.#doubtfulUntilMs);
    const state = await probeCrash(upstream.address);
    const isLatest = this.#doubtfulUntilMs.get(incarnation) === untilMs;
    if (state === "open" && isLatest) this.#doubtfulUntilMs.delete(incarnation);
  }

  /** Returns a connection to the known incarnation of an upstream, or why there is none. */
  async check(
    upstream: FleetUpstream,
    signal: AbortSignal,
  ): Promise<IdentityCheck> {
    const incarnation = incarnationOf(upstream);
    const idle = this.#takeIdle(incarnation);
    if (idle !== undefined) return { kind: "identified", connection: idle };
    const call = this.#options.dialect.identityCall(upstream);
    if (call === null || this.#isSilent(upstream)) {
      return await this.#unidentified(upstream);
    }
    return await this.#ask(upstream, call, signal);
  }

  /** Keeps a connection whose last call is complete, for some time. */
  release(upstream: FleetUpstream, connection: SingleConnection): void {
    const incarnation = incarnationOf(upstream);
    const idle = this.#idle.get(incarnation) ?? [];
    if (idle.length >= MAXIMUM_IDLE_CONNECTIONS) return connection.close();
    this.#idle.set(incarnation, idle);
    const timer = this.#options.clock.after(IDLE_MS, () => {
      this.#closeIdle(incarnation, connection);
    });
    idle.push({ connection, timer });
  }

  /** Closes all connections that are kept. */
  close(): void {
    for (const { connection, timer } of [...this.#idle.values()].flat()) {
      timer.cancel();
      connection.close();
    }
    this.#idle.clear();
    this.#processes.close();
  }

  #isSilent(upstream: FleetUpstream): boolean {
    return this.#silent.has(incarnationOf(upstream)) ||
      this.#options.dialect.identityCall(upstream) === null;
  }

  #takeIdle(incarnation: string): SingleConnection | undefined {
    const idle = this.#idle.get(incarnation) ?? [];
    for (let next = idle.pop(); next !== undefined; next = idle.pop()) {
      next.timer.cancel();
      if (next.connection.isOpen) return next.connection;
      next.connection.close();
    }
    this.#idle.delete(incarnation);
    return undefined;
  }

  #closeIdle(incarnation: string, connection: SingleConnection): void {
    connection.close();
    const idle = this.#idle.get(incarnation) ?? [];
    const left = idle.filter((each) => each.connection !== connection);
    if (left.length === 0) this.#idle.delete(incarnation);
    else this.#idle.set(incarnation, left);
  }

  async #ask(
    upstream: FleetUpstream,
    call: OwnCall,
    signal: AbortSignal,
  ): Promise<IdentityCheck> {
    const { clock, http } = this.#options;
    const connection = new SingleConnection();
    const abort = new AbortController();
    const timer = clock.after(TIMEOUT_MS, () => abort.abort());
    const response = await http.call({
      ...call,
      address: upstream.address,
      body: new Uint8Array(0),
      signal: AbortSignal.any([abort.signal, signal]),
      reuseConnection: true,
      connection,
      maximumResponseBytes: MAXIMUM_BYTES,
    });
    timer.cancel();
    const reason = response.err
      ? response.val.reason
      : this.#reasonToReject(upstream, response.val);
    if (reason === undefined) return { kind: "identified", connection };
    connection.close();
    const incarnation = incarnationOf(upstream);
    return this.#silent.has(incarnation)
      ? await this.#unidentified(upstream)
      : { kind: "failed", reason };
  }

  /** Returns why the response is not that of the known incarnation, or undefined. */
  #reasonToReject(
    upstream: FleetUpstream,
    response: { readonly status: number; readonly body: Uint8Array },
  ): string | undefined {
    const { status, body } = response;
    if (status !== OK_STATUS) return `status ${status} to its identity`;
    const bornMs = this.#options.dialect.readBornMs(body);
    if (bornMs === upstream.bornMs) return undefined;
    if (bornMs !== null) return "another incarnation is at its address";
    this.#silent.add(incarnationOf(upstream));
    removeOldest(this.#silent);
    return "it does not say which incarnation it is";
  }

  async #unidentified(upstream: FleetUpstream): Promise<IdentityCheck> {
    this.#processes.attend(upstream);
    return {
      kind: "unidentified",
      isDoubtful: !await this.confirm(upstream),
    };
  }

  /** Whether a call to an upstream failed just now, so that it may have started again. */
  #hasFailed(upstream: FleetUpstream): boolean {
    const untilMs = this.#doubtfulUntilMs.get(incarnationOf(upstream)) ?? 0;
    return this.#options.clock.nowMs() < untilMs;
  }
}

function removeOldest(
  remembered: Set<string> | Map<string, Milliseconds>,
): void {
  if (remembered.size <= MAXIMUM_REMEMBERED) return;
  for (const oldest of remembered.keys()) {
    remembered.delete(oldest);
    return;
  }
}
