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
/** Longest wait for the first reply of an engine before runs are placed there without it. */
const MAXIMUM_WAIT_MS: Milliseconds = 100;
/** Engines asked at a time; a process that has just started needs several milliseconds for each. */
const MAXIMUM_CALLS = 8;
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
  /** Whether the latest call failed, so that the load is not known. */
  failed: boolean;
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

  /** Asks some of the engines that are due. */
  survey(engines: readonly FleetUpstream[]): void {
    if (!this.#isSearching) return;
    let calls = 0;
    let unknown = 0;
    for (const engine of engines) {
      if (this.#isUnknown(engine)) unknown += 1;
      if (calls < MAXIMUM_CALLS && this.#askIfDue(engine)) calls += 1;
    }
    if (unknown === 0 && engines.length > 0) this.#logOnce();
  }

  /** Returns what runs of others occupy on an engine; all of it until the engine has replied or had time to. */
  loadOf(engine: FleetUpstream): ForeignLoad {
    if (!this.#isSearching) return NO_LOAD;
    if (this.#isUnknown(engine)) return { runs: engine.slots, tokens: 0 };
    return this.#asked.get(incarnationOf(engine))?.load ?? NO_LOAD;
  }

  get #isSearching(): boolean {
    return this.#options.clock.nowMs() < this.#untilMs;
  }

  #isUnknown(engine: FleetUpstream): boolean {
    const asked = this.#asked.get(incarnationOf(engine));
    if (asked === undefined) return true;
    const waitedMs = this.#options.clock.nowMs() - asked.firstAskedMs;
    return !asked.replied && waitedMs < MAXIMUM_WAIT_MS;
  }

  #logOnce(): void {
    if (this.#logged) return;
    this.#logged = true;
    let runs = 0;
    let occupied = 0;
    let silent = 0;
    for (const { load, replied, failed } of this.#asked.values()) {
      runs += load.runs;
      if (load.runs > 0) occupied += 1;
      if (!replied || failed) silent += 1;
    }
    const engines = this.#asked.size;
    const counts = { engines, silent, occupied, runs };
    this.#options.events.emit(BATCHES_EVENTS.foreignRunsFound, counts);
  }

  /** Asks an engine for the first time, or again if it was occupied. Returns whether it did. */
  #askIfDue(engine: FleetUpstream): boolean {
    const nowMs = this.#options.clock.nowMs();
    const incarnation = incarnationOf(engine);
    const asked = this.#asked.get(incarnation) ?? {
      firstAskedMs: nowMs,
      nextAskMs: nowMs,
      replied: false,
      failed: false,
      load: NO_LOAD,
    };
    if (nowMs < asked.nextAskMs) return false;
    asked.nextAskMs = Infinity;
    this.#asked.set(incarnation, asked);
    void this.#ask(engine, asked);
    return true;
  }

  async #ask(engine: FleetUpstream, asked: AskedEngine): Promise<void> {
    const { clock, fetchReport, ownRuns, onReply } = this.#options;
    const report = await fetchReport(engine);
    const isFirst = !asked.replied;
    asked.replied = true;
    asked.failed = report === undefined;
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
