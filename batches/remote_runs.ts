/**
 * The leader's side of runs that other store VMs carry out: starts them, polls each host for news of all its runs, and
 * ends the runs of a host that does not reply.
 *
 * @module
 */
import type { Clock, EventLog, Milliseconds, RandomSource } from "#core";
import type { PeerNetwork } from "#wire";
import { BATCHES_EVENTS } from "./events.ts";
import type { RunOutcome } from "./item_run.ts";
import type {
  HostedEvent,
  HostedRunNews,
  HostedRunOrder,
  PollReply,
} from "./run_host_messages.ts";

const REQUEST_TIMEOUT_MS: Milliseconds = 700;
/** Time after which a reply is late; a poll without news is answered after 250 ms. */
const LATE_REPLY_MS: Milliseconds = 340;
/** Time for which a host that did not reply gets no runs. */
const HOST_PAUSE_MS: Milliseconds = 3_000;

/** How a run on a host ended; `host_failed` says nothing about the engine. */
export type RemoteOutcome =
  | RunOutcome
  | { readonly kind: "host_failed"; readonly reason: string };

/** A run for a host. */
export interface RemoteRun {
  readonly order: Omit<HostedRunOrder, "run">;
  readonly signal: AbortSignal;
  readonly onEvent: (event: HostedEvent) => void;
  readonly onLeaving: () => void;
}

/** Options of `RemoteRuns`. */
export interface RemoteRunsOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly random: RandomSource;
}

interface ActiveRemoteRun {
  readonly run: RemoteRun;
  readonly settle: (outcome: RemoteOutcome) => void;
}

interface HostState {
  readonly vm: string;
  readonly runs: Map<string, ActiveRemoteRun>;
  cancelled: string[];
  polling: boolean;
  /** When the last poll was sent. */
  polledMs: Milliseconds;
  pausedUntilMs: Milliseconds;
}

/** Runs items on run hosts. */
export class RemoteRuns {
  readonly #options: RemoteRunsOptions;
  readonly #hosts = new Map<string, HostState>();
  #session: string;
  #runCount = 0;

  constructor(options: RemoteRunsOptions) {
    this.#options = options;
    this.#session = options.random.identifier();
  }

  /** Whether a host may be given runs now. */
  isUsable(vm: string): boolean {
    const pausedUntilMs = this.#hosts.get(vm)?.pausedUntilMs ?? 0;
    return this.#options.clock.nowMs() >= pausedUntilMs && !this.isLate(vm);
  }

  /** Whether a host should have replied by now, so that the silence of its runs says nothing about their engines. */
  isLate(vm: string): boolean {
    const host = this.#hosts.get(vm);
    if (host === undefined || !host.polling) return false;
    return this.#options.clock.nowMs() - host.polledMs > LATE_REPLY_MS;
  }

  /** Begins a new session; hosts cancel the runs of the one before. */
  startSession(): void {
    this.#session = this.#options.random.identifier();
  }

  /** Runs an item on a host until it has ended there, its host fails, or the signal is aborted. */
  async run(vm: string, run: RemoteRun): Promise<RemoteOutcome> {
    const host = this.#hostOf(vm);
    this.#runCount += 1;
    const id = `${this.#session}-${this.#runCount}`;
    const { promise, settle } = this.#register(host, id, run);
    const order: HostedRunOrder = { ...run.order, run: id };
    const started = await this.#options.network.request(
      { to: vm, channel: "runs", timeoutMs: REQUEST_TIMEOUT_MS },
      { kind: "start", session: this.#session, order },
    );
    if (started.err) {
      this.#failHost(host, started.val.message);
      settle({ kind: "host_failed", reason: started.val.message });
    } else this.#pollWhileBusy(host);
    return await promise;
  }

  #register(
    host: HostState,
    id: string,
    run: RemoteRun,
  ): {
    readonly promise: Promise<RemoteOutcome>;
    readonly settle: (outcome: RemoteOutcome) => void;
  } {
    let settle: (outcome: RemoteOutcome) => void = () => {};
    const promise = new Promise<RemoteOutcome>((resolve) => {
      const cancel = (): void => {
        if (host.runs.has(id)) host.cancelled.push(id);
        settle({ kind: "broken", reason: "cancelled" });
      };
      settle = (outcome) => {
        host.runs.delete(id);
        run.signal.removeEventListener("abort", cancel);
        resolve(outcome);
      };
      host.runs.set(id, { run, settle });
      run.signal.addEventListener("abort", cancel, { once: true });
    });
    return { promise, settle };
  }

  /** Polls a host until it has no runs and no cancellations to learn of. */
  async #pollWhileBusy(host: HostState): Promise<void> {
    if (host.polling) return;
    host.polling = true;
    while (host.runs.size > 0 || host.cancelled.length > 0) {
      const { cancelled } = host;
      host.cancelled = [];
      host.polledMs = this.#options.clock.nowMs();
      const reply = await this.#options.network.request(
        { to: host.vm, channel: "runs", timeoutMs: REQUEST_TIMEOUT_MS },
        { kind: "poll", session: this.#session, cancelled },
      );
      if (reply.err) {
        this.#failHost(host, reply.val.message);
        break;
      }
      for (const news of (reply.val as PollReply).news) {
        this.#deliver(host, news);
      }
    }
    host.polling = false;
  }

  #deliver(host: HostState, news: HostedRunNews): void {
    const active = host.runs.get(news.run);
    if (active === undefined) return;
    if (news.engineLeaves) active.run.onLeaving();
    for (const event of news.events) active.run.onEvent(event);
    // The run may have been cancelled because of one of its events.
    if (news.outcome !== null) host.runs.get(news.run)?.settle(news.outcome);
  }

  #failHost(host: HostState, reason: string): void {
    const nowMs = this.#options.clock.nowMs();
    host.pausedUntilMs = nowMs + HOST_PAUSE_MS;
    host.cancelled = [];
    const runs = [...host.runs.values()];
    this.#options.events.emit(BATCHES_EVENTS.runHostFailed, {
      vm: host.vm,
      runs: runs.length,
      reason,
    });
    for (const { settle } of runs) settle({ kind: "host_failed", reason });
  }

  #hostOf(vm: string): HostState {
    const known = this.#hosts.get(vm);
    if (known !== undefined) return known;
    const created: HostState = {
      vm,
      runs: new Map(),
      cancelled: [],
      polling: false,
      polledMs: 0,
      pausedUntilMs: 0,
    };
    this.#hosts.set(vm, created);
    return created;
  }
}
