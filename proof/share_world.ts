/**
 * Calls of many tenants over many entry VMs to upstreams that can't run all of them, on virtual time and without a
 * network, to compare what each tenant gets.
 *
 * @module
 */
import { type Milliseconds, type RandomSource, SeededRandom } from "#core";
import { fairLimit, type TenantCall } from "#tenants";
import { EntryShares } from "./entry_shares.ts";
import { ShareUpstream } from "./share_upstream.ts";
import { quantile } from "./statistics.ts";

const TICK_MS: Milliseconds = 0.5;
const TENANTS = 76;
/** Entry VMs at which the calls of a tenant arrive. */
const VMS_PER_TENANT = 4;
const UPSTREAMS = 4;
const SLOTS = 6;
const WORK_MS: Milliseconds = 35.7;
const OBJECTIVE_MS: Milliseconds = 186;
const DEADLINE_MS: Milliseconds = 802;
const HEDGE_MS: Milliseconds = 0.45 * OBJECTIVE_MS;
const MAXIMUM_ATTEMPTS = 3;
const SPLIT = [{ service: "plain", weight: 1 }] as const;
const NORMAL_LOAD = 0.6;
const SURGE_FACTOR = 10;
/** When the scenario begins and ends. */
const BEGIN_MS: Milliseconds = 10_000;
const END_MS: Milliseconds = 30_000;
const LAST_MS: Milliseconds = 40_000;
/** Time after a change before its effect is measured. */
const SETTLING_MS: Milliseconds = 5_000;

/** What happens from `BEGIN_MS` to `END_MS`: nothing, half of the slots fail, or the large tenant sends ten times its calls. */
export type ShareScenario = "normal" | "halved" | "surge";

/** Options of `ShareWorld`. */
export interface ShareWorldOptions {
  readonly seed: number;
  readonly vms: number;
  readonly scenario: ShareScenario;
  /** Calls that wait at an upstream before it rejects others, for each slot. */
  readonly queuePerSlot: number;
  /** How the entry VMs decide about shares: not at all, by the demand over all VMs, or each by what it sees itself. */
  readonly decision: "none" | "shared" | "alone";
  /** Share of the messages about demand that are lost. */
  readonly lossRatio: number;
}

/** Shares of the calls served within the latency objective, by tenant. */
export interface ShareOutcome {
  /** The tenth of the tenants that gets least. */
  readonly worstTenth: number;
  readonly median: number;
  readonly large: number;
  /** All calls. */
  readonly overall: number;
  /** Share of the large tenant's calls that would be served with exact max-min fairness. */
  readonly fairLarge: number;
  /** The same for all tenants in the first seconds of the scenario, and after its end. */
  readonly worstTenthAtFirst: number;
  readonly worstTenthAfterwards: number;
}

interface Tenant {
  readonly name: string;
  readonly callsPerS: number;
  readonly vms: readonly number[];
  readonly phases: Readonly<Record<Phase, { calls: number; inTime: number }>>;
}

type Phase = "first" | "settled" | "afterwards";

interface Call {
  readonly shared: TenantCall;
  hasRun: boolean;
  readonly tenant: Tenant;
  readonly vm: number;
  readonly startMs: Milliseconds;
  readonly tried: Set<ShareUpstream>;
  inFlight: number;
  isOver: boolean;
}

/** Plays the load. */
export class ShareWorld {
  readonly #options: ShareWorldOptions;
  readonly #random: RandomSource;
  readonly #agenda = new Map<number, (() => void)[]>();
  readonly #upstreams: readonly ShareUpstream[];
  readonly #tenants: readonly Tenant[];
  readonly #entryShares: EntryShares | null;
  #nowMs: Milliseconds = 0;

