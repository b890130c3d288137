/**
 * The departures that one control VM knows: those of its log, and those that others told it. A control VM without a
 * replica of the log knows only the latter.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import {
  covers,
  type Departure,
  DEPARTURE_RETENTION_MS,
  type KnownDepartures,
  MAXIMUM_DEPARTURES,
} from "./departures_machine.ts";

interface Heard extends Departure {
  readonly heardMs: Milliseconds;
}

/** Departures of the log, completed by what other VMs said. */
export class HeardDepartures implements KnownDepartures {
  readonly #stored: KnownDepartures;
  readonly #heard = new Map<string, Heard>();
  #revision = 0;

  constructor(stored: KnownDepartures) {
    this.#stored = stored;
  }

  get revision(): number {
    return this.#stored.revision + this.#revision;
  }

  find(id: string): Departure | undefined {
    const stored = this.#stored.find(id);
    const heard = this.#heard.get(id);
    if (heard === undefined || covers(stored, heard)) return stored;
    return heard;
  }

  *all(): Iterable<Departure> {
    yield* this.#stored.all();
    for (const heard of this.#heard.values()) {
      if (!covers(this.#stored.find(heard.id), heard)) yield heard;
    }
  }

  /** Adds departures that another VM knows or an upstream has just stated. */
  add(departures: Iterable<Departure>, nowMs: Milliseconds): void {
    for (const { id, bornMs, phase } of departures) {
      if (covers(this.find(id), { bornMs, phase })) continue;
      this.#removeOld(nowMs);
      // The oldest is first in the map.
      this.#heard.delete(id);
      this.#heard.set(id, { id, bornMs, phase, heardMs: nowMs });
      this.#revision += 1;
    }
  }

  #removeOld(nowMs: Milliseconds): void {
    for (const [id, { heardMs }] of this.#heard) {
      const isOld = nowMs - heardMs > DEPARTURE_RETENTION_MS;
      if (!isOld && this.#heard.size < MAXIMUM_DEPARTURES) return;
      this.#heard.delete(id);
    }
  }
}
