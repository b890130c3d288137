/**
 * Numbered log events. Each folder defines its events in its `events.ts`; `docs/EVENTS.md` lists all of them.
 *
 * Ranges: core 1000, wire 1100, agreement 1200, bundles 1300, membership 1400, requests 1500,
 * samples 1600, weights 1700, programs 1800, fakes 1900, batches 2000, platform 2100, quotas 2200,
 * crashes 2300, duties 2350.
 *
 * @module
 */
import process from "node:process";
import { type Logger, pino } from "pino";
import { type Bytes, MEBIBYTE } from "./units.ts";

/** Maximum size of the queue of unwritten log lines; further lines are dropped. */
const MAXIMUM_QUEUED_BYTES: Bytes = 4 * MEBIBYTE;

/** Log level of an event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** Definition of one kind of event. */
export interface EventDefinition {
  /** Number of the event; stable across releases. */
  readonly code: number;
  readonly level: EventLevel;
  /** What happened, in one sentence without values. */
  readonly text: string;
  /** What an operator should do. */
  readonly action: string;
}

/** Values logged with an event. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Destination of log events. */
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
    /** With `queued`, a slow reader of the log never blocks the process; queued lines are flushed at exit. */
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

/** An event recorded by `MemoryEventLog`. */
export interface RecordedEvent {
  readonly event: EventDefinition;
  readonly fields: EventFields;
}

/** Records events in memory, for tests. */
export class MemoryEventLog extends EventLog {
  readonly #records: RecordedEvent[] = [];

  override emit(event: EventDefinition, fields: EventFields = {}): void {
    this.#records.push({ event, fields });
  }

  /** Returns all recorded events, oldest first. */
  records(): readonly RecordedEvent[] {
    return this.#records;
  }
}
