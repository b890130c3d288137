/**
 * Runs items on engines on behalf of the leader of the batch log. Each stream of an engine costs system calls for every
 * event; with hundreds of streams a single VM has no time left for its heartbeats. A host reads the streams of engines
 * near it and passes their events on in batches.
 *
 * @module
 */
import {
  type Clock,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
  type Timer,
} from "#core";
import type { UpstreamDialect, UpstreamHttp } from "#requests";
import type { PeerNetwork } from "#wire";
import { type GeneratedEvent, runItem, type RunOutcome } from "./item_run.ts";
import {
  type AllowedVersions,
  type HostedEvent,
  type HostedRunNews,
  type HostedRunOrder,
  parseRunHostRequest,
  type PollReply,
  type RunHostRequest,
} from "./run_host_messages.ts";

/** Time between two replies to a leader, so that events are passed on in batches. */
const REPLY_INTERVAL_MS: Milliseconds = 60;
/** Time after which a poll without news is answered. */
const MAXIMUM_POLL_MS: Milliseconds = 250;
/** Time without a poll after which the runs of a session are cancelled. */
const SESSION_TIMEOUT_MS: Milliseconds = 1_200;

/** Options of `RunHost`. */
export interface RunHostOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly dialect: UpstreamDialect;
  readonly http: UpstreamHttp;
  /** Runs an item; `runItem` if absent. */
  readonly execute?: typeof runItem;
}

/** A run with what the leader does not know yet. */
class HostedRun {
  readonly abort = new AbortController();
  readonly used: Set<number>;
  outcome: RunOutcome | null = null;
  engineLeaves = false;
  #events: HostedEvent[] = [];
  #lastMs: Milliseconds | undefined;
  #reportedLeaves = false;

  constructor(readonly order: HostedRunOrder) {
    this.used = new Set(order.versions.used);
  }

  get hasNews(): boolean {
    return this.#events.length > 0 || this.outcome !== null ||
      this.engineLeaves !== this.#reportedLeaves;
  }

  addEvent(event: GeneratedEvent, nowMs: Milliseconds): void {
    const intervalMs = this.#lastMs === undefined ? null : nowMs - this.#lastMs;
    this.#lastMs = nowMs;
    this.used.add(event.version);
    this.#events.push({ ...event, intervalMs });
  }

  takeNews(): HostedRunNews {
    const events = this.#events;
    this.#events = [];
    this.#reportedLeaves = this.engineLeaves;
    const { engineLeaves, outcome } = this;
    return { run: this.order.run, events, engineLeaves, outcome };
  }
}

/** The runs of one leadership. */
interface Session {
  readonly id: string;
  readonly runs: Map<string, HostedRun>;
  polledMs: Milliseconds;
  repliedMs: Milliseconds;
  /** Answers the poll that waits, if there is one. */
  wake: (() => void) | undefined;
}

/** Carries out runs for the leaders that ask for them. */
export class RunHost {
  readonly #options: RunHostOptions;
  readonly #sessions = new Map<string, Session>();
  #ticks: Timer | undefined;

  constructor(options: RunHostOptions) {
    this.#options = options;
  }

  /** Starts to serve requests. */
  start(): void {
    const { network, clock } = this.#options;
    network.onRequest("runs", (from, body) => this.#handleRequest(from, body));
    this.#ticks = clock.every(
      SESSION_TIMEOUT_MS / 4,
      () => this.#endSilentSessions(),
    );
  }

  /** Cancels all runs; their leaders resume them elsewhere. */
  stop(): void {
    this.#ticks?.cancel();
    for (const session of this.#sessions.values()) cancelAll(session);
    this.#sessions.clear();
  }

  #handleRequest(
    from: string,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const request = parseRunHostRequest(body);
    if (request === undefined) {
      const failure = fail("malformed_request", "malformed run request");
      return Promise.resolve(Err(failure));
    }
    const session = this.#sessionOf(from, request.session);
    if (request.kind === "poll") return this.#poll(session, request);
    this.#run(session, new HostedRun(request.order));
    return Promise.resolve(Ok(null));
  }

  #sessionOf(leader: string, id: string): Session {
    const nowMs = this.#options.clock.nowMs();
    const known = this.#sessions.get(leader);
    if (known?.id === id) return known;
    if (known !== undefined) cancelAll(known);
    const session: Session = {
      id,
      runs: new Map(),
      polledMs: nowMs,
      repliedMs: nowMs,
      wake: undefined,
    };
    this.#sessions.set(leader, session);
    return session;
  }

  async #poll(
    session: Session,
    request: Extract<RunHostRequest, { kind: "poll" }>,
  ): Promise<Result<PollReply, Failure>> {
    const { clock } = this.#options;
    for (const run of request.cancelled) {
      session.runs.get(run)?.abort.abort();
      session.runs.delete(run);
    }
    session.polledMs = clock.nowMs();
    await this.#waitForNews(session);
    session.polledMs = clock.nowMs();
    session.repliedMs = clock.nowMs();
    const news: HostedRunNews[] = [];
    for (const run of session.runs.values()) {
      if (!run.hasNews) continue;
      news.push(run.takeNews());
      if (run.outcome !== null) session.runs.delete(run.order.run);
    }
    return Ok({ news });
  }

  async #waitForNews(session: Session): Promise<void> {
    const { clock } = this.#options;
    const sinceReplyMs = clock.nowMs() - session.repliedMs;
    if (sinceReplyMs < REPLY_INTERVAL_MS) {
      await clock.sleep(REPLY_INTERVAL_MS - sinceReplyMs);
    }
    for (const run of session.runs.values()) if (run.hasNews) return;
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        timer.cancel();
        session.wake = undefined;
        resolve();
      };
      const timer = clock.after(MAXIMUM_POLL_MS, wake);
      session.wake = wake;
    });
  }

  async #run(session: Session, run: HostedRun): Promise<void> {
    const { clock, dialect, execute = runItem, http } = this.#options;
    const { order } = run;
    session.runs.set(order.run, run);
    run.outcome = await execute({
      http,
      dialect,
      upstream: order.upstream,
      batch: { host: order.host },
      item: order.item,
      afterEvent: order.afterEvent,
      allowsVersion: (version) => allows(order.versions, run.used, version),
      signal: run.abort.signal,
      onLeaving: () => {
        run.engineLeaves = true;
      },
      onEvent: (event) => {
        run.addEvent(event, clock.nowMs());
        session.wake?.();
      },
    });
    session.wake?.();
  }

  #endSilentSessions(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [leader, session] of this.#sessions) {
      if (nowMs - session.polledMs < SESSION_TIMEOUT_MS) continue;
      cancelAll(session);
      this.#sessions.delete(leader);
    }
  }
}

function cancelAll(session: Session): void {
  for (const run of session.runs.values()) run.abort.abort();
  session.runs.clear();
}

function allows(
  versions: AllowedVersions,
  used: ReadonlySet<number>,
  version: number,
): boolean {
  if (version < versions.minimum) return false;
  return !versions.single || used.size === 0 || used.has(version);
}
