/**
 * A site for the fuzz of how accepted bundles reach the entry VMs: three control VMs and six entry VMs in three
 * zones on a memory network with cuts, freezes, restarts and control VMs that lag behind.
 *
 * @module
 */
import assert from "node:assert/strict";
import { bundleDigest, sampleBundle } from "#bundles";
import {
  type AcceptedBundle,
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  type Bundle,
  EMPTY_BOARD,
  MemoryEventLog,
  type Milliseconds,
  SeededRandom,
  VirtualClock,
} from "#core";
import {
  BundleFollower,
  BundleServer,
  MemberService,
  VmDirectory,
} from "#membership";
import { MemoryNetwork } from "#wire";

const ZONES = ["a", "b", "c"];
const STEP_MS: Milliseconds = 100;
/** Without faults a bundle is in force everywhere within this time. */
export const IN_FORCE_BOUND_MS: Milliseconds = 5_000;
/** After the healing of all faults every VM has caught up within this time. */
const HEALED_BOUND_MS: Milliseconds = 8_000;
/** Faults leave beliefs behind that are gone after this time. */
export const CALM_AFTER_MS: Milliseconds = 10_000;

/** One step of a run. */
export interface SpreadingCommand {
  readonly kind:
    | "accept"
    | "lag"
    | "catch_up"
    | "cut_zone"
    | "cut"
    | "heal"
    | "freeze"
    | "thaw"
    | "restart"
    | "wait";
  readonly at: number;
  readonly other: number;
}

interface ControlNode {
  readonly name: string;
  readonly server: BundleServer;
  lags: boolean;
}

interface EntryNode {
  readonly name: string;
  readonly zone: string;
  readonly board: Blackboard<BoardSections>;
  readonly follower: BundleFollower;
  readonly members: MemberService;
  /** Version that a ready VM must have reached, from when it began to ask without faults. */
  readonly atLeast: number;
  seen: number;
  frozen: boolean;
}

