/**
 * Metrics of one process, by `prom-client`, with histograms labelled by tenant and class.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Bounds of latency buckets, in seconds. */
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

/** The metrics of one process; asking for a name again gives the same metric. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #known = new Map<string, unknown>();

  /** A count that only grows. */
  counter<Label extends string>(
    options: MetricOptions<Label>,
  ): Counter<Label> {
    return this.#once(options.name, () =>
      new Counter({
        name: options.name,
        help: options.help,
        labelNames: [...options.labels],
        registers: [this.#registry],
      }));
  }

  /** A value that goes up and down. */
  gauge<Label extends string>(options: MetricOptions<Label>): Gauge<Label> {
    return this.#once(options.name, () =>
      new Gauge({
        name: options.name,
        help: options.help,
        labelNames: [...options.labels],
        registers: [this.#registry],
      }));
  }

  /** A histogram of durations in seconds. */
  latency<Label extends string>(
    options: MetricOptions<Label>,
  ): Histogram<Label> {
    return this.#once(options.name, () =>
      new Histogram({
        name: options.name,
        help: options.help,
        labelNames: [...options.labels],
        buckets: [...LATENCY_BUCKETS_SECONDS],
        registers: [this.#registry],
      }));
  }

  /** All metrics in the text format that Prometheus reads. */
  render(): Promise<string> {
    return this.#registry.metrics();
  }

  #once<Metric>(name: string, make: () => Metric): Metric {
    const known = this.#known.get(name);
    if (known !== undefined) return known as Metric;
    const made = make();
    this.#known.set(name, made);
    return made;
  }
}
