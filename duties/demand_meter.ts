/**
 * Rates of the calls of tenants over all entry VMs, from the counts that they send.
 *
 * @module
 */
import { type Milliseconds, MINUTE_MS } from "#core";
import {
  encodeTenantDemand,
  type TenantCalls,
  type TenantDemandMessage,
  TenantRates,
} from "#tenants";

/** Time without counts after which a process is forgotten. */
const FORGOTTEN_AFTER_MS: Milliseconds = MINUTE_MS;
/** Processes from which on those without counts are removed. */
const MANY_PROCESSES = 512;

interface KnownCounts {
  readonly byTenant: Map<string, number>;
  atMs: Milliseconds;
}

/** Measures the demand of tenants. */
export class DemandMeter {
  readonly #rates = new TenantRates();
  readonly #unserved = new Map<string, KnownCounts>();

  /** Adds calls that ran. */
  addRan(tenant: string, calls: number, nowMs: Milliseconds): void {
    this.#add(tenant, { ran: calls, unserved: 0 }, nowMs);
  }

  /**
   * Processes the calls that ran nowhere since the start of a process. Counts may arrive twice and in any order. The first
   * one of a process that is not new does not tell when its calls were, so that only later ones add to it.
   */
  recordUnserved(
    process: string,
    counts: Readonly<Record<string, number>>,
    nowMs: Milliseconds,
  ): void {
    const known = this.#unserved.get(process) ??
      { byTenant: new Map<string, number>(), atMs: nowMs };
    this.#unserved.set(process, known);
    known.atMs = nowMs;
    for (const [tenant, count] of Object.entries(counts)) {
      const previous = known.byTenant.get(tenant) ?? count;
      known.byTenant.set(tenant, Math.max(previous, count));
      if (count <= previous) continue;
      this.#add(tenant, { ran: 0, unserved: count - previous }, nowMs);
    }
    if (this.#unserved.size > MANY_PROCESSES) this.#forget(nowMs);
  }

  /** Returns the demand for a message; undefined if no calls are known. */
  demand(nowMs: Milliseconds): TenantDemandMessage | undefined {
    const rates = this.#rates.all(nowMs);
    return rates.length === 0 ? undefined : encodeTenantDemand(rates);
  }

  #add(tenant: string, calls: TenantCalls, nowMs: Milliseconds): void {
    this.#rates.add(tenant, calls, nowMs);
  }

  #forget(nowMs: Milliseconds): void {
    for (const [process, { atMs }] of this.#unserved) {
      if (nowMs - atMs > FORGOTTEN_AFTER_MS) this.#unserved.delete(process);
    }
  }
}
