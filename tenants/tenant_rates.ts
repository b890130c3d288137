/**
 * Rates of the calls of tenants over the last seconds.
 *
 * @module
 */
import { type Milliseconds, SECOND_MS } from "#core";

/** Shorter times make the rates of small tenants noise; longer ones delay the reaction to a change. */
const SMOOTHING_MS: Milliseconds = 2 * SECOND_MS;
/** Rate from which on a tenant counts as silent. */
const MINIMUM_PER_S = 0.01;
/** Tenants stored at most; beyond, the silent ones are removed. */
const MAXIMUM_TENANTS = 1_000;

/** Calls of a tenant. */
export interface TenantCalls {
  /** Calls that began to run at an upstream. */
  readonly ran: number;
  /** Calls that ran nowhere. */
  readonly unserved: number;
}

/** Calls of a tenant for each second. */
export interface TenantRate extends TenantCalls {
  readonly tenant: string;
}

interface DecayingCalls {
  ran: number;
  unserved: number;
  atMs: Milliseconds;
}

/**
 * Counts calls with weights that decay with time.
 *
 * @example
 * ```ts
 * const rates = new TenantRates();
 * rates.add("tenant-a", { ran: 1, unserved: 0 }, clock.nowMs());
 * rates.rate("tenant-a", clock.nowMs()).ran; // 0.5
 * ```
 */
export class TenantRates {
  readonly #byTenant = new Map<string, DecayingCalls>();

  /** Adds calls of a tenant. */
  add(tenant: string, calls: TenantCalls, nowMs: Milliseconds): void {
    const stored = this.#byTenant.get(tenant);
    const decayed = decay(stored, nowMs);
    decayed.ran += calls.ran;
    decayed.unserved += calls.unserved;
    this.#byTenant.set(tenant, decayed);
    if (this.#byTenant.size > MAXIMUM_TENANTS) this.#dropSilent(nowMs);
  }

  /** Returns the rate of a tenant. */
  rate(tenant: string, nowMs: Milliseconds): TenantCalls {
    return perSecond(decay(this.#byTenant.get(tenant), nowMs));
  }

  /** Returns the rates of all tenants that send calls, the largest first. */
  all(nowMs: Milliseconds): readonly TenantRate[] {
    const rates: TenantRate[] = [];
    for (const [tenant, stored] of this.#byTenant) {
      const rate = { tenant, ...perSecond(decay(stored, nowMs)) };
      if (demandOf(rate) >= MINIMUM_PER_S) rates.push(rate);
    }
    return rates.sort((a, b) => demandOf(b) - demandOf(a));
  }

  #dropSilent(nowMs: Milliseconds): void {
    for (const [tenant, stored] of this.#byTenant) {
      const rate = perSecond(decay(stored, nowMs));
      if (demandOf(rate) < MINIMUM_PER_S) this.#byTenant.delete(tenant);
    }
  }
}

/**
 * Returns all calls of a tenant, whether or not they ran.
 *
 * @example
 * ```ts
 * demandOf({ ran: 3, unserved: 2 }); // 5
 * ```
 */
export function demandOf({ ran, unserved }: TenantCalls): number {
  return ran + unserved;
}

function decay(
  stored: DecayingCalls | undefined,
  nowMs: Milliseconds,
): DecayingCalls {
  if (stored === undefined) return { ran: 0, unserved: 0, atMs: nowMs };
  const factor = Math.exp(-Math.max(0, nowMs - stored.atMs) / SMOOTHING_MS);
  const { ran, unserved } = stored;
  return { ran: ran * factor, unserved: unserved * factor, atMs: nowMs };
}

function perSecond({ ran, unserved }: DecayingCalls): TenantCalls {
  const factor = SECOND_MS / SMOOTHING_MS;
  return { ran: ran * factor, unserved: unserved * factor };
}
