/**
 * Sends requests to the leader of a replicated log: follows redirects from the other VMs, and uses the
 * leader for later requests while it replies.
 *
 * @module
 */
import type {
  Clock,
  EventLog,
  Failure,
  FleetNode,
  FleetRole,
  Milliseconds,
  Result,
} from "#core";
import type { Channel, PeerNetwork } from "#wire";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import {
  LeaderRequest,
  type RequestOutcome,
  type RequestTimeouts,
} from "./leader_request.ts";
import { leaderOf } from "./placement_plan.ts";

/** Time for which a VM that did not reply is asked after all others. */
const SILENCE_MEMORY_MS: Milliseconds = 1_000;
/** Attempts of one request in the log, half of them the first ones and half the last ones. */
const REPORTED_ATTEMPTS = 6;
/** Longest time for a request that several VMs were asked for, or that failed, and that leaves no line in the log. */
const UNREPORTED_MS: Milliseconds = 200;

/** Options of `LeaderClient`. */
export interface LeaderClientOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly channel: Channel;
  /** VMs that run the log; the likely leader first. */
  readonly candidates: () => readonly string[];
  /**
   * Question whether a VM leads, which only the leader answers. If present, a VM that is not known to lead is asked it
   * first: while there is no leader, large requests would keep all VMs busy that are to elect one.
   */
  readonly probe?: unknown;
}

/**
 * Client of the leader of a replicated log. Requests must be idempotent: a request whose outcome is
 * unknown is sent again.
 *
 * @example
 * ```ts
 * const result = await client.send({ kind: "end", id }, { attemptMs: 1_000, totalMs: 3_000 });
 * ```
 */
export class LeaderClient {
  readonly #options: LeaderClientOptions;
  #leader: string | undefined;
  /** Term of the leader that was preferred last by its report. */
  #preferredTerm = -1;
  /** When each VM last did not reply in time. */
  readonly #silentAtMs = new Map<string, Milliseconds>();
  readonly #requests = new Set<LeaderRequest>();

  constructor(options: LeaderClientOptions) {
    this.#options = options;
  }

  /** Uses a VM that is known to lead now, and stops waiting for replies of any other. */
  preferLeader(vm: string): void {
    if (vm === this.#leader) return;
    this.#leader = vm;
    this.#silentAtMs.delete(vm);
    for (const request of this.#requests) request.prefer(vm);
  }

  /** Uses the VM that reports to lead a group, unless a later leader is known. */
  preferLeaderOf(nodes: readonly FleetNode[], role: FleetRole): void {
    const leader = leaderOf(nodes, role);
    if (leader === undefined || leader.term <= this.#preferredTerm) return;
    this.#preferredTerm = leader.term;
    this.preferLeader(leader.vm);
  }

  /**
   * Sends a request to the leader and returns its result. Without one in time, fails with `outcome_unknown`
   * if a VM may have executed the request, else with `no_quorum`.
   */
  async send(
    body: unknown,
    timeouts: RequestTimeouts,
  ): Promise<Result<unknown, Failure>> {
    const { clock, network, channel, probe } = this.#options;
    const ask = (message: unknown) =>
    (
      to: string,
      timeoutMs: Milliseconds,
    ): Promise<Result<unknown, Failure>> =>
      network.request({ to, channel, timeoutMs }, message);
    const request = new LeaderRequest({
      clock,
      timeouts,
      ask: ask(body),
      ...(probe === undefined ? {} : { probe: ask(probe) }),
      isLeader: (vm) => vm === this.#leader,
      candidates: () => this.#candidates(),
      onSilent: (vm) => this.#handleSilence(vm),
      onRejected: (vm, leader) => this.#handleRejection(vm, leader),
    });
    this.#requests.add(request);
    const startedMs = clock.nowMs();
    const outcome = await request.run();
    this.#requests.delete(request);
    const { result, leader } = outcome;
    if (leader !== undefined) this.#remember(leader);
    this.#reportDelay(outcome, clock.nowMs() - startedMs);
    return result;
  }

  #reportDelay(
    { result, attempts }: RequestOutcome,
    tookMs: Milliseconds,
  ): void {
    if (tookMs <= UNREPORTED_MS || (result.ok && attempts.length <= 1)) return;
    const { events, channel } = this.#options;
    events.emit(MEMBERSHIP_EVENTS.leaderRequestDelayed, {
      channel,
      tookMs: Math.round(tookMs),
      outcome: result.ok ? "ok" : result.val.kind,
      asked: attempts.length,
      attempts: firstAndLast(attempts),
    });
  }

  #remember(leader: string): void {
    this.#leader = leader;
    this.#silentAtMs.delete(leader);
  }

  #handleSilence(vm: string): void {
    this.#silentAtMs.set(vm, this.#options.clock.nowMs());
    if (this.#leader === vm) this.#leader = undefined;
  }

  #handleRejection(vm: string, leader: string | undefined): void {
    if (this.#leader === vm) this.#leader = undefined;
    if (leader !== undefined && !this.#isSilent(leader)) this.#leader = leader;
  }

  #isSilent(vm: string): boolean {
    const silentAtMs = this.#silentAtMs.get(vm) ?? -Infinity;
    return this.#options.clock.nowMs() - silentAtMs < SILENCE_MEMORY_MS;
  }

  /** Returns the VMs that may lead: the known leader first, and those that did not reply lately last. */
  #candidates(): readonly string[] {
    const first = this.#leader === undefined ? [] : [this.#leader];
    const all = [...new Set([...first, ...this.#options.candidates()])];
    const silent = all.filter((vm) => this.#isSilent(vm));
    return [...all.filter((vm) => !silent.includes(vm)), ...silent];
  }
}

function firstAndLast(
  attempts: RequestOutcome["attempts"],
): RequestOutcome["attempts"] {
  if (attempts.length <= REPORTED_ATTEMPTS) return attempts;
  const half = REPORTED_ATTEMPTS / 2;
  return [...attempts.slice(0, half), ...attempts.slice(-half)];
}
