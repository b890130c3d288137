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
