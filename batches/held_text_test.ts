import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { packText, textLength, textOf } from "./held_text.ts";

test("a packed text is read back unchanged, whatever its characters", () => {
  const texts = fc.string({ unit: "binary", maxLength: 200 });
  fc.assert(
    fc.property(texts, (text) => {
      const packed = packText(text);
      assert.equal(textOf(packed), text);
      assert.equal(packed.length, textLength(text));
      assert.equal(packed.buffer.byteLength, packed.length);
    }),
    { seed: 3, numRuns: 500 },
  );
  for (const text of ["", "\uFEFFa", "\0", "a\nb"]) {
    assert.equal(textOf(packText(text)), text);
  }
});

test("packing a packed text returns it", () => {
  const packed = packText("text");
  assert.equal(packText(packed), packed);
});
