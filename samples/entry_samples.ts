/**
 * Samples at an entry VM: the routes of trainers and the generation of groups.
 *
 * @module
 */
import type {
  Blackboard,
  BoardSections,
  Clock,
  CompletionPort,
  ControlPort,
  EventLog,
  HttpRoute,
  Metrics,
  RandomSource,
  ServicePort,
} from "#core";
import type { EngineStatePort } from "./engine_state.ts";
import { EngineVersionTracker } from "./engine_version_tracker.ts";
import { GenerationWorker } from "./generation_worker.ts";
import { LedgerClient } from "./ledger_client.ts";
import { SampleMetrics } from "./sample_metrics.ts";
import { SampleRoutes } from "./sample_routes.ts";
import { ScoringClient } from "./scoring_client.ts";
import { StragglerPolicy } from "./straggler_policy.ts";

/** What samples at an entry are built from. */
export interface EntrySamplesOptions {
  readonly vm: string;
  readonly zone: string;
  readonly board: Blackboard<BoardSections>;
  readonly control: ControlPort;
  readonly completions: CompletionPort;
  readonly services: ServicePort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Reads engines that don't name their versions; without it their samples are discarded. */
  readonly engineStates?: EngineStatePort;
}

/** What samples at an entry tell of themselves. */
export interface EntrySamplesStatus {
  readonly groupsInWork: number;
  /** Tokens made and not used, over all tokens made. */
  readonly wastedPart: number;
  readonly draining: boolean;
}

/** Takes steps, makes groups and hands samples over. */
export class EntrySamples {
  readonly #generation: GenerationWorker;
  readonly #routes: SampleRoutes;
  readonly #policy = new StragglerPolicy();
  #draining = false;

  constructor(options: EntrySamplesOptions) {
    const ledger = new LedgerClient(options.control, options.clock);
    this.#generation = new GenerationWorker({
      ...options,
      ledger,
      scoring: new ScoringClient(options),
      policy: this.#policy,
      metrics: new SampleMetrics(options.metrics),
      versionTracker: options.engineStates === undefined
        ? null
        : new EngineVersionTracker({
          states: options.engineStates,
          clock: options.clock,
        }),
    });
    this.#routes = new SampleRoutes({
      ledger,
      clock: options.clock,
      events: options.events,
      isDraining: () => this.#draining,
    });
  }

  /** The routes of trainers. */
  routes(): readonly HttpRoute[] {
    return this.#routes.routes();
  }

  /** Begins to make groups. */
  start(): void {
    this.#generation.start();
  }

  /** Ends long polls, makes no new groups, and ends or gives back those in work. */
  async drain(): Promise<void> {
    this.#draining = true;
    await this.#generation.drain();
  }

  /** What is in work here. */
  status(): EntrySamplesStatus {
    return {
      groupsInWork: this.#generation.groupsInWork,
      wastedPart: this.#policy.wastedRatio(),
      draining: this.#draining,
    };
  }
}