  constructor(options: ShareWorldOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    // The first numbers of similar seeds are similar.
    for (let draw = 0; draw < 64; draw += 1) this.#random.uint32();
    const upstream = {
      ...options,
      workMs: WORK_MS,
      random: this.#random,
      after: (delayMs: Milliseconds, action: () => void) =>
        this.#after(delayMs, action),
    };
    this.#upstreams = Array.from(
      { length: UPSTREAMS },
      () => new ShareUpstream(SLOTS, upstream),
    );
    this.#tenants = this.#createTenants();
    const { decision } = options;
    this.#entryShares = decision === "none" ? null : new EntryShares({
      ...options,
      random: this.#random,
      isConnected: decision === "shared",
    });
  }

  /** Plays the load and returns what the tenants got. */
  run(): ShareOutcome {
    const { scenario } = this.#options;
    for (const tenant of this.#tenants) this.#scheduleCall(tenant);
    if (scenario === "halved") {
      this.#after(BEGIN_MS, () => this.#setSlots(SLOTS / 2));
      this.#after(END_MS, () => this.#setSlots(SLOTS));
    }
    const lastTick = (LAST_MS + DEADLINE_MS) / TICK_MS;
    for (let tick = 0; tick <= lastTick; tick += 1) {
      this.#nowMs = tick * TICK_MS;
      this.#entryShares?.advance(this.#nowMs);
      const actions = this.#agenda.get(tick) ?? [];
      for (const action of actions) action();
      this.#agenda.delete(tick);
    }
    return this.#outcome();
  }

  #createTenants(): readonly Tenant[] {
    const weights = Array.from({ length: TENANTS }, (_, at) => 1 / (at + 1));
    const sum = weights.reduce((total, each) => total + each, 0);
    const capacityPerS = perSecond(SLOTS);
    return weights.map((weight, at) => ({
      name: `tenant-${at}`,
      callsPerS: NORMAL_LOAD * capacityPerS * weight / sum,
      vms: Array.from(
        { length: VMS_PER_TENANT },
        () => this.#random.below(this.#options.vms),
      ),
      phases: {
        first: { calls: 0, inTime: 0 },
        settled: { calls: 0, inTime: 0 },
        afterwards: { calls: 0, inTime: 0 },
      },
    }));
  }

  #scheduleCall(tenant: Tenant): void {
    const isSurging = this.#options.scenario === "surge" &&
      tenant === this.#tenants[0] && this.#nowMs >= BEGIN_MS &&
      this.#nowMs < END_MS;
    const perS = tenant.callsPerS * (isSurging ? SURGE_FACTOR : 1);
    const gapMs = -Math.log(1 - this.#random.fraction()) * 1_000 / perS;
    this.#after(gapMs, () => {
      if (this.#nowMs < LAST_MS) this.#scheduleCall(tenant);
      this.#startCall(tenant);
    });
  }

  #startCall(tenant: Tenant): void {
    const vm = tenant.vms[this.#random.below(VMS_PER_TENANT)] ?? 0;
    const call: Call = {
      tenant,
      vm,
      shared: { tenant: tenant.name, priority: 0, split: SPLIT },
      hasRun: false,
      startMs: this.#nowMs,
      tried: new Set(),
      inFlight: 0,
      isOver: false,
    };
    const phase = phaseAt(this.#nowMs);
    if (phase !== null) tenant.phases[phase].calls += 1;
    if (this.#entryShares?.admits(vm, call.shared) === false) return;
    this.#after(DEADLINE_MS, () => this.#end(call));
    this.#after(HEDGE_MS, () => {
      if (call.inFlight > 0) this.#send(call);
    });
    this.#send(call);
  }

  #send(call: Call): void {
    while (!call.isOver && call.tried.size < MAXIMUM_ATTEMPTS) {
      const untried = this.#upstreams.filter((each) => !call.tried.has(each));
      const upstream = untried[this.#random.below(untried.length)];
      if (upstream === undefined) break;
      call.tried.add(upstream);
      const sentMs = this.#nowMs;
      const isAccepted = upstream.accept({
        isWanted: () => !call.isOver,
        onStart: () => this.#recordRun(call),
        onEnd: () => this.#answer(call, sentMs),
      });
      if (isAccepted) {
        call.inFlight += 1;
        return;
      }
      this.#entryShares?.recordAttempt(call.vm, true);
    }
    if (call.inFlight === 0) this.#end(call);
  }

  #recordRun(call: Call): void {
    if (call.hasRun) return;
    call.hasRun = true;
    this.#entryShares?.recordCall(call.vm, call.shared, true);
  }

  #answer(call: Call, sentMs: Milliseconds): void {
    call.inFlight -= 1;
    const isLate = this.#nowMs - sentMs > OBJECTIVE_MS;
    if (!call.isOver || isLate) {
      this.#entryShares?.recordAttempt(call.vm, isLate);
    }
    if (call.isOver) return;
    const phase = phaseAt(call.startMs);
    if (phase !== null && this.#nowMs - call.startMs <= OBJECTIVE_MS) {
      call.tenant.phases[phase].inTime += 1;
    }
    this.#end(call);
  }

  #end(call: Call): void {
    if (call.isOver) return;
    call.isOver = true;
    if (call.hasRun) return;
    // Calls whose time is up without a run waited for too long.
    if (call.inFlight > 0) this.#entryShares?.recordAttempt(call.vm, true);
    this.#entryShares?.recordCall(call.vm, call.shared, false);
  }

  #setSlots(slots: number): void {
    for (const upstream of this.#upstreams) upstream.slots = slots;
  }

  #after(delayMs: Milliseconds, action: () => void): void {
    const tick = Math.floor(this.#nowMs / TICK_MS) +
      Math.max(1, Math.round(delayMs / TICK_MS));
    const actions = this.#agenda.get(tick);
    if (actions === undefined) this.#agenda.set(tick, [action]);
    else actions.push(action);
  }

  #fairLarge(): number {
    const { scenario } = this.#options;
    const demands = this.#tenants.map(({ callsPerS }, at) => ({
      tenants: 1,
      perS: callsPerS * (scenario === "surge" && at === 0 ? SURGE_FACTOR : 1),
    }));
    const slots = scenario === "halved" ? SLOTS / 2 : SLOTS;
    const limitPerS = fairLimit(demands, perSecond(slots));
    return Math.min(1, limitPerS / (demands[0]?.perS ?? 1));
  }

  #outcome(): ShareOutcome {
    const shares = (phase: Phase): number[] =>
      this.#tenants.map(({ phases }) => phases[phase])
        .filter(({ calls }) => calls > 0)
        .map(({ calls, inTime }) => inTime / calls);
    const settled = shares("settled");
    const total = { calls: 0, inTime: 0 };
    for (const { phases } of this.#tenants) {
      total.calls += phases.settled.calls;
      total.inTime += phases.settled.inTime;
    }
    return {
      worstTenth: quantile(settled, 0.1),
      median: quantile(settled, 0.5),
      large: settled[0] ?? Number.NaN,
      overall: total.inTime / total.calls,
      fairLarge: this.#fairLarge(),
      worstTenthAtFirst: quantile(shares("first"), 0.1),
      worstTenthAfterwards: quantile(shares("afterwards"), 0.1),
    };
  }
}

function perSecond(slots: number): number {
  return UPSTREAMS * slots * 1_000 / WORK_MS;
}

function phaseAt(startMs: Milliseconds): Phase | null {
  if (startMs < BEGIN_MS) return null;
  if (startMs < BEGIN_MS + SETTLING_MS) return "first";
  if (startMs < END_MS) return "settled";
  return startMs >= END_MS + SETTLING_MS && startMs < LAST_MS
    ? "afterwards"
    : null;
}
