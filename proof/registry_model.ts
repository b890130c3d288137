/**
 * Stateful fuzz model of the upstream registry: entry VMs of one zone on an in-memory network with faults, checked
 * against a map of the last announcement of each upstream.
 *
 * @module
 */
import assert from "node:assert/strict";
import {
  type AcceptedBundle,
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  EMPTY_BOARD,
  MemoryEventLog,
  type Milliseconds,
  SeededRandom,
  type UpstreamAnnouncement,
  type UpstreamRecord,
  VirtualClock,
} from "#core";
import { RegistryService, VmDirectory } from "#membership";
import { MemoryNetwork } from "#wire";
import { sampleBundle } from "#bundles";
import fc from "fast-check";
import type { FuzzOptions } from "./fuzz.ts";

const ENTRIES = ["entry-a1", "entry-a2", "entry-a3"] as const;
const UPSTREAM_COUNT = 3;
const LEASE_MS: Milliseconds = 6_000;
/** Time after which no entry may use an upstream that left, whichever links were partitioned or entries paused. */
const DEPARTURE_BOUND_MS: Milliseconds = LEASE_MS + 2_000;
/** Time after which every entry knows of an announcement or leave, if no fault occurred since. */
const PROPAGATION_BOUND_MS: Milliseconds = 2_000;
const RENEWAL_INTERVAL_MS: Milliseconds = LEASE_MS / 3;
const STEP_MS: Milliseconds = 100;

interface UpstreamModel {
  incarnation: number;
  sequence: number;
  version: number;
  homeEntry: number;
  left: boolean;
  leftAtMs: Milliseconds;
  renewedAtMs: Milliseconds;
}

interface EntryNode {
  readonly name: string;
  service: RegistryService;
  board: Blackboard<BoardSections>;
}

/** One command of a run. */
export interface RegistryCommand {
  readonly kind:
    | "announce"
    | "restart_upstream"
    | "leave"
    | "cut"
    | "heal"
    | "freeze"
    | "thaw"
    | "restart_entry"
    | "wait";
  readonly entry: number;
  readonly other: number;
  readonly upstream: number;
}

