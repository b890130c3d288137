/**
 * Stores departures of upstreams in the control log before they are acknowledged.
 *
 * @module
 */
import type { Clock, ControlPort, EventLog, Milliseconds } from "#core";
import {
  covers,
  type Departure,
  type KnownDepartures,
} from "./departures_machine.ts";
import { MEMBERSHIP_EVENTS } from "./events.ts";

/** Options of `DepartureRecorder`. */
export interface DepartureRecorderOptions {
  readonly control: ControlPort;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly departures: KnownDepartures;
}

/** Records departures. */
export class DepartureRecorder {
  readonly #options: DepartureRecorderOptions;
  /** Departures on their way to the log; callers repeat a call that takes a while. */
  readonly #pending = new Map<string, Promise<boolean>>();

  constructor(options: DepartureRecorderOptions) {
    this.#options = options;
  }

  /** Returns whether the log holds a departure, so that it may be acknowledged; stores it first if it does not. */
  record(departure: Departure): Promise<boolean> {
    const { id, bornMs, phase } = departure;
    const known = this.#options.departures.find(id);
    if (covers(known, departure)) return Promise.resolve(true);
    const key = `${bornMs} ${phase} ${id}`;
    const pending = this.#pending.get(key);
    if (pending !== undefined) return pending;
    const stored = this.#store(departure).finally(() =>
      this.#pending.delete(key)
    );
    this.#pending.set(key, stored);
    return stored;
  }

  async #store(departure: Departure): Promise<boolean> {
    const { clock, control, events } = this.#options;
    const startedMs = clock.nowMs();
    const stored = await control.propose({
      machine: "departures",
      command: departure,
    });
    const tookMs: Milliseconds = Math.round(clock.nowMs() - startedMs);
    const { id, ...fields } = departure;
    if (stored.ok) {
      events.emit(MEMBERSHIP_EVENTS.departureStored, {
        upstream: id,
        ...fields,
        tookMs,
      });
      return true;
    }
    const { kind: failure, message: reason } = stored.val;
    events.emit(MEMBERSHIP_EVENTS.departureNotStored, {
      upstream: id,
      ...fields,
      tookMs,
      failure,
      reason,
    });
    // A leader of an earlier build knows no such machine; departures are in the memory of the control VMs then.
    return failure === "malformed_request";
  }
}
