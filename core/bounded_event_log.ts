/**
 * Limits the rate of the log: writes a bounded number of events of each kind per second, and counts and reports
 * the events that it suppresses. Events of level `error` are always written.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import { type EventDefinition, type EventFields, EventLog } from "./events.ts";
import { type Milliseconds, SECOND_MS } from "./units.ts";

/** Maximum number of events of one kind that are written per second. */
const MAXIMUM_EVENTS_PER_SECOND = 40;

/** Reports the number of suppressed events of one kind. */
export const EVENTS_SUPPRESSED: EventDefinition = {
  code: 1001,
  level: "warn",
  text: "suppressed events of one kind that exceeded the rate limit of the log",
  action:
    "None; the field `of` holds the code of the events and `count` their number.",
};

interface EventWindow {
  startedMs: Milliseconds;
  written: number;
  suppressed: number;
}

/** Forwards events to another log, up to the rate limit. */
export class BoundedEventLog extends EventLog {
  readonly #inner: EventLog;
  readonly #clock: Clock;
  readonly #windows = new Map<number, EventWindow>();

  constructor(inner: EventLog, clock: Clock) {
    super();
    this.#inner = inner;
    this.#clock = clock;
  }

  override emit(event: EventDefinition, fields: EventFields = {}): void {
    const window = this.#currentWindow(event.code);
    if (event.level === "error" || window.written < MAXIMUM_EVENTS_PER_SECOND) {
      window.written += 1;
      this.#inner.emit(event, fields);
      return;
    }
    window.suppressed += 1;
  }

  #currentWindow(code: number): EventWindow {
    const nowMs = this.#clock.nowMs();
    const current = this.#windows.get(code);
    if (current !== undefined && nowMs < current.startedMs + SECOND_MS) {
      return current;
    }
    if (current !== undefined && current.suppressed > 0) {
      const { suppressed: count } = current;
      this.#inner.emit(EVENTS_SUPPRESSED, { of: code, count });
    }
    const fresh = { startedMs: nowMs, written: 0, suppressed: 0 };
    this.#windows.set(code, fresh);
    return fresh;
  }
}
