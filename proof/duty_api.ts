/**
 * An API in virtual time that may be down, silent or slow, and that may execute a call late whose response is lost.
 *
 * @module
 */
import type { Clock, Milliseconds, RandomSource } from "#core";
import {
  type DutyAuthority,
  type DutyOutcome,
  DutyPort,
  type UsageReport,
} from "#duties";
import type { DutyOracle } from "./duty_oracle.ts";

const CALL_TIMEOUT_MS: Milliseconds = 1_000;
/** Long enough that many faults strike between the decision to call and the call. */
const MAXIMUM_CONNECT_MS: Milliseconds = 150;
const MAXIMUM_RESPONSE_MS: Milliseconds = 20;
/** A call that leaves a VM just before its lease ends is executed before the next holder may call. */
const MAXIMUM_LATENESS_MS: Milliseconds = 2_900;

/** Options of `SimulatedApi`. */
export interface SimulatedApiOptions {
  /** True time, on which the API runs. */
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly oracle: DutyOracle;
}

/** The API, as all VMs share it. */
export class SimulatedApi {
  /** Whether connections are accepted. */
  isUp = true;
  /** Chance that a response is lost; half of these calls are executed late. */
  lossChance = 0;
  /** Chance that a call is rejected since there were too many. */
  rejectionChance = 0;
  /** Whether a call with a lower fencing token is rejected. */
  checksFences = false;
  /** VMs that can't reach it. */
  readonly cutOff = new Set<string>();
  readonly #options: SimulatedApiOptions;

  constructor(options: SimulatedApiOptions) {
    this.#options = options;
  }

  /** Returns the port of a process. */
  portFor(sender: {
    readonly vm: string;
    readonly process: string;
    readonly clock: Clock;
  }): DutyPort {
    return new SimulatedPort((report, authority) =>
      this.#call(report, { authority, ...sender })
    );
  }

  async #call(report: UsageReport, call: {
    readonly authority: DutyAuthority;
    readonly vm: string;
    readonly process: string;
    readonly clock: Clock;
  }): Promise<DutyOutcome> {
    const { authority, vm, clock } = call;
    const timeout = clock.sleep(CALL_TIMEOUT_MS).then(() => "unknown" as const);
    await clock.sleep(this.#options.random.fraction() * MAXIMUM_CONNECT_MS);
    if (!this.isUp) return "unknown";
    if (this.cutOff.has(vm)) return await timeout;
    if (!authority.isCurrent()) return "unknown";
    return await Promise.race([timeout, this.#execute(report, call)]);
  }

  #execute(report: UsageReport, call: {
    readonly authority: DutyAuthority;
    readonly vm: string;
    readonly process: string;
  }): Promise<DutyOutcome> {
    const { clock, random, oracle } = this.#options;
    const { authority: { fence }, vm, process } = call;
    const isLost = random.fraction() < this.lossChance;
    const isLate = isLost && random.below(2) === 0;
    const latestMs = isLate ? MAXIMUM_LATENESS_MS : MAXIMUM_RESPONSE_MS;
    const isRejected = random.fraction() < this.rejectionChance;
    return new Promise((resolve) => {
      const settle = (outcome: DutyOutcome): void => {
        if (!isLost) resolve(outcome);
      };
      clock.after(random.fraction() * latestMs, () => {
        if (isRejected) return settle("rate_limited");
        if (this.checksFences && fence < oracle.highestFence) {
          return settle("conflict");
        }
        const atMs = clock.nowMs();
        oracle.execute({ ...report, fence, vm, process, atMs });
        settle("accepted");
      });
    });
  }
}

class SimulatedPort extends DutyPort {
  readonly #send: DutyPort["sendUsage"];

  constructor(send: DutyPort["sendUsage"]) {
    super();
    this.#send = send;
  }

  override sendUsage(
    report: UsageReport,
    authority: DutyAuthority,
  ): Promise<DutyOutcome> {
    return this.#send(report, authority);
  }

  override orderUpstreams(): Promise<DutyOutcome> {
    return Promise.resolve("unknown");
  }
}
