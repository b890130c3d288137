/**
 * What a control VM tells the other control VMs: news at once, and in rounds what they may have missed.
 *
 * @module
 */
import type { Clock } from "#core";
import type { PeerNetwork } from "#wire";
import type { CrashLedger } from "./crash_ledger.ts";
import type { FleetNotice } from "./fleet_messages.ts";
import type { VmObservations } from "./vm_observations.ts";

/** Most records of crashes in one round. */
const CRASH_RECORDS = 64;

/** Options of `FleetGossip`. */
export interface FleetGossipOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** Control VMs to notify; this one may be among them. */
  readonly peers: () => readonly string[];
  readonly vms: VmObservations;
  readonly crashes: CrashLedger;
}

/** Sends notices to the other control VMs. */
export class FleetGossip {
  readonly #options: FleetGossipOptions;
  #round = 0;

  constructor(options: FleetGossipOptions) {
    this.#options = options;
  }

  /**
   * Sends the VMs that report to this one or changed to every control VM, and all known VMs to one of them in turn, so
   * that a report also reaches a control VM to which its receiver has no path.
   */
  sendRound(askBeats: boolean): void {
    const { network, vms } = this.#options;
    const all = vms.all();
    const news = vms.news();
    const peers = this.peers();
    this.#round += 1;
    const completeFor = peers[this.#round % Math.max(1, peers.length)];
    for (const to of peers) {
      const nodes = to === completeFor ? all : news;
      const notice: FleetNotice = { kind: "nodes", nodes, askBeats };
      network.notify({ to, channel: "fleet" }, notice);
    }
    if (completeFor !== undefined) this.#gossipCrashes(completeFor);
  }

  /** Sends the crashes under calls again, as a notice to a VM without a connection is lost. */
  #gossipCrashes(to: string): void {
    const { network, clock, crashes } = this.#options;
    const records = crashes.mostImportant(CRASH_RECORDS, clock.nowMs());
    if (records.length === 0) return;
    const notice: FleetNotice = { kind: "crashes", records };
    network.notify({ to, channel: "fleet" }, notice);
  }

  /** Sends a notice to every other control VM. */
  notify(notice: FleetNotice): void {
    const { network } = this.#options;
    for (const to of this.peers()) {
      network.notify({ to, channel: "fleet" }, notice);
    }
  }

  /** Returns the other control VMs. */
  peers(): readonly string[] {
    const { network, peers } = this.#options;
    const others = new Set([...peers(), ...this.#recentControls()]);
    others.delete(network.self);
    return [...others];
  }

  /** Returns the control VMs observed recently. Those that are not voters are included: they may become voters. */
  #recentControls(): readonly string[] {
    const controls: string[] = [];
    for (const { role, vm } of this.#options.vms.listed()) {
      if (role === "control") controls.push(vm);
    }
    return controls;
  }
}
