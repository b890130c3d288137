/**
 * Parses a stream of server-sent events. Only complete events are returned.
 *
 * @module
 */

import { KIBIBYTE } from "#core";
import { FoulBytesError } from "./foul_bytes.ts";

/** One event of a stream. */
export interface StreamEvent {
  readonly id: number;
  /** Its data lines, joined by line feeds. */
  readonly data: string;
  /** The event as received, including the empty line that ends it. */
  readonly raw: string;
  /** Fields other than `id` and `data`, by lower-case name. */
  readonly extraFields: ReadonlyMap<string, string>;
}

const END_OF_EVENT = "\n\n";
/** Longest incomplete event, in UTF-16 units; an upstream that never ends an event must not fill the memory. */
const MAXIMUM_PARTIAL_EVENT_LENGTH = 256 * KIBIBYTE;

/**
 * Incremental parser of server-sent events.
 *
 * @example
 * ```ts
 * const parser = new EventParser();
 * for (const event of parser.push("id: 1\ndata: a\n\nid: 2")) console.log(event.data);
 * ```
 */
export class EventParser {
  readonly #decoder = new TextDecoder();
  #pending = "";

  /** Whether the beginning of an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#pending.trim() !== "";
  }

  /** Adds data and returns the events that it completes; throws if an incomplete event exceeds 256 KiB. */
  push(bytes: Uint8Array | string): readonly StreamEvent[] {
    const text = typeof bytes === "string"
      ? bytes
      : this.#decoder.decode(bytes, { stream: true });
    this.#pending += text.replaceAll("\r\n", "\n");
    const events: StreamEvent[] = [];
    let end = this.#pending.indexOf(END_OF_EVENT);
    while (end >= 0) {
      const raw = this.#pending.slice(0, end + END_OF_EVENT.length);
      this.#pending = this.#pending.slice(raw.length);
      const event = parseEvent(raw);
      if (event !== undefined) events.push(event);
      end = this.#pending.indexOf(END_OF_EVENT);
    }
    if (this.#pending.length > MAXIMUM_PARTIAL_EVENT_LENGTH) {
      throw new FoulBytesError("an event of the stream is too long");
    }
    return events;
  }
}

function parseEvent(raw: string): StreamEvent | undefined {
  const data: string[] = [];
  const extraFields = new Map<string, string>();
  let id: number | undefined;
  for (const line of raw.split("\n")) {
    const colon = line.indexOf(":");
    if (colon <= 0) continue;
    const name = line.slice(0, colon).toLowerCase();
    const rawValue = line.slice(colon + 1);
    const value = rawValue.startsWith(" ") ? rawValue.slice(1) : rawValue;
    if (name === "data") data.push(value);
    else if (name === "id") id = Number(value);
    else extraFields.set(name, value.trim());
  }
  if (id === undefined || !Number.isInteger(id)) return undefined;
  return { id, data: data.join("\n"), raw, extraFields };
}
