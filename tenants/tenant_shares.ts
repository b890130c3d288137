/**
 * Decides which calls of tenants are rejected while a service can't run all of them. Performs no I/O.
 *
 * Each service has a limit for the calls of a tenant, the same for all tenants of a priority: as large as possible while
 * the calls of all tenants fit into what ran lately (max-min fairness). What ran lately is corrected by the overload that
 * this VM observes, so that the limit follows the capacity.
 *
 * @module
 */
import {
  type Milliseconds,
  type RandomSource,
  SECOND_MS,
  type WeightedService,
} from "#core";
import { ServiceOverload } from "./service_overload.ts";
import {
  type DemandLevel,
  fairLimit,
  type TenantDemand,
} from "./tenant_demand.ts";
import { demandOf, type TenantCalls, TenantRates } from "./tenant_rates.ts";

/** Age beyond which the demand that a control VM reported is ignored; it is requested each second. */
const DEMAND_VALID_MS: Milliseconds = 5 * SECOND_MS;
/** Time in which a VM that reaches a control VM gets the demand. Before, it would reject calls of tenants that are small elsewhere. */
const DEMAND_WAIT_MS: Milliseconds = 2.5 * SECOND_MS;
/** Time after overload for which the demand is still of interest. */
const OVERLOAD_MEMORY_MS: Milliseconds = 30 * SECOND_MS;
/** Interval at which a limit is computed. */
const LIMIT_INTERVAL_MS: Milliseconds = 100;
/** Without a minimum, a VM without reports of the demand would reject all calls for good after none ran for a while. */
const MINIMUM_CAPACITY_PER_S = 1;
const MINIMUM_RETRY_MS: Milliseconds = SECOND_MS;
/** With longer times, callers would stay away long after there is capacity again. */
const MAXIMUM_RETRY_MS: Milliseconds = 6 * SECOND_MS;
/** Part of the time until a retry that is drawn for each call, so that callers don't return at once. */
const RETRY_SPREAD = 0.5;

/** A call of a tenant. */
export interface TenantCall {
  readonly tenant: string;
  readonly priority: number;
  /** The services one of which runs the call. */
  readonly split: readonly WeightedService[];
}

/** Whether a call may be sent to an upstream. */
export type ShareVerdict =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "rejected";
    readonly retryAfterMs: Milliseconds;
    /** Share of the tenant's calls that are admitted. */
    readonly admitted: number;
    readonly service: string;
  };

/** Options of `TenantShares`. */
export interface TenantSharesOptions {
  readonly random: RandomSource;
  /** Returns the priority of a tenant; null if it has none. */
  readonly priorityOf: (tenant: string) => number | null;
}

/** The tenants of one priority at one service. */
interface SharedService {
  readonly service: string;
  readonly priority: number;
  readonly overload: ServiceOverload;
  /** Calls at this VM. */
  readonly rates: TenantRates;
  limitPerS: number;
  limitAtMs: Milliseconds;
}

/** Decides for one entry VM. */
export class TenantShares {
  readonly #options: TenantSharesOptions;
  readonly #services = new Map<string, SharedService>();
  /** Calls at this VM for all services. */
  readonly #rates = new TenantRates();
  #demand: TenantDemand | undefined;
  #demandAtMs: Milliseconds = -Infinity;
  #overloadAtMs: Milliseconds = -Infinity;
  /** When overload was first observed while no demand was known. */
  #unknownSinceMs: Milliseconds = Infinity;

  constructor(options: TenantSharesOptions) {
    this.#options = options;
  }

  /** Decides about a call before it is sent to any upstream. */
  decide(call: TenantCall, nowMs: Milliseconds): ShareVerdict {
    const { random } = this.#options;
    const total = call.split.reduce((sum, { weight }) => sum + weight, 0);
    let admitted = 0;
    let least = 1;
    let tightest = "";
    for (const { service, weight } of call.split) {
      const fraction = this.#admittedFraction(call, service, nowMs);
      admitted += fraction * weight / total;
      if (fraction >= least) continue;
      least = fraction;
      tightest = service;
    }
    if (least === 1 || random.fraction() < admitted) {
      return { kind: "admitted" };
    }
    const retryAfterMs = Math.round(retryMs(admitted, random));
    return { kind: "rejected", retryAfterMs, admitted, service: tightest };
  }

  /** Records the end of an attempt at an upstream; `isOverload` if it was rejected as not run or took longer than the objective. */
  recordAttempt(
    attempt: {
      readonly service: string;
      readonly priority: number;
      readonly isOverload: boolean;
    },
    nowMs: Milliseconds,
  ): void {
    const { service, priority, isOverload } = attempt;
    this.#shared(service, priority).overload.record(isOverload, nowMs);
    if (!isOverload) return;
    this.#overloadAtMs = nowMs;
    const isKnown = this.#freshDemand(nowMs) !== undefined;
    if (isKnown) this.#unknownSinceMs = Infinity;
    else this.#unknownSinceMs = Math.min(this.#unknownSinceMs, nowMs);
  }

  /** Records that calls of a tenant ran, or ran nowhere, rejected ones included. */
  recordCalls(
    call: TenantCall,
    calls: TenantCalls,
    nowMs: Milliseconds,
  ): void {
    this.#rates.add(call.tenant, calls, nowMs);
    const total = call.split.reduce((sum, { weight }) => sum + weight, 0);
    for (const { service, weight } of call.split) {
      if (weight <= 0) continue;
      const { rates } = this.#shared(service, call.priority);
      rates.add(call.tenant, scaled(calls, weight / total), nowMs);
    }
  }

  /** Stores the demand over all entry VMs that a control VM reported. */
  recordDemand(demand: TenantDemand, nowMs: Milliseconds): void {
    this.#demand = demand;
    this.#demandAtMs = nowMs;
    this.#unknownSinceMs = Infinity;
  }