class ZoneSimulation {
  readonly clock = new VirtualClock(1_000);
  readonly network: MemoryNetwork;
  readonly upstreams: UpstreamModel[] = [];
  readonly #random: SeededRandom;
  readonly #bundle: AcceptedBundle;
  readonly #entryNodes: EntryNode[] = [];
  readonly #pausedEntries = new Set<number>();
  readonly #blockedLinks = new Set<string>();
  #epoch = 1;
  #lastFaultAtMs: Milliseconds = 0;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.network = new MemoryNetwork({
      clock: this.clock,
      random: this.#random,
    });
    const bundle = sampleBundle({ zones: ["a"], entriesPerZone: 3 });
    this.#bundle = {
      signed: { bundle, signer: "", signature: "" },
      digest: "",
      index: 1,
      acceptedAtMs: 0,
    };
    for (const name of ENTRIES) this.#entryNodes.push(this.#startEntry(name));
    for (let each = 0; each < UPSTREAM_COUNT; each += 1) {
      this.upstreams.push({
        incarnation: 1,
        sequence: 0,
        version: 1,
        homeEntry: each % ENTRIES.length,
        left: false,
        leftAtMs: 0,
        renewedAtMs: Number.NEGATIVE_INFINITY,
      });
    }
  }

  async run(command: RegistryCommand): Promise<void> {
    const upstream = this.upstreams[command.upstream] as UpstreamModel;
    const from = ENTRIES[command.entry] as string;
    const to = ENTRIES[command.other] as string;
    if (command.kind === "cut") {
      this.network.blockLink(from, to);
      this.#blockedLinks.add(`${from} ${to}`);
    }
    if (command.kind === "heal") this.#restoreLinks();
    if (command.kind === "freeze") this.#pauseEntry(command.entry);
    if (command.kind === "thaw") this.#resumeEntry(command.entry);
    if (command.kind === "restart_entry") this.#restartEntry(command.entry);
    if (command.kind === "announce" && !upstream.left) {
      upstream.version += 1;
      upstream.homeEntry = command.entry;
      this.#renewUpstream(command.upstream);
    }
    if (command.kind === "restart_upstream") {
      upstream.incarnation += 1;
      upstream.sequence = 0;
      upstream.left = false;
      upstream.homeEntry = command.entry;
      this.#renewUpstream(command.upstream);
    }
    if (command.kind === "leave") this.#removeUpstream(command);
    await this.advance(command.kind === "wait" ? 1_500 : STEP_MS);
  }

  /** Advances the clock with renewals, and checks after each step that departed upstreams are unused. */
  async advance(forMs: Milliseconds): Promise<void> {
    for (let passed = 0; passed < forMs; passed += STEP_MS) {
      await this.clock.advanceAsync(STEP_MS);
      const nowMs = this.clock.nowMs();
      for (const [at, upstream] of this.upstreams.entries()) {
        const due = nowMs - upstream.renewedAtMs >= RENEWAL_INTERVAL_MS;
        if (!upstream.left && due) this.#renewUpstream(at);
      }
      if (this.#blockedLinks.size > 0 || this.#pausedEntries.size > 0) {
        this.#lastFaultAtMs = nowMs;
      }
      this.#checkDepartures();
    }
  }

  async settle(): Promise<void> {
    this.#restoreLinks();
    for (const at of [...this.#pausedEntries]) this.#resumeEntry(at);
    await this.advance(2 * LEASE_MS);
  }

  checkAgreement(): void {
    for (const node of this.#entryNodes) {
      for (const [at, upstream] of this.upstreams.entries()) {
        const record = node.board.read("upstreams").get(`engine-${at}`);
        const usable = isUsable(record, this.clock.nowMs());
        assert.equal(
          usable,
          !upstream.left,
          `${node.name}: engine-${at} has usable=${usable}`,
        );
        if (!usable) continue;
        assert.equal(record?.incarnation, upstream.incarnation);
        assert.equal(record?.serves[0]?.version, upstream.version);
      }
    }
  }

  #checkDepartures(): void {
    const nowMs = this.clock.nowMs();
    for (const [at, upstream] of this.upstreams.entries()) {
      if (!upstream.left) continue;
      const leftForMs = nowMs - upstream.leftAtMs;
      const undisturbed = this.#lastFaultAtMs < upstream.leftAtMs;
      const boundMs = undisturbed ? PROPAGATION_BOUND_MS : DEPARTURE_BOUND_MS;
      const mustKnow = leftForMs >= boundMs;
      if (!mustKnow) continue;
      for (const node of this.#entryNodes) {
        const record = node.board.read("upstreams").get(`engine-${at}`);
        const usable = isUsable(record, nowMs);
        assert.equal(usable, false, `${node.name} still uses engine-${at}`);
      }
    }
  }

  #renewUpstream(at: number): void {
    const upstream = this.upstreams[at] as UpstreamModel;
    if (this.#pausedEntries.has(upstream.homeEntry)) {
      upstream.homeEntry = (upstream.homeEntry + 1) % ENTRIES.length;
      return;
    }
    upstream.sequence += 1;
    const result = this.#entryNode(upstream.homeEntry).service.announce({
      announcement: announcement(`engine-${at}`, upstream),
      sequence: upstream.sequence,
    });
    assert.equal(result.ok, true);
    upstream.renewedAtMs = this.clock.nowMs();
  }

  #removeUpstream(command: RegistryCommand): void {
    const upstream = this.upstreams[command.upstream] as UpstreamModel;
    if (upstream.left || this.#pausedEntries.has(command.entry)) return;
    const id = `engine-${command.upstream}`;
    const { incarnation } = upstream;
    const result = this.#entryNode(command.entry).service.leave({
      id,
      incarnation,
    });
    assert.equal(result.ok, true);
    upstream.left = true;
    upstream.leftAtMs = this.clock.nowMs();
  }

  #restoreLinks(): void {
    this.network.restoreLinks();
    this.#blockedLinks.clear();
  }

  #pauseEntry(at: number): void {
    if (this.#pausedEntries.size > 0) return;
    this.#pausedEntries.add(at);
    this.network.pause(ENTRIES[at] as string);
    this.#entryNode(at).service.stop();
  }

  #resumeEntry(at: number): void {
    if (!this.#pausedEntries.delete(at)) return;
    this.network.resume(ENTRIES[at] as string);
    this.#entryNode(at).service.resume();
  }

  #restartEntry(at: number): void {
    this.#pausedEntries.delete(at);
    this.#entryNode(at).service.stop();
    this.#entryNodes[at] = this.#startEntry(ENTRIES[at] as string);
    this.#entryNode(at).service.synchronise();
  }

  #entryNode(at: number): EntryNode {
    return this.#entryNodes[at] as EntryNode;
  }

  #startEntry(name: string): EntryNode {
    this.#epoch += 1;
    const board = new Blackboard<BoardSections>(
      { ...EMPTY_BOARD, bundle: this.#bundle },
      BOARD_WRITERS,
    );
    const service = new RegistryService({
      self: name,
      zone: "a",
      role: "entry",
      epoch: this.#epoch,
      board,
      directory: new VmDirectory({ seeds: [], bundle: () => this.#bundle }),
      relayOf: () => ENTRIES[0],
      network: this.network.join(name),
      clock: this.clock,
      random: this.#random,
      events: new MemoryEventLog(),
    });
    service.start();
    return { name, service, board };
  }
}

function isUsable(
  record: UpstreamRecord | undefined,
  nowMs: Milliseconds,
): boolean {
  if (record === undefined || record.leaving) return false;
  return record.expiresAtMs > nowMs;
}

function announcement(
  id: string,
  model: UpstreamModel,
): UpstreamAnnouncement {
  return {
    id,
    incarnation: model.incarnation,
    zone: "a",
    address: { host: "127.0.0.1", port: 9_000 },
    role: "engine",
    serves: [{ model: "advice", version: model.version }],
    services: [],
    capacity: 4,
    enforcesFences: true,
    reportsVersions: true,
  };
}

const COMMANDS = fc.array(
  fc.record({
    kind: fc.constantFrom<RegistryCommand["kind"]>(
      "announce",
      "announce",
      "restart_upstream",
      "leave",
      "leave",
      "cut",
      "cut",
      "heal",
      "freeze",
      "thaw",
      "restart_entry",
      "wait",
      "wait",
    ),
    entry: fc.nat(ENTRIES.length - 1),
    other: fc.nat(ENTRIES.length - 1),
    upstream: fc.nat(UPSTREAM_COUNT - 1),
  }, { noNullPrototype: true }),
  { maxLength: 20, size: "max" },
);

/** Runs the fuzz model; on a failed check throws an error with the seed and the shrunk commands. */
export async function fuzzRegistry(options: FuzzOptions): Promise<void> {
  await fc.assert(
    fc.asyncProperty(COMMANDS, fc.nat(1_000_000), playRegistry),
    { seed: options.seed, numRuns: options.runs },
  );
}

/** Plays commands on a zone whose random choices come from a seed; throws if a check fails. */
export async function playRegistry(
  commands: readonly RegistryCommand[],
  seed: number,
): Promise<void> {
  const zone = new ZoneSimulation(seed);
  await zone.advance(PROPAGATION_BOUND_MS);
  zone.checkAgreement();
  for (const command of commands) await zone.run(command);
  await zone.settle();
  zone.checkAgreement();
}

/** Checks that without faults every entry learns of an announcement and of a leave within the bound. */
export async function checkPropagationWithoutFaults(): Promise<void> {
  const zone = new ZoneSimulation(7);
  const steps: readonly RegistryCommand["kind"][] = ["announce", "leave"];
  for (const kind of steps) {
    await zone.run({ kind, entry: 1, other: 0, upstream: 2 });
    await zone.advance(PROPAGATION_BOUND_MS - STEP_MS);
    zone.checkAgreement();
  }
}
