/**
 * What this VM believes of the other VMs, without input or output.
 *
 * Source: the SWIM protocol (Das, Gupta, Motivala, 2002): each VM probes one other VM a period, asks a
 * few others to probe it when it does not answer, and spreads what it learnt on its probes. A suspected
 * VM refutes by raising its incarnation.
 *
 * @module
 */
import type { Milliseconds, RandomSource, VmState, VmView } from "#core";
import type { DirectoryEntry } from "./vm_directory.ts";

/** How long a VM stays suspected before it counts as unreachable. */
export const SUSPICION_MS: Milliseconds = 3_000;
/** Most updates that ride on one probe. */
export const UPDATES_PER_MESSAGE = 6;
const REPEATS_PER_UPDATE = 6;

const RANK: Readonly<Record<VmState, number>> = {
  alive: 0,
  suspected: 1,
  unreachable: 2,
};

/** What one VM tells about another. */
export interface MemberUpdate {
  readonly vm: string;
  readonly state: VmState;
  readonly incarnation: number;
}

/** What a VM tells of itself when it answers. */
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
  readonly view: VmView;
  readonly suspectedAtMs: Milliseconds;
  /** Whether it was probed again since it is suspected. */
  readonly probedAgain: boolean;
}

/** What a table is built from. */
export interface MemberTableOptions {
  readonly self: string;
  /** Start of this process, in wall milliseconds. */
  readonly incarnation: number;
  readonly random: RandomSource;
}

/** Beliefs about all other VMs. */
export class MemberTable {
  readonly #options: MemberTableOptions;
  readonly #members = new Map<string, Member>();
  readonly #queue = new Map<string, { update: MemberUpdate; left: number }>();
  #incarnation: number;
  #order: string[] = [];
  #changes: MemberChange[] = [];

  constructor(options: MemberTableOptions) {
    this.#options = options;
    this.#incarnation = options.incarnation;
  }

  /** Incarnation of this VM; grows when it refutes a suspicion. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Takes over which VMs there are; new ones count as alive until a probe fails. */
  follow(vms: readonly DirectoryEntry[], nowMs: Milliseconds): void {
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
   * The VM to probe next: one that has been suspected for half of the time, once; else each VM once, in
   * random order, then again.
   */
  nextProbe(nowMs: Milliseconds): string | undefined {
    for (const [name, member] of this.#members) {
      if (member.view.state !== "suspected" || member.probedAgain) continue;
      if (nowMs - member.suspectedAtMs < SUSPICION_MS / 2) continue;
      this.#members.set(name, { ...member, probedAgain: true });
      return name;
    }
    while (this.#order.length > 0) {
      const name = this.#order.pop();
      if (name !== undefined && this.#members.has(name)) return name;
    }
    this.#order = this.#shuffle([...this.#members.keys()]);
    return this.#order.pop();
  }

  /** Other VMs, at random, that could probe `target` in this VM's place. */
  helpers(target: string, count: number): readonly string[] {
    const alive = [...this.#members.values()]
      .filter((member) => member.view.state === "alive")
      .map((member) => member.view.name)
      .filter((name) => name !== target);
    return this.#shuffle(alive).slice(0, count);
  }

  /** Takes what a VM said of itself. */
  heard(report: SelfReport, nowMs: Milliseconds): void {
    const member = this.#members.get(report.vm);
    if (member === undefined) return;
    if (report.incarnation < member.view.incarnation) return;
    this.#set({
      ...member.view,
      state: "alive",
      incarnation: report.incarnation,
      bundleVersion: report.bundleVersion,
      lastHeardMs: nowMs,
    }, 0);
  }

  /** Notes that a VM answered neither here nor to the helpers. */
  missed(vm: string, nowMs: Milliseconds): void {
    const member = this.#members.get(vm);
    if (member === undefined || member.view.state !== "alive") return;
    this.#set({ ...member.view, state: "suspected" }, nowMs);
  }

  /** Turns old suspicions into unreachable. */
  tick(nowMs: Milliseconds): void {
    for (const member of this.#members.values()) {
      if (member.view.state !== "suspected") continue;
      if (nowMs - member.suspectedAtMs < SUSPICION_MS) continue;
      this.#set({ ...member.view, state: "unreachable" }, nowMs);
    }
  }

  /** Takes what another VM tells of third ones, and of this one. */
  learn(updates: readonly MemberUpdate[], nowMs: Milliseconds): void {
    for (const update of updates) {
      if (update.vm === this.#options.self) {
        this.#refute(update);
        continue;
      }
      const member = this.#members.get(update.vm);
      if (member === undefined || !outweighs(update, member.view)) continue;
      const lastHeardMs = update.state === "alive"
        ? nowMs
        : member.view.lastHeardMs;
      this.#set({ ...member.view, ...pick(update), lastHeardMs }, nowMs);
    }
  }

  /** Updates to send along, those first that were sent least. */
  updates(): readonly MemberUpdate[] {
    const waiting = [...this.#queue.values()]
      .sort((a, b) => b.left - a.left)
      .slice(0, UPDATES_PER_MESSAGE);
    for (const entry of waiting) {
      entry.left -= 1;
      if (entry.left <= 0) this.#queue.delete(entry.update.vm);
    }
    return waiting.map((entry) => entry.update);
  }

  /** What this VM believes of `vm`, so that it can refute. */
  beliefOf(vm: string): MemberUpdate | undefined {
    const member = this.#members.get(vm);
    if (member === undefined) return undefined;
    return { vm, ...pick(member.view) };
  }

  /** All other VMs. */
  view(): ReadonlyMap<string, VmView> {
    return new Map(
      [...this.#members].map(([name, member]) => [name, member.view]),
    );
  }

  /** Changes of state since the last call. */
  takeChanges(): readonly MemberChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  #set(view: VmView, suspectedAtMs: Milliseconds): void {
    const before = this.#members.get(view.name)?.view;
    this.#members.set(view.name, { view, suspectedAtMs, probedAgain: false });
    if (before?.state === view.state) return;
    this.#changes.push({ vm: view.name, state: view.state });
    this.#spread({ vm: view.name, ...pick(view) });
  }

  #refute(update: MemberUpdate): void {
    if (update.state === "alive") return;
    if (update.incarnation < this.#incarnation) return;
    this.#incarnation = update.incarnation + 1;
    this.#spread({
      vm: this.#options.self,
      state: "alive",
      incarnation: this.#incarnation,
    });
  }

  #spread(update: MemberUpdate): void {
    this.#queue.set(update.vm, { update, left: REPEATS_PER_UPDATE });
  }

  #shuffle(names: string[]): string[] {
    for (let at = names.length - 1; at > 0; at -= 1) {
      const other = this.#options.random.below(at + 1);
      const kept = names[at] as string;
      names[at] = names[other] as string;
      names[other] = kept;
    }
    return names;
  }
}

function pick(
  from: { readonly state: VmState; readonly incarnation: number },
): { readonly state: VmState; readonly incarnation: number } {
  return { state: from.state, incarnation: from.incarnation };
}

function outweighs(update: MemberUpdate, held: VmView): boolean {
  if (update.incarnation !== held.incarnation) {
    return update.incarnation > held.incarnation;
  }
  return RANK[update.state] > RANK[held.state];
}
