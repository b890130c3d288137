/**
 * Stateful fuzzing of the upstream registry: entries of one zone on a memory network with faults, against
 * a map of what each upstream last said.
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
const UPSTREAMS = 3;
const LEASE_MS: Milliseconds = 6_000;
/** After this long no entry may use an upstream that left, whatever was cut or frozen. */
const LEFT_BOUND_MS: Milliseconds = LEASE_MS + 2_000;
/** After this long without faults every entry knows what was announced. */
const KNOWN_BOUND_MS: Milliseconds = 2_000;
const RENEW_MS: Milliseconds = LEASE_MS / 3;
const STEP_MS: Milliseconds = 100;

interface UpstreamModel {
  incarnation: number;
  sequence: number;
  version: number;
  home: number;
  left: boolean;
  leftAtMs: Milliseconds;
  renewedAtMs: Milliseconds;
}

interface Node {
  readonly name: string;
  service: RegistryService;
  board: Blackboard<BoardSections>;
}

/** One step of a run. */
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

class Zone {
  readonly clock = new VirtualClock(1_000);
  readonly network: MemoryNetwork;
  readonly upstreams: UpstreamModel[] = [];
  readonly #random: SeededRandom;
  readonly #bundle: AcceptedBundle;
  readonly #nodes: Node[] = [];
  readonly #frozen = new Set<number>();
  readonly #cuts = new Set<string>();
  #epoch = 1;
  #disturbedAtMs: Milliseconds = 0;

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
    for (const name of ENTRIES) this.#nodes.push(this.#start(name));
    for (let each = 0; each < UPSTREAMS; each += 1) {
      this.upstreams.push({
        incarnation: 1,
        sequence: 0,
        version: 1,
        home: each % ENTRIES.length,
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
      this.#cuts.add(`${from} ${to}`);
    }
    if (command.kind === "heal") this.#heal();
    if (command.kind === "freeze") this.#freeze(command.entry);
    if (command.kind === "thaw") this.#thaw(command.entry);
    if (command.kind === "restart_entry") this.#restart(command.entry);
    if (command.kind === "announce" && !upstream.left) {
      upstream.version += 1;
      upstream.home = command.entry;
      this.#renew(command.upstream);
    }
    if (command.kind === "restart_upstream") {
      upstream.incarnation += 1;
      upstream.sequence = 0;
      upstream.left = false;
      upstream.home = command.entry;
      this.#renew(command.upstream);
    }
    if (command.kind === "leave") this.#leave(command);
    await this.pass(command.kind === "wait" ? 1_500 : STEP_MS);
  }

  /** Lets time pass with renewals, checking what must hold at every moment. */
  async pass(forMs: Milliseconds): Promise<void> {
    for (let passed = 0; passed < forMs; passed += STEP_MS) {
      await this.clock.advanceAsync(STEP_MS);
      const nowMs = this.clock.nowMs();
      for (const [at, upstream] of this.upstreams.entries()) {
        const due = nowMs - upstream.renewedAtMs >= RENEW_MS;
        if (!upstream.left && due) this.#renew(at);
      }
      if (this.#cuts.size > 0 || this.#frozen.size > 0) {
        this.#disturbedAtMs = nowMs;
      }
      this.#checkDepartures();
    }
  }

  async settle(): Promise<void> {
    this.#heal();
    for (const at of [...this.#frozen]) this.#thaw(at);
    await this.pass(2 * LEASE_MS);
  }

  checkAgreement(): void {
    for (const node of this.#nodes) {
      for (const [at, upstream] of this.upstreams.entries()) {
        const record = node.board.read("upstreams").get(`engine-${at}`);
        const usable = isUsable(record, this.clock.nowMs());
        assert.equal(
          usable,
          !upstream.left,
          `${node.name} holds engine-${at} usable=${usable}`,
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
      const calm = this.#disturbedAtMs < upstream.leftAtMs;
      const boundMs = calm ? KNOWN_BOUND_MS : LEFT_BOUND_MS;
      const mustKnow = leftForMs >= boundMs;
      if (!mustKnow) continue;
      for (const node of this.#nodes) {
        const record = node.board.read("upstreams").get(`engine-${at}`);
        const usable = isUsable(record, nowMs);
        assert.equal(usable, false, `${node.name} still uses engine-${at}`);
      }
    }
  }

  #renew(at: number): void {
    const upstream = this.upstreams[at] as UpstreamModel;
    if (this.#frozen.has(upstream.home)) {
      upstream.home = (upstream.home + 1) % ENTRIES.length;
      return;
    }
    upstream.sequence += 1;
    const taken = this.#node(upstream.home).service.announce({
      announcement: announcement(`engine-${at}`, upstream),
      sequence: upstream.sequence,
    });
    assert.equal(taken.ok, true);
    upstream.renewedAtMs = this.clock.nowMs();
  }

  #leave(command: RegistryCommand): void {
    const upstream = this.upstreams[command.upstream] as UpstreamModel;
    if (upstream.left || this.#frozen.has(command.entry)) return;
    const id = `engine-${command.upstream}`;
    const { incarnation } = upstream;
    const taken = this.#node(command.entry).service.leave({ id, incarnation });
    assert.equal(taken.ok, true);
    upstream.left = true;
    upstream.leftAtMs = this.clock.nowMs();
  }

  #heal(): void {
    this.network.restoreLinks();
    this.#cuts.clear();
  }

  #freeze(at: number): void {
    if (this.#frozen.size > 0) return;
    this.#frozen.add(at);
    this.network.pause(ENTRIES[at] as string);
    this.#node(at).service.stop();
  }

  #thaw(at: number): void {
    if (!this.#frozen.delete(at)) return;
    this.network.resume(ENTRIES[at] as string);
    this.#node(at).service.resume();
  }

  #restart(at: number): void {
    this.#frozen.delete(at);
    this.#node(at).service.stop();
    this.#nodes[at] = this.#start(ENTRIES[at] as string);
    this.#node(at).service.synchronise();
  }

  #node(at: number): Node {
    return this.#nodes[at] as Node;
  }

  #start(name: string): Node {
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
    upstream: fc.nat(UPSTREAMS - 1),
  }, { noNullPrototype: true }),
  { maxLength: 20, size: "max" },
);

/** Runs the model; throws with the seed and the shrunk commands when a check fails. */
export async function fuzzRegistry(options: FuzzOptions): Promise<void> {
  await fc.assert(
    fc.asyncProperty(COMMANDS, fc.nat(1_000_000), async (commands, seed) => {
      const zone = new Zone(seed);
      await zone.pass(KNOWN_BOUND_MS);
      zone.checkAgreement();
      for (const command of commands) await zone.run(command);
      await zone.settle();
      zone.checkAgreement();
    }),
    { seed: options.seed, numRuns: options.runs },
  );
}

/** Checks that without faults every entry knows of an announcement and of a leave within the bound. */
export async function checkSpreadingWithoutFaults(): Promise<void> {
  const zone = new Zone(7);
  const steps: readonly RegistryCommand["kind"][] = ["announce", "leave"];
  for (const kind of steps) {
    await zone.run({ kind, entry: 1, other: 0, upstream: 2 });
    await zone.pass(KNOWN_BOUND_MS - STEP_MS);
    zone.checkAgreement();
  }
}
