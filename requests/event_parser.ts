/**
 * Takes a stream of server-sent events apart. Only whole events are given out.
 *
 * @module
 */

/** One event of a stream. */
export interface StreamEvent {
  readonly id: number;
  /** Its data lines, separated by line feeds. */
  readonly data: string;
  /** The event as it was received, with the empty line that ends it. */
  readonly raw: string;
  /** Lines before the data that are no fields of events, by lower-case name. */
  readonly extraFields: ReadonlyMap<string, string>;
}

const END_OF_EVENT = "\n\n";

/**
 * Cuts text into events.
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

  /** Whether a part of an event is left over. */
  get hasPartialEvent(): boolean {
    return this.#pending.trim() !== "";
  }

  /** The events that these bytes complete. */
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
    return events;
  }
}

function parseEvent(raw: string): StreamEvent | undefined {
  const data: string[] = [];
  const notes = new Map<string, string>();
  let id: number | undefined;
  for (const line of raw.split("\n")) {
    const colon = line.indexOf(":");
    if (colon <= 0) continue;
    const name = line.slice(0, colon).toLowerCase();
    const rest = line.slice(colon + 1);
    const value = rest.startsWith(" ") ? rest.slice(1) : rest;
    if (name === "data") data.push(value);
    else if (name === "id") id = Number(value);
    else notes.set(name, value.trim());
  }
  if (id === undefined || !Number.isInteger(id)) return undefined;
  return { id, data: data.join("\n"), raw, extraFields: notes };
}
