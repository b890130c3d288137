/**
 * An upstream of the load of `pace_world`: slots, a queue, a speed that changes, and slow first calls after a restart.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds, RandomSource } from "#core";

const QUEUE_PER_SLOT = 4;
const SLOWEST = 0.7;
const SPEED_RANGE = 1;
const SLOW_SPELL_FACTOR = 2.5;
const SLOW_SPELL_MS: Milliseconds = 4_000;
/** Such that 15 % of the upstreams are in a slow spell at a time. */
const MEAN_SOUND_MS: Milliseconds = SLOW_SPELL_MS * 0.85 / 0.15;
/** Share of their capacity that uneven upstreams have with their slow spells. */
export const UNEVEN_CAPACITY = 0.85 + 0.15 / SLOW_SPELL_FACTOR;
const REFUSAL_MS: Milliseconds = 1;

/** Options of `WorldUpstream`. */
export interface WorldUpstreamOptions {
  readonly index: number;
  readonly zones: number;
  readonly slots: number;
  readonly workMs: Milliseconds;
  readonly isUneven: boolean;
  readonly coldFactor: number;
  readonly coldMs: Milliseconds;
  readonly nowMs: () => Milliseconds;
  readonly random: RandomSource;
  readonly after: (delayMs: Milliseconds, action: () => void) => void;
}

type Reply = (isAnswered: boolean) => void;

/** Runs calls. */
export class WorldUpstream {
  /** Relative to the nominal speed, without slow spells. */
  readonly speed: number;
  readonly #options: WorldUpstreamOptions;
  readonly #queue: Reply[] = [];
  #record: FleetUpstream;
  /** Counts starts, so that calls of an earlier one have no effect. */
  #start = 0;
  #isUp = true;
  #failingShare = 0;
  #isReturning = false;
  #running = new Set<Reply>();
  #coldUntilMs: Milliseconds = 0;
  #slowFactor = 1;
  #ended = 0;

  constructor(options: WorldUpstreamOptions) {
    this.#options = options;
    const { index, zones, slots, isUneven, random } = options;
    this.speed = isUneven ? SLOWEST + SPEED_RANGE * random.fraction() : 1;
    this.#record = {
      id: `u${index}`,
      bornMs: 1,
      sequence: 1,
      service: "cards",
      zone: `z${index % zones}`,
      address: { host: "10.0.0.1", port: 1 },
      slots,
      phase: "ready",
      serves: [],
    };
    if (isUneven) this.#alternate();
  }

  /** What VMs know of it. */
  get record(): FleetUpstream {
    return this.#record;
  }

  /** Whether it was down and is back. */
  get isReturning(): boolean {
    return this.#isReturning;
  }

  /** Calls that run or wait, in slots. */
  get perSlot(): number {
    return (this.#running.size + this.#queue.length) / this.#options.slots;
  }

  /** Returns the number of calls that have ended since it was last called, and counts from zero again. */
  resetEnded(): number {
    const ended = this.#ended;
    this.#ended = 0;
    return ended;
  }

  /** Fails all calls until `start`. */
  stop(): void {
    this.#isUp = false;
    this.#start += 1;
    const replies = [...this.#running, ...this.#queue.splice(0)];
    this.#running = new Set();
    for (const reply of replies) reply(false);
  }

  /** Fails half of the calls from now on. */
  failHalf(): void {
    this.#failingShare = 0.5;
  }

  /** Runs calls again, as another process after a restart. */
  start(options: { readonly isRestart: boolean }): void {
    this.#isUp = true;
    this.#isReturning = true;
    this.#ended = 0;
    if (!options.isRestart) return;
    const { nowMs, coldMs } = this.#options;
    this.#record = { ...this.#record, bornMs: nowMs() };
    this.#coldUntilMs = nowMs() + coldMs;
  }

  /** Runs a call, now or once a slot is free; rejects it if the queue is full. */
  run(reply: Reply): void {
    const { slots, after, random } = this.#options;
    const isFull = this.#queue.length >= slots * QUEUE_PER_SLOT;
    const isFailing = !this.#isUp ||
      this.#failingShare > 0 && random.fraction() < this.#failingShare;
    if (isFailing || isFull) return after(REFUSAL_MS, () => reply(false));
    if (this.#running.size < slots) this.#begin(reply);
    else this.#queue.push(reply);
  }

  /** Drops a call that waits; one that runs occupies its slot until it ends. */
  cancel(reply: Reply): void {
    const at = this.#queue.indexOf(reply);
    if (at >= 0) this.#queue.splice(at, 1);
  }

  #begin(reply: Reply): void {
    const { random, workMs, coldFactor, after, nowMs } = this.#options;
    const start = this.#start;
    const draw = 0.5 - 0.5 * Math.log(1 - random.fraction());
    const isCold = nowMs() < this.#coldUntilMs;
    const factor = (isCold ? coldFactor : 1) * this.#slowFactor;
    this.#running.add(reply);
    after(workMs * draw * factor / this.speed, () => {
      if (start !== this.#start) return;
      this.#running.delete(reply);
      this.#ended += 1;
      reply(true);
      const next = this.#queue.shift();
      if (next !== undefined) this.#begin(next);
    });
  }

  #alternate(): void {
    const { random, after } = this.#options;
    const soundMs = -Math.log(1 - random.fraction()) * MEAN_SOUND_MS;
    after(soundMs, () => {
      this.#slowFactor = SLOW_SPELL_FACTOR;
      after(SLOW_SPELL_MS, () => {
        this.#slowFactor = 1;
        this.#alternate();
      });
    });
  }
}
