/**
 * Request handling of one entry VM; creates and connects the components of this folder.
 *
 * @module
 */
import {
  type Blackboard,
  type BoardSections,
  type Clock,
  type CompletionPort,
  type ControlPort,
  type EventLog,
  fail,
  type HttpRoute,
  jsonResponse,
  type Metrics,
  type Milliseconds,
  type RandomSource,
  type ServicePort,
} from "#core";
import type { PeerNetwork } from "#wire";
import { ClaimClient } from "./claim_client.ts";
import { completionRoute } from "./completion_route.ts";
import { EngineCompletions } from "./completions.ts";
import { type Decision, DecisionLog } from "./decision_log.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import { RequestMetrics } from "./request_metrics.ts";
import { RetryBudget } from "./retry_budget.ts";
import { serviceRoute } from "./service_route.ts";
import { RoutedServices } from "./services.ts";
import { type UpstreamCaller, UpstreamClient } from "./upstream_client.ts";
import { WorkGate } from "./work_gate.ts";

const DRAIN_CHECK_MS: Milliseconds = 10;

/** Options of `EntryRequests`. */
export interface EntryRequestsOptions {
  readonly vm: string;
  readonly zone: string;
  /** Local address of outgoing connections. */
  readonly sourceHost: string;
  readonly board: Blackboard<BoardSections>;
  readonly control: ControlPort;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Client for calls to upstreams; defaults to an HTTP client. */
  readonly client?: UpstreamCaller;
}

/** Request counts of an entry VM. */
export interface RequestsStatus {
  readonly queued: number;
  /** Currently at an upstream. */
  readonly running: number;
  /** Unfinished: queued, running, between attempts, or with a response being stored. */
  readonly open: number;
}

/**
 * Routes requests of callers, trainers and the other domains of the program to upstreams.
 *
 * @example
 * ```ts
 * const requests = new EntryRequests(options);
 * requests.start();
 * const result = await requests.completions.complete(call);
 * await requests.drain();
 * requests.stop();
 * ```
 */
export class EntryRequests {
  readonly #dependencies: RequestDependencies;
  readonly #completions: EngineCompletions;
  readonly #services: RoutedServices;

  constructor(options: EntryRequestsOptions) {
    const decisions = new DecisionLog(options.clock);
    this.#dependencies = {
      ...options,
      decisions,
      gate: new WorkGate({ ...options, decisions }),
      client: options.client ?? new UpstreamClient(options),
      claims: new ClaimClient(options),
      budget: new RetryBudget(),
      metrics: new RequestMetrics(options.metrics),
    };
    this.#completions = new EngineCompletions(this.#dependencies);
    this.#services = new RoutedServices(this.#dependencies);
  }

  /** Port that runs completions on engines. */
  get completions(): CompletionPort {
    return this.#completions;
  }

  /** Port that calls plain services. */
  get services(): ServicePort {
    return this.#services;
  }

  /** Returns the HTTP routes of callers' requests. */
  routes(): readonly HttpRoute[] {
    return [
      completionRoute({
        dependencies: this.#dependencies,
        completions: this.#completions,
      }),
      serviceRoute(this.#dependencies, this.#services),
      this.#explainRoute(),
    ];
  }

  /** Starts the timers and subscribes to the blackboard. */
  start(): void {
    this.#dependencies.gate.start();
  }

  /** Resolves when no request is unfinished; new requests are still accepted meanwhile. */
  async drain(): Promise<void> {
    while (this.status().open > 0) {
      await this.#dependencies.clock.sleep(DRAIN_CHECK_MS);
    }
  }

  /** Stops the timers and closes idle connections. */
  stop(): void {
    this.#dependencies.gate.stop();
    this.#dependencies.client.close();
  }

  /** Returns the current request counts. */
  status(): RequestsStatus {
    const { gate, claims } = this.#dependencies;
    return {
      queued: gate.scheduler.queued,
      running: gate.scheduler.running,
      open: this.#completions.openCalls + this.#services.openCalls +
        claims.pending,
    };
  }

  /** Returns the logged routing decisions of a request, or undefined if they are no longer stored. */
  explain(requestId: string): readonly Decision[] | undefined {
    return this.#dependencies.decisions.find(requestId);
  }

  #explainRoute(): HttpRoute {
    return {
      method: "GET",
      pattern: "/v1/explain/:request",
      name: "explain",
      handle: (call) => {
        const request = call.parameters["request"] ?? "";
        const decisions = this.explain(request);
        return Promise.resolve(
          decisions === undefined
            ? fail(
              "not_found",
              `no decisions are stored for request ${request}`,
            )
            : jsonResponse(200, { request, decisions }),
        );
      },
    };
  }
}
