import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  decodeValue,
  encodeFrame,
  encodeValue,
  FrameDecoder,
} from "./frame.ts";

test("frames are decoded complete and in order however the bytes are split", () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record(
          { a: fc.string(), b: fc.integer() },
          { noNullPrototype: true },
        ),
        {
          maxLength: 8,
        },
      ),
      fc.integer({ min: 1, max: 40 }),
      (bodies, size) => {
        const bytes = Buffer.concat(
          bodies.map((body) => encodeFrame(body)),
        );
        const decoder = new FrameDecoder();
        const received: unknown[] = [];
        for (let at = 0; at < bytes.length; at += size) {
          received.push(
            ...decoder.push(bytes.subarray(at, at + size)).unwrap(),
          );
        }
        assert.deepEqual(received, bodies);
      },
    ),
    { seed: 11, numRuns: 200 },
  );
});

test("a frame of another format version or over the size limit is rejected", () => {
  const other = encodeFrame({ a: 1 });
  other[4] = 99;
  assert.equal(new FrameDecoder().push(other).ok, false);
  const large = encodeFrame({ a: "x".repeat(100) });
  assert.equal(new FrameDecoder(50).push(large).ok, false);
});

test("the bytes of a large frame that arrives in small chunks are copied about once", (context) => {
  const size = 1_000_000;
  const piece = 1_400;
  const bytes = encodeFrame({ text: "x".repeat(size) });
  let copied = 0;
  const concat = Buffer.concat;
  context.mock.method(Buffer, "concat", (parts: Uint8Array[]) => {
    for (const part of parts) copied += part.length;
    return concat(parts);
  });
  const decoder = new FrameDecoder();
  let received = 0;
  for (let at = 0; at < bytes.length; at += piece) {
    received += decoder.push(bytes.subarray(at, at + piece)).unwrap().length;
  }
  assert.equal(received, 1);
  assert.ok(copied <= 2 * bytes.length, `${copied} bytes were copied`);
});

test("an encoded value retains no more memory than its own bytes", () => {
  const value = encodeValue({ text: "x".repeat(300_000) });
  assert.equal(value.buffer.byteLength, value.length);
});

test("encoded values stay intact when further values of any size are encoded", () => {
  const texts = [10, 3_000_000, 0, 1_048_576, 500].map((length, index) =>
    String(index).repeat(length)
  );
  const encoded = texts.map((text) => encodeValue({ text }));
  const frames = texts.map((text) => encodeFrame({ text }));
  for (const [index, text] of texts.entries()) {
    assert.deepEqual(decodeValue(encoded[index] as Uint8Array), { text });
    const body = (frames[index] as Uint8Array).subarray(5);
    assert.deepEqual(decodeValue(body), { text });
  }
});

test("a deflated frame is smaller and decoded like any other, between frames that are not deflated", () => {
  const page = {
    results: Array.from({ length: 900 }, (_, at) => `text ${at}`),
  };
  const plain = encodeFrame(page);
  const deflated = encodeFrame(page, { deflate: true });
  assert.ok(deflated.length < plain.length * 0.7);
  const small = encodeFrame({ kind: "ping" }, { deflate: true });
  const decoder = new FrameDecoder();
  const bodies = decoder.push(Buffer.concat([small, deflated, plain])).unwrap();
  assert.deepEqual(bodies, [{ kind: "ping" }, page, page]);
});

test("a frame that would exceed the size limit when inflated is rejected", () => {
  const bomb = encodeFrame({ a: "x".repeat(60_000) }, { deflate: true });
  assert.ok(bomb.length < 2_000);
  assert.equal(new FrameDecoder(30_000).push(bomb).ok, false);
  const broken = encodeFrame({ a: "x".repeat(60_000) }, { deflate: true });
  broken.fill(255, 5);
  assert.equal(new FrameDecoder().push(broken).ok, false);
});