/** The VMs and the list of accepted bundles. */
export class SpreadingSite {
  readonly #clock = new VirtualClock(1_000);
  readonly #random: SeededRandom;
  readonly #network: MemoryNetwork;
  readonly #first: Bundle;
  readonly #accepted: AcceptedBundle[] = [];
  readonly #controls: ControlNode[] = [];
  readonly #entries: EntryNode[] = [];
  #epoch = 1;
  #cuts = 0;
  #disturbedAtMs = 0;
  #acceptedAtMs = 0;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.#network = new MemoryNetwork({
      clock: this.#clock,
      random: this.#random,
    });
    this.#first = sampleBundle({ zones: ZONES });
    for (const vm of this.#first.vms) {
      if (vm.role === "control") {
        this.#controls.push(this.#startControl(vm.name));
      }
    }
    this.#accept();
    for (const vm of this.#first.vms) {
      if (vm.role === "entry") this.#entries.push(this.#startEntry(vm));
    }
  }

  /** Does one step. */
  async run(command: SpreadingCommand): Promise<void> {
    const entry = this.#entries[command.at] as EntryNode;
    const control = this.#controls[command.at % this.#controls.length];
    if (command.kind === "accept") this.#accept();
    if (command.kind === "lag" && control !== undefined) this.#lag(control);
    if (command.kind === "catch_up") this.#catchUp();
    if (command.kind === "cut_zone") this.#cutZone(entry.zone);
    if (command.kind === "cut") this.#cut(command);
    if (command.kind === "heal") this.#heal();
    if (command.kind === "freeze") this.#freeze(entry);
    if (command.kind === "thaw") this.#thaw(entry);
    if (command.kind === "restart") this.#restart(command.at);
    await this.pass(command.kind === "wait" ? 3_000 : STEP_MS);
  }

  /** Lets time pass, checking all the while. */
  async pass(forMs: Milliseconds): Promise<void> {
    for (let passed = 0; passed < forMs; passed += STEP_MS) {
      await this.#clock.advanceAsync(STEP_MS);
      this.#check();
    }
  }

  /** Ends all faults and checks that every VM catches up. */
  async settle(): Promise<void> {
    this.#heal();
    this.#catchUp();
    for (const entry of this.#entries) this.#thaw(entry);
    await this.pass(HEALED_BOUND_MS);
    for (const entry of this.#entries) {
      assert.equal(this.#version(entry), this.#newest(), `${entry.name} lags`);
      assert.equal(
        entry.follower.isReady(),
        true,
        `${entry.name} is not ready`,
      );
    }
    for (const entry of this.#entries) {
      entry.follower.stop();
      entry.members.stop();
    }
  }

  #newest(): number {
    return this.#accepted.length;
  }

  #version(entry: EntryNode): number {
    return entry.board.read("bundle")?.signed.bundle.version ?? 0;
  }

  #check(): void {
    const nowMs = this.#clock.nowMs();
    const frozen = this.#entries.some((entry) => entry.frozen);
    if (this.#cuts > 0 || frozen) this.#disturbedAtMs = nowMs;
    const isCalm = this.#acceptedAtMs - this.#disturbedAtMs > CALM_AFTER_MS;
    const isDue = nowMs - this.#acceptedAtMs >= IN_FORCE_BOUND_MS;
    for (const entry of this.#entries) {
      const version = this.#version(entry);
      assert.equal(version >= entry.seen, true, `${entry.name} went back`);
      entry.seen = version;
      if (entry.follower.isReady()) {
        assert.equal(
          version >= entry.atLeast,
          true,
          `${entry.name} is ready with version ${version} below ${entry.atLeast}`,
        );
      }
      if (!isCalm || !isDue) continue;
      assert.equal(version, this.#newest(), `${entry.name} is late`);
    }
  }

  #accept(): void {
    const before = this.#accepted.at(-1);
    const base = before?.signed.bundle ?? this.#first;
    const bundle: Bundle = before === undefined ? base : {
      ...base,
      version: base.version + 1,
      predecessor: before.digest,
      limits: { ...base.limits, claimsStored: 1_000 + this.#accepted.length },
    };
    this.#accepted.push({
      signed: { bundle, signer: "awa", signature: "" },
      digest: bundleDigest(bundle),
      index: this.#accepted.length + 1,
      acceptedAtMs: this.#clock.wallMs(),
    });
    this.#acceptedAtMs = this.#clock.nowMs();
    for (const control of this.#controls) this.#offer(control);
  }

  #offer(control: ControlNode): void {
    const newest = this.#accepted.at(-1);
    if (!control.lags && newest !== undefined) control.server.publish(newest);
  }

  /** At most one of three lags: the others are the quorum that accepts. */
  #lag(control: ControlNode): void {
    if (this.#controls.some((each) => each.lags)) return;
    control.lags = true;
  }

  #catchUp(): void {
    for (const control of this.#controls) {
      control.lags = false;
      this.#offer(control);
    }
  }

  #cutZone(zone: string): void {
    this.#cuts += 1;
    for (const inside of this.#first.vms) {
      for (const outside of this.#first.vms) {
        if (inside.zone !== zone || outside.zone === zone) continue;
        this.#network.blockLink(inside.name, outside.name);
        this.#network.blockLink(outside.name, inside.name);
      }
    }
  }

  #cut(command: SpreadingCommand): void {
    this.#cuts += 1;
    const vms = this.#first.vms;
    const from = vms[command.at]?.name ?? "";
    const to = vms[command.other]?.name ?? "";
    this.#network.blockLink(from, to);
  }

  #heal(): void {
    this.#cuts = 0;
    this.#network.restoreLinks();
  }

  #freeze(entry: EntryNode): void {
    entry.frozen = true;
    this.#network.pause(entry.name);
  }

  #thaw(entry: EntryNode): void {
    if (!entry.frozen) return;
    entry.frozen = false;
    this.#network.resume(entry.name);
  }

  #restart(at: number): void {
    const entry = this.#entries[at] as EntryNode;
    entry.follower.stop();
    entry.members.stop();
    this.#network.leave(entry.name);
    this.#entries[at] = this.#startEntry(entry);
  }

  #startControl(name: string): ControlNode {
    const network = this.#network.join(name);
    const control: ControlNode = {
      name,
      lags: false,
      server: new BundleServer({
        network,
        clock: this.#clock,
        isFresh: () => !control.lags,
      }),
    };
    control.server.start();
    return control;
  }

  #startEntry(
    place: { readonly name: string; readonly zone: string },
  ): EntryNode {
    const { name, zone } = place;
    this.#epoch += 1;
    const board = new Blackboard<BoardSections>(EMPTY_BOARD, BOARD_WRITERS);
    const base = {
      self: name,
      zone,
      board,
      network: this.#network.join(name),
      clock: this.#clock,
      random: this.#random,
      events: new MemoryEventLog(),
      directory: new VmDirectory({
        seeds: this.#first.vms,
        bundle: () => board.read("bundle"),
      }),
    };
    const members = new MemberService({ ...base, incarnation: this.#epoch });
    const relayOf = (of: string): string | undefined => members.relayOf(of);
    const server = new BundleServer({
      ...base,
      isFresh: () => follower.isFresh(),
    });
    const follower: BundleFollower = new BundleFollower({
      ...base,
      relayOf,
      onBundle: (accepted) => server.publish(accepted),
    });
    members.start();
    server.start();
    follower.start();
    const isReachable = this.#cuts === 0;
    const atLeast = isReachable ? this.#newest() : 1;
    return {
      name,
      zone,
      board,
      follower,
      members,
      atLeast,
      seen: 0,
      frozen: false,
    };
  }
}
