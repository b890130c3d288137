/**
 * What an API sees of calls that only one VM may send at a time, and the rules for them.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type { TenantCount } from "#duties";

/** A call as the API executed it. */
export interface ExecutedCall {
  /** Process that sent it. */
  readonly process: string;
  /** VM of that process. */
  readonly vm: string;
  readonly fence: number;
  readonly window: number;
  readonly counts: readonly TenantCount[];
  readonly atMs: Milliseconds;
}

/** Checks executed calls, in the order of their execution. */
export class DutyOracle {
  /** Broken rules, in words. */
  readonly violations: string[] = [];
  /** The first execution of each window. */
  readonly reports = new Map<number, ExecutedCall>();
  /** Number of executions, repeats included. */
  executions = 0;
  /** Number of executions that repeated an earlier one. */
  repeats = 0;
  /** VMs that have sent a call. */
  readonly senders = new Set<string>();
  readonly #leaseMs: Milliseconds;
  readonly #fences = new Map<number, string>();
  /** The last call of each VM. */
  readonly #lastCalls = new Map<string, ExecutedCall>();
  #highestFence = 0;
  #lastCall: ExecutedCall | undefined;

  constructor(leaseMs: Milliseconds) {
    this.#leaseMs = leaseMs;
  }

  /** The highest fencing token so far. */
  get highestFence(): number {
    return this.#highestFence;
  }

  /** Records an execution. */
  execute(call: ExecutedCall): void {
    this.executions += 1;
    this.senders.add(call.vm);
    this.#checkFence(call);
    this.#checkAlternation(call);
    this.#checkCounts(call);
    this.#lastCall = call;
    this.#lastCalls.set(call.vm, call);
  }

  #checkFence(call: ExecutedCall): void {
    const { fence, process } = call;
    if (fence < this.#highestFence) {
      this.#violate(call, `token ${fence} after ${this.#highestFence}`);
    }
    this.#highestFence = Math.max(this.#highestFence, fence);
    const owner = this.#fences.get(fence) ?? process;
    this.#fences.set(fence, owner);
    if (owner !== process) this.#violate(call, `the token of ${owner}`);
  }

  /** A VM may not call within the lease after another one that called after it. */
  #checkAlternation(call: ExecutedCall): void {
    const previous = this.#lastCalls.get(call.vm);
    const between = this.#lastCall;
    if (previous === undefined || between === undefined) return;
    if (between.vm === call.vm) return;
    const spanMs = call.atMs - previous.atMs;
    if (spanMs <= this.#leaseMs) {
      this.#violate(
        call,
        `${spanMs} ms after its last call before ${between.vm}`,
      );
    }
  }

  #checkCounts(call: ExecutedCall): void {
    const first = this.reports.get(call.window);
    if (first === undefined) {
      this.reports.set(call.window, call);
      return;
    }
    this.repeats += 1;
    if (JSON.stringify(first.counts) === JSON.stringify(call.counts)) return;
    this.#violate(call, `other counts for window ${call.window}`);
  }

  #violate({ process, atMs }: ExecutedCall, problem: string): void {
    this.violations.push(`${Math.round(atMs)} ms, ${process}: ${problem}`);
  }
}
