/**
 * Numbered log events. Each folder defines its own events in `events.ts`; `docs/EVENTS.md` lists all.
 *
 * Ranges: core 1000, wire 1100, agreement 1200, bundles 1300, membership 1400, requests 1500,
 * samples 1600, weights 1700, programs 1800, fakes 1900, batches 2000, platform 2100.
 *
 * @module
 */
import process from "node:process";
import { type Logger, pino } from "pino";
import { type Bytes, MEBIBYTE } from "./units.ts";

/** Lines that wait to be written; more are dropped. */
const MAXIMUM_QUEUED_BYTES: Bytes = 4 * MEBIBYTE;

/** How urgent an event is. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** One kind of event. */
export interface EventDefinition {
  /** Number that stays the same from release to release. */
  readonly code: number;
  readonly level: EventLevel;
  /** What happened, in one sentence without values. */
  readonly text: string;
  /** What an operator does about it. */
  readonly action: string;
}

/** Values that go with an event. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Where events go. */
export abstract class EventLog {
  /** Records one event. */
  abstract emit(event: EventDefinition, fields?: EventFields): void;
}

/** Writes events as JSON lines to standard error. */
export class PinoEventLog extends EventLog {
  readonly #logger: Logger;

  constructor(options: {
    readonly program: string;
    readonly level: string;
    /** `queued`: no write waits for whoever reads; what is queued is written at the end of the process. */
    readonly writes?: "direct" | "queued";
  }) {
    super();
    const direct = options.writes !== "queued";
    const destination = pino.destination({
      dest: 2,
      sync: direct,
      maxLength: MAXIMUM_QUEUED_BYTES,
    });
    if (!direct) process.on("exit", () => destination.flushSync());
    this.#logger = pino(
      { name: options.program, level: options.level },
      destination,
    );
  }

  override emit(event: EventDefinition, fields: EventFields = {}): void {
    this.#logger[event.level]({ event: event.code, ...fields }, event.text);
  }
}

/** One event as recorded by `MemoryEventLog`. */
export interface RecordedEvent {
  readonly event: EventDefinition;
  readonly fields: EventFields;
}

/** Keeps events in memory, for tests. */
export class MemoryEventLog extends EventLog {
  readonly #records: RecordedEvent[] = [];

  override emit(event: EventDefinition, fields: EventFields = {}): void {
    this.#records.push({ event, fields });
  }

  /** All events recorded so far, oldest first. */
  records(): readonly RecordedEvent[] {
    return this.#records;
  }
}
