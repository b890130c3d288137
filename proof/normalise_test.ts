import assert from "node:assert/strict";
import { test } from "node:test";
import { compareTranscripts } from "./golden_files.ts";
import { Normaliser } from "./normalise.ts";

test("equal identifiers are replaced by equal placeholders and different ones by different placeholders", () => {
  const normaliser = new Normaliser();
  const one = "0123456789abcdef".repeat(2);
  const two = "fedcba9876543210".repeat(2);
  assert.equal(
    normaliser.normaliseText(`${one} ${two} ${one}`),
    "<identifier 1> <identifier 2> <identifier 1>",
  );
});

test("times and log indexes are replaced by placeholders, and other numbers are unchanged", () => {
  const value = new Normaliser().normaliseJson({
    acceptedAtMs: 1_796_330_340_420,
    index: 7,
    version: 3,
  });
  assert.deepEqual(value, {
    acceptedAtMs: "<acceptedAtMs>",
    index: "<index>",
    version: 3,
  });
});

test("a transcript that differs from its golden file fails with a line diff", () => {
  assert.throws(
    () => compareTranscripts("a\nb\nc\n", "a\nx\nc\n"),
    /\+ +'b',\n- +'x',/,
  );
});
