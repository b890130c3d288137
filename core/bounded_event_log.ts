/**
 * Keeps the volume of the log bounded: of each kind of event so many a second are written, and what is left
 * out is counted and said.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import { type EventDefinition, type EventFields, EventLog } from "./events.ts";
import { type Milliseconds, SECOND_MS } from "./units.ts";

/** Events of one kind that are written in one second. */
const PER_SECOND = 40;

/** Says what was left out. */
export const EVENTS_LEFT_OUT: EventDefinition = {
  code: 1001,
  level: "warn",
  text: "events of one kind were left out of the log",
  action: "None; the field `count` says how many.",
};

interface Second {
  startedMs: Milliseconds;
  written: number;
  leftOut: number;
}

/** Passes events on to another log, up to the bound. */
export class BoundedEventLog extends EventLog {
  readonly #inner: EventLog;
  readonly #clock: Clock;
  readonly #seconds = new Map<number, Second>();

  constructor(inner: EventLog, clock: Clock) {
    super();
    this.#inner = inner;
    this.#clock = clock;
  }

  override emit(event: EventDefinition, fields: EventFields = {}): void {
    const second = this.#secondOf(event.code);
    if (event.level === "error" || second.written < PER_SECOND) {
      second.written += 1;
      this.#inner.emit(event, fields);
      return;
    }
    second.leftOut += 1;
  }

  #secondOf(code: number): Second {
    const nowMs = this.#clock.nowMs();
    const known = this.#seconds.get(code);
    if (known !== undefined && nowMs < known.startedMs + SECOND_MS) {
      return known;
    }
    if (known !== undefined && known.leftOut > 0) {
      const { leftOut: count } = known;
      this.#inner.emit(EVENTS_LEFT_OUT, { of: code, count });
    }
    const fresh = { startedMs: nowMs, written: 0, leftOut: 0 };
    this.#seconds.set(code, fresh);
    return fresh;
  }
}
