/**
 * Senders, control VMs that issue permits, and an oracle that counts what reaches each upstream, on virtual time. Links
 * lose and delay messages, leaders change, senders restart, upstreams change the limits that they name.
 *
 * @module
 */
import {
  type FleetUpstream,
  incarnationOf,
  MemoryEventLog,
  type Milliseconds,
  SECOND_MS,
  SeededRandom,
  VirtualClock,
} from "#core";
import { ControlLeader, serveControlRequests } from "#membership";
import { MemoryNetwork } from "#wire";
import { PermitClient } from "./permit_client.ts";
import { LeaderPermitPort } from "./permit_port.ts";
import { PermitServer } from "./permit_server.ts";
import type { ServiceLimits } from "./service_permits.ts";

const CONTROLS = ["c1:1", "c2:1", "c3:1"];
const SERVICE = "s";
const SPAN_MS: Milliseconds = 4 * SECOND_MS;
const STEP_MS: Milliseconds = 20;
const UPSTREAMS = 4;
const MINIMUM_LIMIT = 0.5;
const MAXIMUM_LIMIT = 50;
/** How much of the limits the senders ask for. */
const OVERLOAD = 1.6;
const PATIENCE_MS: Milliseconds = 400;
const SLOWEST_LINK_MS: Milliseconds = 30;
const LOSS_CHANCE = 0.05;
/** Chances of a fault in one step. */
const FAULT_CHANCES = { newLeader: 0.002, restart: 0.01, newLimit: 0.002 };

interface Upstream {
  limit: number;
  /** The highest limit named in the last span, which counts in it. */
  readonly named: { readonly limit: number; readonly atMs: Milliseconds }[];
  readonly arrivals: Milliseconds[];
}

/** Options of `PermitWorld`. */
export interface PermitWorldOptions {
  readonly senders: number;
  readonly seed: number;
  /** Whether messages are lost and VMs fail; true if absent. */
  readonly faults?: boolean;
}

/** A site on virtual time. */
export class PermitWorld {
  readonly #clock = new VirtualClock();
  readonly #random: SeededRandom;
  readonly #network: MemoryNetwork;
  readonly #faults: boolean;
  readonly #upstreams: Upstream[] = [];
  readonly #senders: PermitClient[] = [];
  #limits: ServiceLimits = new Map();
  #leader = 0;
  #term = 1;
  /** Time before which no control VM leads, as after the loss of a leader. */
  #leaderlessUntilMs: Milliseconds = 0;

