/**
 * Runs on engines that this VM did not start. A leader that freezes or loses its power closes no connection, so its
 * engines go on with its runs. Its successor asks the engines how full they are before it places runs there, since
 * a run that waits behind others looks like one that stalls.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
  SECOND_MS,
} from "#core";
import type { EngineReport } from "#weights";
import { BATCHES_EVENTS } from "./events.ts";

/** How long runs of an earlier leader are looked for; few texts take longer. */
const SEARCH_MS: Milliseconds = 12 * SECOND_MS;
/** Longest wait for the first reply of an engine before runs are placed without it. */
const MAXIMUM_WAIT_MS: Milliseconds = 100;
const REPEAT_INTERVAL_MS: Milliseconds = 400;

/** What runs of others occupy on an engine. */
export interface ForeignLoad {
  readonly runs: number;
  /** Tokens in the cache of the engine. */
  readonly tokens: number;
}

const NO_LOAD: ForeignLoad = { runs: 0, tokens: 0 };

interface AskedEngine {
  readonly firstAskedMs: Milliseconds;
  nextAskMs: Milliseconds;
  replied: boolean;
  load: ForeignLoad;
}

/** Options of `ForeignRuns`. */
export interface ForeignRunsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** Fetches the state of an engine; returns undefined if the call fails. */
  readonly fetchReport: (
    engine: FleetUpstream,
  ) => Promise<EngineReport | undefined>;
  /** Returns the number of runs that this VM has on an engine, by its incarnation. */
  readonly ownRuns: (incarnation: string) => number;
  /** Called when an engine has replied. */
  readonly onReply: () => void;
}

/** Finds out which engines are occupied by runs of an earlier leader. */
export class ForeignRuns {
  readonly #options: ForeignRunsOptions;
  readonly #asked = new Map<string, AskedEngine>();
  #untilMs: Milliseconds = -Infinity;
  #logged = false;

  constructor(options: ForeignRunsOptions) {
    this.#options = options;
  }

  /** Starts to look for the runs of an earlier leader. */
  start(): void {
    this.#asked.clear();
    this.#untilMs = this.#options.clock.nowMs() + SEARCH_MS;
    this.#logged = false;
  }

  /** Forgets all runs. */
  stop(): void {
    this.#asked.clear();
    this.#untilMs = -Infinity;
  }

  /** Asks the engines that are due; returns whether to wait for their replies before runs are placed. */
  survey(engines: readonly FleetUpstream[]): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs >= this.#untilMs) return false;
    let mustWait = false;
    for (const engine of engines) {
      const asked = this.#askIfDue(engine, nowMs);
      const waitedMs = nowMs - asked.firstAskedMs;
      mustWait ||= !asked.replied && waitedMs < MAXIMUM_WAIT_MS;
    }
    if (!mustWait && engines.length > 0) this.#logOnce();
    return mustWait;
  }

  /** Returns what runs of others occupy on an engine, as far as it is known. */
  loadOf(incarnation: string): ForeignLoad {
    if (this.#options.clock.nowMs() >= this.#untilMs) return NO_LOAD;
    return this.#asked.get(incarnation)?.load ?? NO_LOAD;
  }

  #logOnce(): void {
    if (this.#logged) return;
    this.#logged = true;
    let runs = 0;
    let occupied = 0;
    let silent = 0;
    for (const { load, replied } of this.#asked.values()) {
      runs += load.runs;
      if (load.runs > 0) occupied += 1;
      if (!replied) silent += 1;
    }
    const engines = this.#asked.size;
    const counts = { engines, silent, occupied, runs };
    this.#options.events.emit(BATCHES_EVENTS.foreignRunsFound, counts);
  }

  #askIfDue(engine: FleetUpstream, nowMs: Milliseconds): AskedEngine {
    const incarnation = incarnationOf(engine);
    const known = this.#asked.get(incarnation);
    if (known === undefined) {
      const asked = {
        firstAskedMs: nowMs,
        nextAskMs: Infinity,
        replied: false,
        load: NO_LOAD,
      };
      this.#asked.set(incarnation, asked);
      void this.#ask(engine, asked);
      return asked;
    }
    if (nowMs >= known.nextAskMs) {
      known.nextAskMs = Infinity;
      void this.#ask(engine, known);
    }
    return known;
  }

  async #ask(engine: FleetUpstream, asked: AskedEngine): Promise<void> {
    const { clock, fetchReport, ownRuns, onReply } = this.#options;
    const report = await fetchReport(engine);
    const isFirst = !asked.replied;
    asked.replied = true;
    if (report !== undefined) {
      const runs = Math.max(0, report.runs - ownRuns(incarnationOf(engine)));
      asked.load = leastLoad(isFirst ? undefined : asked.load, {
        runs,
        tokens: report.usedTokens * runs / Math.max(1, report.runs),
      });
    }
    const isOccupied = asked.load.runs > 0;
    if (isOccupied) asked.nextAskMs = clock.nowMs() + REPEAT_INTERVAL_MS;
    onReply();
  }
}

/** Reports are some time old and may still count runs of this VM that have ended, so a load never grows. */
function leastLoad(
  before: ForeignLoad | undefined,
  reported: ForeignLoad,
): ForeignLoad {
  if (before === undefined || reported.runs <= before.runs) return reported;
  return before;
}
