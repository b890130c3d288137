/**
 * Request metrics by tenant and class.
 *
 * @module
 */
import {
  type ErrorKind,
  type Failure,
  type Metrics,
  type Milliseconds,
  SECOND_MS,
} from "#core";

/** Metric labels of a request. */
export interface RequestLabels {
  readonly tenant: string;
  readonly class: string;
}

/** Counters and latency histograms of requests. */
export class RequestMetrics {
  readonly #waitSeconds;
  readonly #durationSeconds;
  readonly #failures;
  readonly #attempts;
  readonly #foreignResponses;

  constructor(metrics: Metrics) {
    const labels = ["tenant", "class"] as const;
    this.#waitSeconds = metrics.latency({
      name: "cicadafield_request_wait_seconds",
      help: "Time from arrival until dispatch",
      labels,
    });
    this.#durationSeconds = metrics.latency({
      name: "cicadafield_request_duration_seconds",
      help: "Time from arrival until the complete response",
      labels,
    });
    this.#failures = metrics.counter({
      name: "cicadafield_request_failures_total",
      help: "Failed requests by kind of failure",
      labels: ["tenant", "class", "kind", "ran"],
    });
    this.#attempts = metrics.counter({
      name: "cicadafield_request_attempts_total",
      help: "Attempts sent to upstreams",
      labels,
    });
    this.#foreignResponses = metrics.counter({
      name: "cicadafield_foreign_answers_total",
      help: "Responses dropped because they belong to another request",
      labels: ["upstream"],
    });
  }

  /** Records the dispatch of a request to an upstream. */
  recordDispatch(labels: RequestLabels, waitedMs: Milliseconds): void {
    this.#waitSeconds.observe(labels, waitedMs / SECOND_MS);
    this.#attempts.inc(labels);
  }

  /** Records a complete response. */
  recordResponse(labels: RequestLabels, durationMs: Milliseconds): void {
    this.#durationSeconds.observe(labels, durationMs / SECOND_MS);
  }

  /** Records a failed request. */
  recordFailure(labels: RequestLabels, failure: Failure): void {
    const kind: ErrorKind = failure.kind;
    this.#failures.inc({ ...labels, kind, ran: failure.ran });
  }

  /** Records a response from `upstream` that belongs to another request. */
  recordForeignResponse(upstream: string): void {
    this.#foreignResponses.inc({ upstream });
  }
}
