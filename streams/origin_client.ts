/**
 * Where the streams of an entry VM began, told to enough control VMs that the tolerated losses leave one of them, and
 * what the control VMs know of streams that began elsewhere.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type Clock, type Milliseconds, SECOND_MS, type Timer } from "#core";
import type { PeerNetwork } from "#wire";
import {
  ORIGINS_KIND,
  ORIGINS_TIMEOUT_MS,
  type OriginsReply,
  type OriginsRequest,
  parseOriginsReply,
} from "./origin_messages.ts";
import { OriginReporter, ORIGINS_CHANNEL } from "./origin_reporter.ts";
import { attemptKey, OriginTable } from "./origin_table.ts";
import {
  type OriginAnswer,
  type StreamOrigin,
  StreamOrigins,
} from "./stream_origins.ts";

const CHECK_INTERVAL_MS: Milliseconds = SECOND_MS;

/** Options of `OriginClient`. */
export interface OriginClientOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** Returns the control VMs that hold a replica of the control log, those of the own availability zone first. */
  readonly voters: () => readonly string[];
  /** Returns all control VMs that may be voters. */
  readonly controlVms: () => readonly string[];
}

/** Keeps where the streams of this VM began, and finds those of others. */
export class OriginClient extends StreamOrigins {
  readonly #options: OriginClientOptions;
  readonly #own = new OriginTable();
  readonly #timer: Timer;
  readonly #reporters = new Map<string, OriginReporter>();

  constructor(options: OriginClientOptions) {
    super();
    this.#options = options;
    this.#timer = options.clock.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Ends the reports; what is under way still arrives. */
  stop(): void {
    this.#timer.cancel();
    for (const reporter of this.#reporters.values()) reporter.close();
    this.#reporters.clear();
  }

  override note(
    attempt: string,
    origin: StreamOrigin,
    retentionMs: Milliseconds,
  ): void {
    const record = { key: attemptKey(attempt), ...origin, retentionMs };
    this.#own.record(record, this.#options.clock.nowMs());
    if (this.#reporters.size === 0) this.#updateReporters();
    for (const reporter of this.#reporters.values()) reporter.report(record);
  }

  /** Processes changed control VMs. */
  handleFleetChange(): void {
    if (this.#reporters.size > 0) this.#updateReporters();
  }

  override async find(attempt: string): Promise<OriginAnswer> {
    const { clock, network } = this.#options;
    const key = attemptKey(attempt);
    const own = this.#own.find(key, clock.nowMs());
    if (own !== undefined) return answerOf(own, network.self);
    return await new Promise((resolve) => {
      const asked = new Set(this.#candidates());
      let isComplete = true;
      for (const vm of asked) {
        void this.#ask(vm, key).then((reply) => {
          asked.delete(vm);
          isComplete &&= reply !== undefined;
          if (reply?.found) resolve(answerOf(reply.found, vm));
          else if (asked.size === 0) resolve(unknown(!isComplete));
        });
      }
      if (asked.size === 0) resolve(unknown(true));
    });
  }

  /** Returns the control VMs that are told of streams; all that are known while the voters are not. */
  #candidates(): readonly string[] {
    const { voters, controlVms } = this.#options;
    const known = voters();
    return known.length > 0 ? known : controlVms();
  }

  async #ask(vm: string, key: string): Promise<OriginsReply | undefined> {
    const request: OriginsRequest = {
      kind: ORIGINS_KIND,
      groups: [],
      find: key,
    };
    const response = await this.#options.network.request(
      { to: vm, channel: ORIGINS_CHANNEL, timeoutMs: ORIGINS_TIMEOUT_MS },
      request,
    );
    return response.ok ? parseOriginsReply(response.val) : undefined;
  }

  #check(): void {
    this.#own.expire(this.#options.clock.nowMs());
    if (this.#own.size === 0) return;
    this.#updateReporters();
    for (const reporter of this.#reporters.values()) reporter.check();
  }

  /** Starts to report to control VMs that should know the streams of this VM, and ends reports to others. */
  #updateReporters(): void {
    const { network, clock } = this.#options;
    const keepers = this.#keepers();
    for (const [vm, reporter] of this.#reporters) {
      if (keepers.includes(vm)) continue;
      reporter.close();
      this.#reporters.delete(vm);
    }
    for (const vm of keepers) {
      if (this.#reporters.has(vm)) continue;
      const allRecords = () => this.#own.records(clock.nowMs());
      const reporter = new OriginReporter({ network, clock, vm, allRecords });
      this.#reporters.set(vm, reporter);
      reporter.check();
    }
  }

  /** Returns a majority of the voters: the nearest one, and others that differ from one entry VM to the next. */
  #keepers(): readonly string[] {
    const [nearest, ...others] = this.#options.voters();
    if (nearest === undefined) return this.#options.controlVms().slice(0, 1);
    const { self } = this.#options.network;
    const inOrder = others
      .map((vm) => ({ vm, rank: rankOf(self, vm) }))
      .sort((a, b) => a.rank < b.rank ? -1 : 1)
      .map(({ vm }) => vm);
    const further = Math.ceil(others.length / 2);
    return [nearest, ...inOrder.slice(0, further)];
  }
}

function rankOf(self: string, vm: string): string {
  return createHash("sha256").update(`${self} ${vm}`).digest("hex");
}

function answerOf(
  known: NonNullable<OriginsReply["found"]>,
  source: string,
): OriginAnswer {
  const { service, softwareVersion, ageMs, isContradictory } = known;
  if (isContradictory) {
    const reason = `${source} was told of several versions`;
    return { kind: "unknown", reason, mayBecomeKnown: false };
  }
  const origin = { service, softwareVersion };
  return { kind: "known", origin, source, ageMs };
}

function unknown(mayBecomeKnown: boolean): OriginAnswer {
  const reason = mayBecomeKnown
    ? "no control VM that replied has been told of the stream"
    : "no control VM has been told of the stream";
  return { kind: "unknown", reason, mayBecomeKnown };
}
