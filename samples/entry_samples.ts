/**
 * Samples at an entry VM: the HTTP routes for trainers and the generation of groups.
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

/** Options of `EntrySamples`. */
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
  /** Reads the state of engines that don't report versions; without it their samples are discarded. */
  readonly engineStates?: EngineStatePort;
}

/** Status of sample generation at an entry. */
export interface EntrySamplesStatus {
  readonly groupsInWork: number;
  /** Share of generated tokens that were not used. */
  readonly wastedPart: number;
  readonly draining: boolean;
}

/** Accepts steps, generates groups and delivers samples. */
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

  /** Returns the HTTP routes for trainers. */
  routes(): readonly HttpRoute[] {
    return this.#routes.routes();
  }

  /** Starts generating groups. */
  start(): void {
    this.#generation.start();
  }

  /** Ends long polls, leases no new groups, and finishes or releases the running ones. */
  async drain(): Promise<void> {
    this.#draining = true;
    await this.#generation.drain();
  }

  /** Returns the status of sample generation. */
  status(): EntrySamplesStatus {
    return {
      groupsInWork: this.#generation.groupsInWork,
      wastedPart: this.#policy.wastedRatio(),
      draining: this.#draining,
    };
  }
}
