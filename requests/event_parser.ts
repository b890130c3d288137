/**
 * Parses a stream of server-sent events. Only complete events are returned. Lines may end with LF, CR LF or CR, and a
 * chunk may end anywhere.
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
  /** All that was received since the event before, up to the empty line that ends this one. */
  readonly raw: string;
  /** Fields other than `id` and `data`, by lower-case name. */
  readonly extraFields: ReadonlyMap<string, string>;
}

const LINE_END = /\r\n|\n|\r/;
/** The end of a line and an empty line; a CR before a LF does not end a line by itself. */
const EVENT_END = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)/g;
/** Characters of an end that may be in one chunk while the last one is in the next. */
const MAXIMUM_SPLIT_END_LENGTH = 3;
const BYTE_ORDER_MARK = "\ufeff";
/** Longest text without an event, in UTF-16 units; an upstream that never ends an event must not fill the memory. */
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
  readonly #decoder = new TextDecoder("utf-8", { ignoreBOM: true });
  /** Complete blocks without an event, such as comments, which belong to the raw text of the next one. */
  #skipped = "";
  #pending = "";
  /** Whether the last block ended with a CR, so that a LF may still belong to its end. */
  #mayEndWithLineFeed = false;

  /** Whether the beginning of an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#pending.trim() !== "";
  }

  /** What was received since the last event. */
  get rest(): string {
    return this.#skipped + this.#pending;
  }

  /** Adds data and returns the events that it completes; throws if there is none within 256 KiB. */
  push(bytes: Uint8Array | string): readonly StreamEvent[] {
    const text = typeof bytes === "string"
      ? bytes
      : this.#decoder.decode(bytes, { stream: true });
    const unsearched = Math.max(
      0,
      this.#pending.length - MAXIMUM_SPLIT_END_LENGTH,
    );
    this.#pending += this.#withoutLineFeed(text);
    const events = this.#takeEvents(unsearched);
    if (this.rest.length > MAXIMUM_PARTIAL_EVENT_LENGTH) {
      throw new FoulBytesError("an event of the stream is too long");
    }
    return events;
  }

  /** Removes the LF that belongs to the end of the last block, which is passed on with the next one. */
  #withoutLineFeed(text: string): string {
    if (!this.#mayEndWithLineFeed || text === "") return text;
    this.#mayEndWithLineFeed = false;
    if (!text.startsWith("\n")) return text;
    this.#skipped += "\n";
    return text.slice(1);
  }

  #takeEvents(searchFrom: number): readonly StreamEvent[] {
    const events: StreamEvent[] = [];
    let begin = 0;
    EVENT_END.lastIndex = searchFrom;
    for (
      let end = EVENT_END.exec(this.#pending);
      end !== null;
      end = EVENT_END.exec(this.#pending)
    ) {
      const block = this.#pending.slice(begin, EVENT_END.lastIndex);
      begin = EVENT_END.lastIndex;
      const event = parseEvent(block, this.#skipped);
      if (event === undefined) this.#skipped += block;
      else {
        this.#skipped = "";
        events.push(event);
      }
    }
    if (begin > 0) {
      this.#mayEndWithLineFeed = begin === this.#pending.length &&
        this.#pending.endsWith("\r");
      this.#pending = this.#pending.slice(begin);
    }
    return events;
  }
}

/** Returns the event of a block, or undefined if the block has none, as a comment. */
function parseEvent(block: string, skipped: string): StreamEvent | undefined {
  const data: string[] = [];
  const extraFields = new Map<string, string>();
  let id: number | undefined;
  for (const line of lines(block)) {
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
  return { id, data: data.join("\n"), raw: skipped + block, extraFields };
}

function lines(block: string): readonly string[] {
  const text = block.startsWith(BYTE_ORDER_MARK) ? block.slice(1) : block;
  return text.split(LINE_END);
}
