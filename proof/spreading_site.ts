/**
 * The site of the fuzz test of bundle distribution: three control VMs and six entry VMs in three zones on a memory
 * network with partitions, paused VMs, restarts and control VMs that lag behind.
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
/** Maximum time until a bundle is active on every entry VM, without faults. */
export const ACTIVATION_BOUND_MS: Milliseconds = 5_000;
/** Maximum time until every entry VM has caught up after all faults are removed. */
const CATCH_UP_BOUND_MS: Milliseconds = 8_000;
/** Time after the last fault until no VM holds outdated state because of it. */
export const FAULT_AFTEREFFECT_MS: Milliseconds = 10_000;

/** One command of a fuzz run. */
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
  isLagging: boolean;
}

interface EntryNode {
  readonly name: string;
  readonly zone: string;
  readonly board: Blackboard<BoardSections>;
  readonly follower: BundleFollower;
  readonly members: MemberService;
  /** Minimum version of the VM once it is ready: the newest at its start, or 1 if it started during a partition. */
  readonly requiredVersion: number;
  observedVersion: number;
  isPaused: boolean;
}

/** The VMs of the site and the list of accepted bundles. */
export class SpreadingSite {
  readonly #clock = new VirtualClock(1_000);
  readonly #random: SeededRandom;
  readonly #network: MemoryNetwork;
  readonly #firstBundle: Bundle;
  readonly #accepted: AcceptedBundle[] = [];
  readonly #controls: ControlNode[] = [];
  readonly #entries: EntryNode[] = [];
  #epoch = 1;
  #partitionCount = 0;
  #lastFaultAtMs = 0;
  #lastAcceptedAtMs = 0;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.#network = new MemoryNetwork({
      clock: this.#clock,
      random: this.#random,
    });
    this.#firstBundle = sampleBundle({ zones: ZONES });
    for (const vm of this.#firstBundle.vms) {
      if (vm.role === "control") {
        this.#controls.push(this.#startControl(vm.name));
      }
    }
    this.#accept();
    for (const vm of this.#firstBundle.vms) {
      if (vm.role === "entry") this.#entries.push(this.#startEntry(vm));
    }
  }

  /** Runs one command and advances the clock. */
  async run(command: SpreadingCommand): Promise<void> {
    const entry = this.#entries[command.at] as EntryNode;
    const control = this.#controls[command.at % this.#controls.length];
    if (command.kind === "accept") this.#accept();
    if (command.kind === "lag" && control !== undefined) {
      this.#startLag(control);
    }
    if (command.kind === "catch_up") this.#catchUp();
    if (command.kind === "cut_zone") this.#partitionZone(entry.zone);
    if (command.kind === "cut") this.#blockLink(command);
    if (command.kind === "heal") this.#restoreLinks();
    if (command.kind === "freeze") this.#pause(entry);
    if (command.kind === "thaw") this.#resume(entry);
    if (command.kind === "restart") this.#restart(command.at);
    await this.advance(command.kind === "wait" ? 3_000 : STEP_MS);
  }

  /** Advances the clock in small steps and checks the versions after each. */
  async advance(durationMs: Milliseconds): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      await this.#clock.advanceAsync(STEP_MS);
      this.#checkVersions();
    }
  }

  /** Removes all faults and checks that every entry VM catches up. */
  async settle(): Promise<void> {
    this.#restoreLinks();
    this.#catchUp();
    for (const entry of this.#entries) this.#resume(entry);
    await this.advance(CATCH_UP_BOUND_MS);
    for (const entry of this.#entries) {
      assert.equal(
        this.#activeVersion(entry),
        this.#newestVersion(),
        `${entry.name} has not caught up`,
      );
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

  #newestVersion(): number {
    return this.#accepted.length;
  }

  #activeVersion(entry: EntryNode): number {
    return entry.board.read("bundle")?.signed.bundle.version ?? 0;
  }

  #checkVersions(): void {
    const nowMs = this.#clock.nowMs();
    const anyPaused = this.#entries.some((entry) => entry.isPaused);
    if (this.#partitionCount > 0 || anyPaused) this.#lastFaultAtMs = nowMs;
    const isStable =
      this.#lastAcceptedAtMs - this.#lastFaultAtMs > FAULT_AFTEREFFECT_MS;
    const isDue = nowMs - this.#lastAcceptedAtMs >= ACTIVATION_BOUND_MS;
    for (const entry of this.#entries) {
      const version = this.#activeVersion(entry);
      assert.equal(
        version >= entry.observedVersion,
        true,
        `${entry.name} went back to an earlier version`,
      );
      entry.observedVersion = version;
      if (entry.follower.isReady()) {
        assert.equal(
          version >= entry.requiredVersion,
          true,
          `${entry.name} is ready with version ${version} below ${entry.requiredVersion}`,
        );
      }
      if (!isStable || !isDue) continue;
      assert.equal(
        version,
        this.#newestVersion(),
        `${entry.name} exceeded the activation bound`,
      );
    }
  }

  #accept(): void {
    const previous = this.#accepted.at(-1);
    const base = previous?.signed.bundle ?? this.#firstBundle;
    const bundle: Bundle = previous === undefined ? base : {
      ...base,
      version: base.version + 1,
      predecessor: previous.digest,
      limits: { ...base.limits, claimsStored: 1_000 + this.#accepted.length },
    };
    this.#accepted.push({
      signed: { bundle, signer: "awa", signature: "" },
      digest: bundleDigest(bundle),
      index: this.#accepted.length + 1,
      acceptedAtMs: this.#clock.wallMs(),
    });
    this.#lastAcceptedAtMs = this.#clock.nowMs();
    for (const control of this.#controls) this.#publishNewest(control);
  }

  #publishNewest(control: ControlNode): void {
    const newest = this.#accepted.at(-1);
    if (!control.isLagging && newest !== undefined) {
      control.server.publish(newest);
    }
  }

  /** Makes a control VM lag unless one does already; the other two of the three are the quorum that accepts bundles. */
  #startLag(control: ControlNode): void {
    if (this.#controls.some((each) => each.isLagging)) return;
    control.isLagging = true;
  }

  #catchUp(): void {
    for (const control of this.#controls) {
      control.isLagging = false;
      this.#publishNewest(control);
    }
  }

  #partitionZone(zone: string): void {
    this.#partitionCount += 1;
    for (const inside of this.#firstBundle.vms) {
      for (const outside of this.#firstBundle.vms) {
        if (inside.zone !== zone || outside.zone === zone) continue;
        this.#network.blockLink(inside.name, outside.name);
        this.#network.blockLink(outside.name, inside.name);
      }
    }
  }

  #blockLink(command: SpreadingCommand): void {
    this.#partitionCount += 1;
    const vms = this.#firstBundle.vms;
    const from = vms[command.at]?.name ?? "";
    const to = vms[command.other]?.name ?? "";
    this.#network.blockLink(from, to);
  }

  #restoreLinks(): void {
    this.#partitionCount = 0;
    this.#network.restoreLinks();
  }

  #pause(entry: EntryNode): void {
    entry.isPaused = true;
    this.#network.pause(entry.name);
  }

  #resume(entry: EntryNode): void {
    if (!entry.isPaused) return;
    entry.isPaused = false;
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
      isLagging: false,
      server: new BundleServer({
        network,
        clock: this.#clock,
        isFresh: () => !control.isLagging,
      }),
    };
    control.server.start();
    return control;
  }

  #startEntry(
    vm: { readonly name: string; readonly zone: string },
  ): EntryNode {
    const { name, zone } = vm;
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
        seeds: this.#firstBundle.vms,
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
    const isReachable = this.#partitionCount === 0;
    const requiredVersion = isReachable ? this.#newestVersion() : 1;
    return {
      name,
      zone,
      board,
      follower,
      members,
      requiredVersion,
      observedVersion: 0,
      isPaused: false,
    };
  }
}
