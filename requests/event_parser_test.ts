import assert from "node:assert/strict";
import { test } from "node:test";
import { KIBIBYTE, MEBIBYTE } from "#core";
import { EventParser } from "./event_parser.ts";

test("an event that never ends fails instead of filling the memory of the process", () => {
  const parser = new EventParser();
  const piece = "x".repeat(64 * KIBIBYTE);
  parser.push("id: 1\ndata: ");
  assert.throws(() => {
    for (let length = 0; length < MEBIBYTE / 2; length += piece.length) {
      parser.push(piece);
    }
  }, /too long/);
});

test("many complete events that arrive at once are returned, and the next incomplete one stays", () => {
  const parser = new EventParser();
  const data = "x".repeat(KIBIBYTE);
  let text = "";
  for (let id = 1; id <= 2_000; id += 1) text += `id: ${id}\ndata: ${data}\n\n`;
  const events = parser.push(`${text}id: 2001\ndata: `);
  assert.equal(events.length, 2_000);
  assert.equal(parser.hasPartialEvent, true);
  const [last] = parser.push("end\n\n");
  assert.equal(last?.data, "end");
});

/** A stream with these ends of lines: comments, several data lines, and fields without a space. */
function streamWith(lineEnd: string): string {
  const text = [
    ": begin",
    "",
    "id: 1",
    "data: a ",
    "",
    "version: 2",
    "id:2",
    "data:  b",
    "data: c:d",
    "",
    ": still there",
    "",
    "id: 3",
    "data: é\u2028x",
    "",
    ": end",
    "",
    "",
  ];
  return text.join(lineEnd);
}

function parseIn(chunks: readonly Uint8Array[]): {
  readonly events: readonly string[];
  readonly raw: string;
  readonly hasPartialEvent: boolean;
} {
  const parser = new EventParser();
  const events: string[] = [];
  let raw = "";
  for (const chunk of chunks) {
    for (const event of parser.push(chunk)) {
      const { id, data, extraFields } = event;
      events.push(JSON.stringify([id, data, ...extraFields]));
      raw += event.raw;
    }
  }
  raw += parser.rest;
  return { events, raw, hasPartialEvent: parser.hasPartialEvent };
}

// Guards against texts with a CR that no upstream sent, and events taken for one, where a chunk ends within CR LF.
for (const [name, end] of [["LF", "\n"], ["CR LF", "\r\n"], ["CR", "\r"]]) {
  test(`a stream whose lines end with ${name} has the same events and bytes wherever its chunks end`, () => {
    const text = streamWith(end ?? "");
    const bytes = new TextEncoder().encode(text);
    const expected = {
      events: [
        JSON.stringify([1, "a "]),
        JSON.stringify([2, " b\nc:d", ["version", "2"]]),
        JSON.stringify([3, "é\u2028x"]),
      ],
      raw: text,
      hasPartialEvent: false,
    };
    for (let first = 0; first <= bytes.length; first += 1) {
      for (let second = first; second <= bytes.length; second += 1) {
        const chunks = [
          bytes.subarray(0, first),
          bytes.subarray(first, second),
          bytes.subarray(second),
        ];
        assert.deepEqual(parseIn(chunks), expected);
      }
    }
    const single = Array.from(bytes, (byte) => Uint8Array.of(byte));
    assert.deepEqual(parseIn(single), expected);
  });
}

// Guards against events that wait for the next one because their last character may be half of a CR LF.
test("an event is returned as soon as its empty line has begun", () => {
  const parser = new EventParser();
  const [event] = parser.push("id: 1\r\ndata: a\r\n\r");
  assert.equal(event?.data, "a");
  const [next] = parser.push("\nid: 2\r\ndata: b\r\n\r\n");
  assert.equal(next?.raw, "\nid: 2\r\ndata: b\r\n\r\n");
  assert.equal(parser.rest, "");
});

test("a byte order mark before the first event does not hide it", () => {
  const parser = new EventParser();
  const bytes = new TextEncoder().encode("\ufeffid: 1\ndata: a\n\n");
  const [event] = parser.push(bytes);
  assert.equal(event?.id, 1);
  assert.equal(event?.raw, "\ufeffid: 1\ndata: a\n\n");
});

test("comments without end fail instead of filling the memory of the process", () => {
  const parser = new EventParser();
  const comments = ": there\n\n".repeat(KIBIBYTE);
  assert.throws(() => {
    for (let at = 0; at < 64; at += 1) parser.push(comments);
  }, /too long/);
});