  constructor(options: PermitWorldOptions) {
    this.#random = new SeededRandom(options.seed);
    this.#faults = options.faults ?? true;
    this.#network = new MemoryNetwork({
      clock: this.#clock,
      random: this.#random,
      links: {
        minimumDelayMs: 0.5,
        maximumDelayMs: this.#faults ? SLOWEST_LINK_MS : 1,
        dropChance: this.#faults ? LOSS_CHANCE : 0,
        duplicateChance: this.#faults ? LOSS_CHANCE : 0,
      },
    });
    for (let at = 0; at < UPSTREAMS; at += 1) this.#addUpstream();
    this.#limits = this.#limitsByIncarnation();
    for (const vm of CONTROLS) this.#startControl(vm);
    for (let at = 0; at < options.senders; at += 1) {
      this.#senders.push(this.#createSender(at));
    }
  }

  /** Lets senders receive requests, most of them in one zone at a time, for some seconds. */
  async run(seconds: number): Promise<void> {
    const steps = seconds * SECOND_MS / STEP_MS;
    let owed = 0;
    for (let step = 0; step < steps; step += 1) {
      if (this.#faults) this.#causeFault();
      owed += this.#totalLimit() * OVERLOAD * STEP_MS / SECOND_MS;
      for (; owed >= 1; owed -= 1) this.#request(this.#pickSender(step));
      await this.#clock.advanceAsync(STEP_MS);
    }
  }

  /** Returns a description of the worst excess over a limit, or undefined if there is none. */
  worstExcess(): string | undefined {
    for (const [at, upstream] of this.#upstreams.entries()) {
      for (const endMs of upstream.arrivals) {
        const startMs = endMs - SPAN_MS;
        const got = upstream.arrivals.filter((each) =>
          each > startMs && each <= endMs
        ).length;
        const limit = highestWithin(upstream, startMs, endMs);
        const allowed = 1.5 * limit * SPAN_MS / SECOND_MS + 5;
        if (got <= allowed) continue;
        return `u${at} got ${got} until ${endMs} ms, allowed are ${allowed}`;
      }
    }
    return undefined;
  }

  /** Returns how much of the limits was used. */
  usedShare(): number {
    let arrived = 0;
    for (const { arrivals } of this.#upstreams) arrived += arrivals.length;
    const seconds = this.#clock.nowMs() / SECOND_MS;
    return arrived / (this.#totalLimit() * seconds);
  }

  #addUpstream(): void {
    const limit = this.#drawLimit();
    const named = [{ limit, atMs: 0 }];
    this.#upstreams.push({ limit, named, arrivals: [] });
  }

  #drawLimit(): number {
    const range = Math.log(MAXIMUM_LIMIT / MINIMUM_LIMIT);
    return MINIMUM_LIMIT * Math.exp(range * this.#random.fraction());
  }

  #limitsByIncarnation(): ServiceLimits {
    const limits = this.#listed().map((each) =>
      [incarnationOf(each), each.requestLimit ?? 0] as const
    );
    return new Map(limits);
  }

  #totalLimit(): number {
    let total = 0;
    for (const { limit } of this.#upstreams) total += limit;
    return total;
  }

  #listed(): readonly FleetUpstream[] {
    return this.#upstreams.map(({ limit }, at) => ({
      id: `u${at}`,
      bornMs: 1,
      sequence: 1,
      service: SERVICE,
      zone: "z",
      address: { host: "10.0.0.1", port: at },
      slots: 8,
      phase: "ready",
      serves: [],
      requestLimit: limit,
    }));
  }

  #startControl(vm: string): void {
    const permits = new PermitServer({
      clock: this.#clock,
      events: new MemoryEventLog(),
      leadership: () => ({
        leads: this.#isLeader(vm),
        term: this.#term,
        leader: CONTROLS[this.#leader] ?? null,
      }),
      limitsOf: () => this.#limits,
    });
    permits.start();
    serveControlRequests(this.#network.join(vm), [permits]);
  }

  #isLeader(vm: string): boolean {
    return CONTROLS[this.#leader] === vm &&
      this.#clock.nowMs() >= this.#leaderlessUntilMs;
  }

  #createSender(at: number): PermitClient {
    const network = this.#network.join(`e${at}:1`);
    const leader = new ControlLeader({
      network,
      clock: this.#clock,
      events: new MemoryEventLog(),
      nodes: () => [],
      controlVms: () => CONTROLS,
    });
    const port = new LeaderPermitPort(leader);
    return new PermitClient({
      clock: this.#clock,
      random: this.#random,
      events: new MemoryEventLog(),
      port,
      upstreams: () => this.#listed(),
      onBacklogPermits: () => {},
    });
  }

  /** The busiest third of the senders changes every few seconds. */
  #pickSender(step: number): number {
    const third = Math.max(1, Math.floor(this.#senders.length / 3));
    const busiest = Math.floor(step * STEP_MS / (5 * SECOND_MS)) % 3;
    const isBusy = this.#random.below(4) > 0;
    const at = isBusy
      ? busiest * third + this.#random.below(third)
      : this.#random.below(this.#senders.length);
    return at % this.#senders.length;
  }

  async #request(at: number): Promise<void> {
    const sender = this.#senders[at];
    if (sender === undefined) return;
    sender.noteRequest(SERVICE);
    const ready = this.#listed().find((each) => sender.available(each) >= 1);
    if (ready !== undefined && sender.use(ready)) {
      this.#deliver(ready);
      return;
    }
    const outcome = await sender.acquire({
      service: SERVICE,
      priority: this.#random.below(3),
      patienceMs: PATIENCE_MS,
      signal: new AbortController().signal,
      accepts: () => true,
    });
    if (outcome.kind === "granted") this.#deliver(outcome.upstream);
  }

  #deliver(to: FleetUpstream): void {
    const upstream = this.#upstreams[to.address.port];
    const delayMs = this.#random.fraction() * SLOWEST_LINK_MS;
    this.#clock.after(delayMs, () => {
      upstream?.arrivals.push(this.#clock.nowMs());
    });
  }

  #causeFault(): void {
    const nowMs = this.#clock.nowMs();
    if (this.#random.fraction() < FAULT_CHANCES.newLeader) {
      this.#leader = this.#random.below(CONTROLS.length);
      this.#term += 1;
      this.#leaderlessUntilMs = nowMs + this.#random.below(SECOND_MS);
    }
    if (this.#random.fraction() < FAULT_CHANCES.restart) {
      const at = this.#random.below(this.#senders.length);
      this.#senders[at] = this.#createSender(at);
    }
    if (this.#random.fraction() < FAULT_CHANCES.newLimit) {
      const upstream = this.#upstreams[this.#random.below(UPSTREAMS)];
      if (upstream === undefined) return;
      upstream.limit = this.#drawLimit();
      upstream.named.push({ limit: upstream.limit, atMs: nowMs });
      this.#limits = this.#limitsByIncarnation();
    }
  }
}

/** Returns the highest limit that an upstream named at some time within a span. */
function highestWithin(
  upstream: Upstream,
  startMs: Milliseconds,
  endMs: Milliseconds,
): number {
  let highest = 0;
  for (const [at, { limit, atMs }] of upstream.named.entries()) {
    const untilMs = upstream.named[at + 1]?.atMs ?? Infinity;
    if (atMs <= endMs && untilMs > startMs) highest = Math.max(highest, limit);
  }
  return highest;
}
