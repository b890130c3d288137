/**
 * Metrics of requests, by tenant and class.
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

/** Whose request it is. */
export interface RequestLabels {
  readonly tenant: string;
  readonly class: string;
}

/** Counts and histograms of requests. */
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
      help: "Time from arrival until the whole answer",
      labels,
    });
    this.#failures = metrics.counter({
      name: "cicadafield_request_failures_total",
      help: "Requests that ended with a failure, by kind",
      labels: ["tenant", "class", "kind", "ran"],
    });
    this.#attempts = metrics.counter({
      name: "cicadafield_request_attempts_total",
      help: "Attempts at upstreams",
      labels,
    });
    this.#foreignResponses = metrics.counter({
      name: "cicadafield_foreign_answers_total",
      help: "Answers dropped because they belong to another request",
      labels: ["upstream"],
    });
  }

  /** Notes a dispatch. */
  recordDispatch(labels: RequestLabels, waitedMs: Milliseconds): void {
    this.#waitSeconds.observe(labels, waitedMs / SECOND_MS);
    this.#attempts.inc(labels);
  }

  /** Notes a whole answer. */
  recordResponse(labels: RequestLabels, tookMs: Milliseconds): void {
    this.#durationSeconds.observe(labels, tookMs / SECOND_MS);
  }

  /** Notes a failure. */
  recordFailure(labels: RequestLabels, failure: Failure): void {
    const kind: ErrorKind = failure.kind;
    this.#failures.inc({ ...labels, kind, ran: failure.ran });
  }

  /** Notes an answer of another request. */
  recordForeignResponse(upstream: string): void {
    this.#foreignResponses.inc({ upstream });
  }
}
