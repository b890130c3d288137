/**
 * Logs the upstreams of services that no configuration names, each once.
 *
 * @module
 */
import type { EventLog, FleetUpstream } from "#core";
import { MEMBERSHIP_EVENTS } from "./events.ts";

const MAXIMUM_REMEMBERED = 1_024;

/** Remembers which of them were logged. */
export class UnnamedUpstreamsLog {
  readonly #events: EventLog;
  readonly #logged = new Set<string>();

  constructor(events: EventLog) {
    this.#events = events;
  }

  /** Logs an upstream unless that has been done for its identifier and service. */
  report({ id, service, address }: FleetUpstream): void {
    const key = `${id} ${service}`;
    if (this.#logged.has(key)) return;
    if (this.#logged.size >= MAXIMUM_REMEMBERED) this.#logged.clear();
    this.#logged.add(key);
    this.#events.emit(MEMBERSHIP_EVENTS.unnamedService, {
      upstream: id,
      service,
      address: `${address.host}:${address.port}`,
    });
  }
}
