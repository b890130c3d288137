/**
 * Prometheus metrics of one process, with `prom-client`; histograms are labelled by tenant and class.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency buckets, in seconds. */
export const LATENCY_BUCKETS_SECONDS: readonly number[] = [
  0.001,
  0.0025,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
  30,
  60,
  120,
  300,
  540,
];

/** Name, help text and labels of one metric. */
export interface MetricOptions<Label extends string> {
  readonly name: string;
  readonly help: string;
  readonly labels: readonly Label[];
}

/** The metrics of one process; requesting an existing name returns the same metric. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #metrics = new Map<string, unknown>();

  /** Returns a counter, which only increases. */
  counter<Label extends string>(
    options: MetricOptions<Label>,
  ): Counter<Label> {
    return this.#getOrCreate(options.name, () =>
      new Counter({
        name: options.name,
        help: options.help,
        labelNames: [...options.labels],
        registers: [this.#registry],
      }));
  }

  /** Returns a gauge, whose value can increase and decrease. */
  gauge<Label extends string>(options: MetricOptions<Label>): Gauge<Label> {
    return this.#getOrCreate(options.name, () =>
      new Gauge({
        name: options.name,
        help: options.help,
        labelNames: [...options.labels],
        registers: [this.#registry],
      }));
  }

  /** Returns a histogram of durations in seconds. */
  latency<Label extends string>(
    options: MetricOptions<Label>,
  ): Histogram<Label> {
    return this.#getOrCreate(options.name, () =>
      new Histogram({
        name: options.name,
        help: options.help,
        labelNames: [...options.labels],
        buckets: [...LATENCY_BUCKETS_SECONDS],
        registers: [this.#registry],
      }));
  }

  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.#registry.metrics();
  }

  #getOrCreate<Metric>(name: string, create: () => Metric): Metric {
    const existing = this.#metrics.get(name);
    if (existing !== undefined) return existing as Metric;
    const created = create();
    this.#metrics.set(name, created);
    return created;
  }
}
