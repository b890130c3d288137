/**
 * How the entry VMs of `share_world` learn of the calls of tenants at other VMs, late and with losses, and how they
 * decide by it.
 *
 * @module
 */
import type { Milliseconds, RandomSource } from "#core";
import {
  encodeTenantDemand,
  parseTenantDemand,
  type TenantCall,
  TenantRates,
  TenantShares,
} from "#tenants";

/** Intervals at which VMs send their counts and request the demand. */
const TALLY_INTERVAL_MS: Milliseconds = 500;
const REQUEST_INTERVAL_MS: Milliseconds = 1_000;

/** Options of `EntryShares`. */
export interface EntrySharesOptions {
  readonly vms: number;
  readonly random: RandomSource;
  readonly lossRatio: number;
  /** Whether VMs reach the control VM. */
  readonly isConnected: boolean;
}

interface Vm {
  readonly shares: TenantShares;
  /** Calls that the control VM does not know of. */
  unsent: { readonly tenant: string; readonly hasRun: boolean }[];
  nextTallyMs: Milliseconds;
  nextRequestMs: Milliseconds;
}

/** The decisions of all entry VMs, and the counts of one control VM. */
export class EntryShares {
  readonly #options: EntrySharesOptions;
  readonly #vms: readonly Vm[];
  readonly #control = new TenantRates();
  #nowMs: Milliseconds = 0;

  constructor(options: EntrySharesOptions) {
    this.#options = options;
    const { random } = options;
    this.#vms = Array.from({ length: options.vms }, () => ({
      shares: new TenantShares({ random, priorityOf: () => null }),
      unsent: [],
      nextTallyMs: random.below(TALLY_INTERVAL_MS),
      nextRequestMs: random.below(REQUEST_INTERVAL_MS),
    }));
  }

  /** Sends what is due. */
  advance(nowMs: Milliseconds): void {
    this.#nowMs = nowMs;
    const { isConnected } = this.#options;
    if (!isConnected) return;
    for (const vm of this.#vms) {
      if (nowMs >= vm.nextTallyMs) this.#tally(vm);
      if (nowMs >= vm.nextRequestMs) this.#requestDemand(vm);
    }
  }

  /** Whether a VM admits a call. */
  admits(at: number, call: TenantCall): boolean {
    const verdict = this.#vms[at]?.shares.decide(call, this.#nowMs);
    if (verdict?.kind !== "rejected") return true;
    this.recordCall(at, call, false);
    return false;
  }

  /** Records an attempt at a VM. */
  recordAttempt(at: number, isOverload: boolean): void {
    const attempt = { service: "plain", priority: 0, isOverload };
    this.#vms[at]?.shares.recordAttempt(attempt, this.#nowMs);
  }

  /** Records that a call ran or ran nowhere. */
  recordCall(at: number, call: TenantCall, hasRun: boolean): void {
    const vm = this.#vms[at];
    vm?.shares.recordCalls(call, callsOf(hasRun), this.#nowMs);
    vm?.unsent.push({ tenant: call.tenant, hasRun });
  }

  #isLost(): boolean {
    return this.#options.random.fraction() < this.#options.lossRatio;
  }

  #tally(vm: Vm): void {
    vm.nextTallyMs = this.#nowMs + TALLY_INTERVAL_MS;
    if (this.#isLost()) return;
    for (const { tenant, hasRun } of vm.unsent) {
      this.#control.add(tenant, callsOf(hasRun), this.#nowMs);
    }
    vm.unsent = [];
  }

  #requestDemand(vm: Vm): void {
    vm.nextRequestMs = this.#nowMs + REQUEST_INTERVAL_MS;
    if (!vm.shares.needsDemand(this.#nowMs) || this.#isLost()) return;
    const message = encodeTenantDemand(this.#control.all(this.#nowMs));
    const demand = parseTenantDemand(message);
    if (demand !== undefined) vm.shares.recordDemand(demand, this.#nowMs);
  }
}

function callsOf(hasRun: boolean): { ran: number; unserved: number } {
  return { ran: hasRun ? 1 : 0, unserved: hasRun ? 0 : 1 };
}