  /** Whether a control VM should report the demand. */
  needsDemand(nowMs: Milliseconds): boolean {
    return nowMs - this.#overloadAtMs < OVERLOAD_MEMORY_MS;
  }

  #admittedFraction(
    { tenant, priority }: TenantCall,
    service: string,
    nowMs: Milliseconds,
  ): number {
    const shared = this.#services.get(keyOf(service, priority));
    if (shared === undefined || !shared.overload.isActive(nowMs)) return 1;
    const limitPerS = this.#limitPerS(shared, nowMs);
    if (limitPerS === Infinity) return 1;
    const demandPerS = this.#demandPerS(shared, tenant, nowMs);
    return demandPerS <= limitPerS ? 1 : limitPerS / demandPerS;
  }

  #limitPerS(shared: SharedService, nowMs: Milliseconds): number {
    if (nowMs - shared.limitAtMs < LIMIT_INTERVAL_MS) return shared.limitPerS;
    shared.limitAtMs = nowMs;
    shared.limitPerS = Infinity;
    const levels = this.#levels(shared, nowMs);
    if (levels === undefined) return Infinity;
    const capacityPerS = levels.ranPerS *
      shared.overload.capacityFactor(nowMs);
    shared.limitPerS = fairLimit(levels.demands, capacityPerS);
    if (shared.limitPerS === Infinity) shared.overload.endIfOver(nowMs);
    return shared.limitPerS;
  }

  /** Returns the demand of all tenants at a service; undefined while a control VM may still report it. */
  #levels(shared: SharedService, nowMs: Milliseconds): {
    readonly demands: readonly DemandLevel[];
    readonly ranPerS: number;
  } | undefined {
    const demands: DemandLevel[] = [];
    let ranPerS = 0;
    const demand = this.#freshDemand(nowMs);
    if (demand === undefined) {
      if (nowMs - this.#unknownSinceMs < DEMAND_WAIT_MS) return undefined;
      for (const rate of shared.rates.all(nowMs)) {
        demands.push({ tenants: 1, perS: demandOf(rate) });
        ranPerS += rate.ran;
      }
      return { demands, ranPerS: Math.max(ranPerS, MINIMUM_CAPACITY_PER_S) };
    }
    const { priorityOf } = this.#options;
    for (const rate of demand.named) {
      if ((priorityOf(rate.tenant) ?? shared.priority) !== shared.priority) {
        continue;
      }
      const part = this.#partOf(shared, rate.tenant, nowMs);
      demands.push({ tenants: 1, perS: demandOf(rate) * part });
      ranPerS += rate.ran * part;
    }
    const { others } = demand;
    if (others.tenants === 0) return { demands, ranPerS };
    const part = this.#partOfAll(shared, nowMs);
    const { tenants } = others;
    demands.push({ tenants, perS: demandOf(others) * part / tenants });
    return { demands, ranPerS: ranPerS + others.ran * part };
  }

  #demandPerS(
    shared: SharedService,
    tenant: string,
    nowMs: Milliseconds,
  ): number {
    const ownPerS = demandOf(shared.rates.rate(tenant, nowMs));
    const demand = this.#freshDemand(nowMs);
    if (demand === undefined) return ownPerS;
    const named = demand.named.find((rate) => rate.tenant === tenant);
    if (named !== undefined) {
      return demandOf(named) * this.#partOf(shared, tenant, nowMs);
    }
    const { others } = demand;
    const meanPerS = demandOf(others) / Math.max(1, others.tenants);
    return meanPerS * this.#partOfAll(shared, nowMs);
  }

  /** Returns the part of a tenant's calls that go to a service, as control VMs know their total only. */
  #partOf(
    shared: SharedService,
    tenant: string,
    nowMs: Milliseconds,
  ): number {
    const totalPerS = demandOf(this.#rates.rate(tenant, nowMs));
    const ownPerS = demandOf(shared.rates.rate(tenant, nowMs));
    return totalPerS > 0 ? ownPerS / totalPerS : this.#partOfAll(shared, nowMs);
  }

  #partOfAll(shared: SharedService, nowMs: Milliseconds): number {
    const total = totalOf(this.#rates, nowMs);
    return total > 0 ? totalOf(shared.rates, nowMs) / total : 1;
  }

  #freshDemand(nowMs: Milliseconds): TenantDemand | undefined {
    const isFresh = nowMs - this.#demandAtMs <= DEMAND_VALID_MS;
    return isFresh ? this.#demand : undefined;
  }

  #shared(service: string, priority: number): SharedService {
    const key = keyOf(service, priority);
    const existing = this.#services.get(key);
    if (existing !== undefined) return existing;
    const created: SharedService = {
      service,
      priority,
      overload: new ServiceOverload(),
      rates: new TenantRates(),
      limitPerS: Infinity,
      limitAtMs: -Infinity,
    };
    this.#services.set(key, created);
    return created;
  }
}

function keyOf(service: string, priority: number): string {
  return `${priority} ${service}`;
}

function scaled({ ran, unserved }: TenantCalls, factor: number): TenantCalls {
  return { ran: ran * factor, unserved: unserved * factor };
}

function totalOf(rates: TenantRates, nowMs: Milliseconds): number {
  return rates.all(nowMs).reduce((sum, each) => sum + demandOf(each), 0);
}

/** The fewer calls of a tenant are admitted, the later its callers should return. */
function retryMs(admitted: number, random: RandomSource): Milliseconds {
  const meanMs = Math.min(MAXIMUM_RETRY_MS, MINIMUM_RETRY_MS / admitted);
  return meanMs * (1 + RETRY_SPREAD * (2 * random.fraction() - 1));
}
