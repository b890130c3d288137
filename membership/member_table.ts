/**
 * State of the other VMs as this VM sees them, without input or output.
 *
 * Implements the SWIM protocol (Das, Gupta, Motivala, 2002): each VM probes one other VM in each period,
 * asks a few other VMs to probe it if it does not reply, and piggybacks state changes on its probes. A
 * suspected VM refutes the suspicion by raising its incarnation.
 *
 * @module
 */
import type { MemberStatus, Milliseconds, RandomSource, VmState } from "#core";
import type { DirectoryEntry } from "./vm_directory.ts";

/** Time for which a VM stays suspected before it is declared unreachable. */
export const SUSPICION_TIMEOUT_MS: Milliseconds = 3_000;
/** Maximum number of pending updates that are sent with one message. */
export const UPDATES_PER_MESSAGE = 6;
const SENDS_PER_UPDATE = 6;

const STATE_PRECEDENCE: Readonly<Record<VmState, number>> = {
  alive: 0,
  suspected: 1,
  unreachable: 2,
};

/** State of a VM as another VM reports it. */
export interface MemberUpdate {
  readonly vm: string;
  readonly state: VmState;
  readonly incarnation: number;
}

/** State that a VM reports about itself in its probes and replies. */
export interface SelfReport {
  readonly vm: string;
  readonly incarnation: number;
  readonly bundleVersion: number | null;
}

/** A change of a VM's state. */
export interface MemberChange {
  readonly vm: string;
  readonly state: VmState;
}

interface Member {
  readonly view: MemberStatus;
  readonly suspectedAtMs: Milliseconds;
  /** Whether it was probed again since it became suspected. */
  readonly probedAgain: boolean;
}

/** Options of `MemberTable`. */
export interface MemberTableOptions {
  readonly self: string;
  /** Start time of this process, in wall-clock milliseconds. */
  readonly incarnation: number;
  readonly random: RandomSource;
}

/** State of all other VMs. */
export class MemberTable {
  readonly #options: MemberTableOptions;
  readonly #members = new Map<string, Member>();
  readonly #pendingUpdates = new Map<
    string,
    { update: MemberUpdate; remainingSends: number }
  >();
  #incarnation: number;
  #probeOrder: string[] = [];
  #changes: MemberChange[] = [];

  constructor(options: MemberTableOptions) {
    this.#options = options;
    this.#incarnation = options.incarnation;
  }

