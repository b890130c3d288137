/**
 * Metrics of usage reports.
 *
 * @module
 */
import type { Metrics } from "#core";

/** Counters of a control VM. */
export interface UsageMetrics {
  /** Counts a window whose counts were settled. */
  readonly addSettled: () => void;
  /** Counts a window that was reported. */
  readonly addReported: () => void;
  /** Counts a window that was reported after it was due, or not at all. */
  readonly addLate: () => void;
  /** Counts calls that are in no report. */
  readonly addUncounted: (calls: number) => void;
}

/** Returns the counters of a control VM. */
export function usageMetrics(metrics: Metrics): UsageMetrics {
  const counter = (name: string, help: string) =>
    metrics.counter({ name, help, labels: [] });
  const settled = counter(
    "cicadafield_usage_windows_settled_total",
    "Windows whose counts were settled.",
  );
  const reported = counter(
    "cicadafield_usage_windows_reported_total",
    "Windows that were reported and accepted.",
  );
  const late = counter(
    "cicadafield_usage_windows_late_total",
    "Windows that were reported after they were due, or not at all.",
  );
  const uncounted = counter(
    "cicadafield_usage_calls_uncounted_total",
    "Calls that were counted after their window had been settled.",
  );
  return {
    addSettled: () => settled.inc(),
    addReported: () => reported.inc(),
    addLate: () => late.inc(),
    addUncounted: (calls) => uncounted.inc(calls),
  };
}
