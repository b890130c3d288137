/**
 * The right of this process to perform the duties, a hold in the control log. At any time at most one process has it:
 *
 * - It ends with the leader lease under which it was acquired, before another leader can start. It is bound to the term,
 *   so that a process that leads again needs a new hold with a higher fencing token.
 * - A new holder waits until no call of the previous one can arrive any more. The wait is measured by a timer, since a
 *   clock that counts steps of the wall clock as suspensions could end it early.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import type { Clock, EventLog, Milliseconds, Timer } from "#core";
import type { DutiesMachine, DutyHold } from "./duties_machine.ts";
import type { DutyAuthority } from "./duty_port.ts";
import { DUTY_EVENTS } from "./events.ts";

const CHECK_INTERVAL_MS: Milliseconds = 100;
/** Timers of two VMs may run at rates that differ, and a timer may fire slightly early. */
const WAIT_RATIO = 1.05;

/** Options of `DutyHolder`. */
export interface DutyHolderOptions {
  /** Peer address of this VM. */
  readonly vm: string;
  /** Name of this node, as the receivers of calls know it. */
  readonly nodeName: string;
  /** Start of this process. */
  readonly startedMs: Milliseconds;
  readonly log: ReplicatedLog;
  readonly machine: DutiesMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  /** How long calls of the previous holder may still arrive. */
  readonly leaseMs: Milliseconds;
  /** Whether there are duties to perform, so that the hold is worth a log entry. */
  readonly isNeeded: () => boolean;
}

/** A hold of this process. */
interface OwnHold {
  readonly fence: number;
  /** Term in which this VM led when the hold was committed. */
  readonly term: number;
  /** Whether no call of the previous holder can arrive any more. */
  isEffective: boolean;
}

/** Acquires the hold while this VM leads, and states whether it may act. */
export class DutyHolder {
  readonly #options: DutyHolderOptions;
  #hold: OwnHold | undefined;
  #isAcquiring = false;
  #isStopped = false;
  #checks: Timer | undefined;
  #wait: Timer | undefined;

  constructor(options: DutyHolderOptions) {
    this.#options = options;
  }

  /** Starts to acquire the hold whenever this VM leads. */
  start(): void {
    const { clock } = this.#options;
    this.#checks = clock.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Ends the right for good. */
  stop(): void {
    this.#isStopped = true;
    this.#checks?.cancel();
    this.#drop("this VM is stopping");
  }

  /**
   * Returns the right to send a call, or null unless this process may send one now.
   *
   * @example
   * ```ts
   * const authority = holder.authority();
   * if (authority !== null) await port.sendUsage(report, authority);
   * ```
   */
  authority(): DutyAuthority | null {
    const hold = this.#hold;
    if (hold === undefined || !this.#mayAct(hold)) return null;
    return {
      holder: this.#options.nodeName,
      fence: hold.fence,
      isCurrent: () => this.#mayAct(hold),
    };
  }

  /** Releases the hold with a fencing token that was rejected; the token is not used again. */
  release(fence: number): void {
    if (this.#hold?.fence === fence) {
      this.#drop("its fencing token was rejected");
    }
  }

  #mayAct(hold: OwnHold): boolean {
    return hold === this.#hold && hold.isEffective && this.#isValid(hold);
  }

  /** Whether the hold is the newest one and the lease under which it was acquired has not ended. */
  #isValid({ fence, term }: OwnHold): boolean {
    if (!this.#leads() || this.#options.log.status().term !== term) {
      return false;
    }
    return this.#options.machine.current.hold?.fence === fence;
  }

  #leads(): boolean {
    const { log, clock } = this.#options;
    return !this.#isStopped && log.leaseUntilMs() > clock.nowMs();
  }

  #check(): void {
    const hold = this.#hold;
    if (hold !== undefined && !this.#isValid(hold)) {
      this.#drop("this VM no longer leads the control log");
    }
    const { isNeeded } = this.#options;
    if (this.#hold !== undefined || this.#isAcquiring) return;
    if (this.#leads() && isNeeded()) void this.#acquire();
  }

  async #acquire(): Promise<void> {
    const { log, vm, startedMs } = this.#options;
    const { term } = log.status();
    this.#isAcquiring = true;
    const command = { kind: "hold", vm, startedMs };
    const result = await log.propose({ machine: "duties", command });
    this.#isAcquiring = false;
    if (result.err) return;
    const { fence } = result.val as DutyHold;
    const hold = { fence, term, isEffective: false };
    if (!this.#isValid(hold)) return;
    this.#hold = hold;
    this.#startWait(hold);
  }

  #startWait(hold: OwnHold): void {
    const { clock, leaseMs, events } = this.#options;
    const { fence, term } = hold;
    events.emit(DUTY_EVENTS.holdAcquired, { fence, term, waitMs: leaseMs });
    this.#wait = clock.after(leaseMs * WAIT_RATIO, () => {
      hold.isEffective = true;
    });
  }

  #drop(reason: string): void {
    const hold = this.#hold;
    if (hold === undefined) return;
    this.#hold = undefined;
    this.#wait?.cancel();
    const { fence } = hold;
    this.#options.events.emit(DUTY_EVENTS.holdEnded, { fence, reason });
  }
}