  /** Incarnation of this VM; increases when the VM refutes a suspicion. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Sets the VMs of the table; a new VM is considered alive until a probe fails. */
  setVms(vms: readonly DirectoryEntry[], nowMs: Milliseconds): void {
    const names = new Set(vms.map((vm) => vm.name));
    for (const name of this.#members.keys()) {
      if (!names.has(name)) this.#members.delete(name);
    }
    for (const vm of vms) {
      if (vm.name === this.#options.self || this.#members.has(vm.name)) {
        continue;
      }
      this.#members.set(vm.name, {
        suspectedAtMs: 0,
        probedAgain: false,
        view: {
          name: vm.name,
          zone: vm.zone,
          state: "alive",
          incarnation: 0,
          bundleVersion: null,
          lastHeardMs: nowMs,
        },
      });
    }
  }

  /**
   * Returns the VM to probe next. A VM that has been suspected for half of the suspicion timeout is probed
   * once more first; otherwise each VM is probed once per round, in random order.
   */
  nextProbe(nowMs: Milliseconds): string | undefined {
    for (const [name, member] of this.#members) {
      if (member.view.state !== "suspected" || member.probedAgain) continue;
      if (nowMs - member.suspectedAtMs < SUSPICION_TIMEOUT_MS / 2) continue;
      this.#members.set(name, { ...member, probedAgain: true });
      return name;
    }
    while (this.#probeOrder.length > 0) {
      const name = this.#probeOrder.pop();
      if (name !== undefined && this.#members.has(name)) return name;
    }
    this.#probeOrder = this.#shuffle([...this.#members.keys()]);
    return this.#probeOrder.pop();
  }

  /** Selects random alive VMs that can probe `target` on behalf of this VM. */
  selectHelpers(target: string, count: number): readonly string[] {
    const alive = [...this.#members.values()]
      .filter((member) => member.view.state === "alive")
      .map((member) => member.view.name)
      .filter((name) => name !== target);
    return this.#shuffle(alive).slice(0, count);
  }

  /** Records the state that a VM reported about itself. */
  recordReport(report: SelfReport, nowMs: Milliseconds): void {
    const member = this.#members.get(report.vm);
    if (member === undefined) return;
    if (report.incarnation < member.view.incarnation) return;
    this.#replace({
      ...member.view,
      state: "alive",
      incarnation: report.incarnation,
      bundleVersion: report.bundleVersion,
      lastHeardMs: nowMs,
    }, 0);
  }

  /** Records that a VM replied neither to this VM nor to the helpers, and suspects it. */
  recordMissedProbe(vm: string, nowMs: Milliseconds): void {
    const member = this.#members.get(vm);
    if (member === undefined || member.view.state !== "alive") return;
    this.#replace({ ...member.view, state: "suspected" }, nowMs);
  }

  /** Declares VMs unreachable whose suspicion has timed out. */
  expireSuspicions(nowMs: Milliseconds): void {
    for (const member of this.#members.values()) {
      if (member.view.state !== "suspected") continue;
      if (nowMs - member.suspectedAtMs < SUSPICION_TIMEOUT_MS) continue;
      this.#replace({ ...member.view, state: "unreachable" }, nowMs);
    }
  }

  /** Applies the updates of another VM; refutes one that suspects this VM. */
  applyUpdates(updates: readonly MemberUpdate[], nowMs: Milliseconds): void {
    for (const update of updates) {
      if (update.vm === this.#options.self) {
        this.#refute(update);
        continue;
      }
      const member = this.#members.get(update.vm);
      if (member === undefined || !overrides(update, member.view)) continue;
      const lastHeardMs = update.state === "alive"
        ? nowMs
        : member.view.lastHeardMs;
      this.#replace({
        ...member.view,
        ...stateAndIncarnation(update),
        lastHeardMs,
      }, nowMs);
    }
  }

  /** Returns the updates to send with the next message, the least sent first, and counts the send. */
  nextUpdates(): readonly MemberUpdate[] {
    const selected = [...this.#pendingUpdates.values()]
      .sort((a, b) => b.remainingSends - a.remainingSends)
      .slice(0, UPDATES_PER_MESSAGE);
    for (const entry of selected) {
      entry.remainingSends -= 1;
      if (entry.remainingSends <= 0) {
        this.#pendingUpdates.delete(entry.update.vm);
      }
    }
    return selected.map((entry) => entry.update);
  }

  /** Returns the state of `vm` as this VM sees it, so that `vm` can refute it. */
  updateAbout(vm: string): MemberUpdate | undefined {
    const member = this.#members.get(vm);
    if (member === undefined) return undefined;
    return { vm, ...stateAndIncarnation(member.view) };
  }

  /** Returns the state of all other VMs. */
  view(): ReadonlyMap<string, MemberStatus> {
    return new Map(
      [...this.#members].map(([name, member]) => [name, member.view]),
    );
  }

  /** Returns and clears the state changes since the last call. */
  drainChanges(): readonly MemberChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  #replace(view: MemberStatus, suspectedAtMs: Milliseconds): void {
    const before = this.#members.get(view.name)?.view;
    this.#members.set(view.name, { view, suspectedAtMs, probedAgain: false });
    if (before?.state === view.state) return;
    this.#changes.push({ vm: view.name, state: view.state });
    this.#enqueueUpdate({ vm: view.name, ...stateAndIncarnation(view) });
  }

  #refute(update: MemberUpdate): void {
    if (update.state === "alive") return;
    if (update.incarnation < this.#incarnation) return;
    this.#incarnation = update.incarnation + 1;
    this.#enqueueUpdate({
      vm: this.#options.self,
      state: "alive",
      incarnation: this.#incarnation,
    });
  }

  #enqueueUpdate(update: MemberUpdate): void {
    this.#pendingUpdates.set(update.vm, {
      update,
      remainingSends: SENDS_PER_UPDATE,
    });
  }

  #shuffle(names: string[]): string[] {
    for (let index = names.length - 1; index > 0; index -= 1) {
      const swapIndex = this.#options.random.below(index + 1);
      const swapped = names[index] as string;
      names[index] = names[swapIndex] as string;
      names[swapIndex] = swapped;
    }
    return names;
  }
}

function stateAndIncarnation(
  source: { readonly state: VmState; readonly incarnation: number },
): { readonly state: VmState; readonly incarnation: number } {
  return { state: source.state, incarnation: source.incarnation };
}

function overrides(update: MemberUpdate, known: MemberStatus): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.state];
}
