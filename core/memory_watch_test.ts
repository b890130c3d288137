import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryWatch } from "./memory_watch.ts";
import { type Bytes, MEBIBYTE } from "./units.ts";

const LIMIT_BYTES: Bytes = 1_000;
const SAMPLE_MS = 2_000;

/** Observes a series of figures, one every 2 s, and returns the changes with their figures. */
function changesOf(
  figures: readonly Bytes[],
  limitBytes: Bytes | null = LIMIT_BYTES,
): readonly string[] {
  const watch = new MemoryWatch(limitBytes);
  const changes: string[] = [];
  for (const [at, bytes] of figures.entries()) {
    const change = watch.observe(bytes, at * SAMPLE_MS);
    if (change !== undefined) changes.push(`${change} ${bytes}`);
  }
  return changes;
}

/** Returns the same figure for longer than the interval between reports. */
function steady(bytes: Bytes): readonly Bytes[] {
  return Array.from({ length: 6 }, () => bytes);
}

test("half, three quarters and nine tenths of the limit are each reported once, at once", () => {
  const figures = [300, 499, 500, 510, 749, 750, 899, 900, 950];
  assert.deepEqual(changesOf(figures), [
    "grown 500",
    "grown 750",
    "near_limit 900",
  ]);
});

test("a jump over all marks is reported as near the limit", () => {
  assert.deepEqual(changesOf([200, 1_050]), ["near_limit 1050"]);
});

test("a process that starts above a mark reports it", () => {
  assert.deepEqual(changesOf([600]), ["grown 600"]);
});

test("growth by a quarter of the limit below the first mark is reported", () => {
  const figures = [100, 349, 350, 450];
  assert.deepEqual(changesOf(figures), ["grown 350"]);
});

test("further growth above nine tenths of the limit is reported as near the limit", () => {
  const figures = [950, ...steady(950), 1_200];
  assert.deepEqual(changesOf(figures), ["near_limit 950", "near_limit 1200"]);
});

test("a fall below a mark is reported after it is clearly below the mark", () => {
  const figures = [400, 760, ...steady(710), 699, ...steady(699)];
  assert.deepEqual(changesOf(figures), ["grown 760", "fallen 699"]);
});

test("a rise after a reported fall is reported again", () => {
  const figures = [400, 760, ...steady(600), 760];
  assert.deepEqual(changesOf(figures), [
    "grown 760",
    "fallen 600",
    "grown 760",
  ]);
});

test("memory that swings around a mark is reported at most twice per interval", () => {
  const figures = Array.from(
    { length: 300 },
    (_, at) => at % 2 === 0 ? 920 : 840,
  );
  const intervals = 300 * SAMPLE_MS / 10_000;
  assert.ok(changesOf(figures).length <= 2 * intervals);
});

test("memory that swings within the margin of a mark is reported once", () => {
  const figures = Array.from(
    { length: 300 },
    (_, at) => at % 2 === 0 ? 910 : 860,
  );
  assert.deepEqual(changesOf(figures), ["near_limit 910"]);
});

test("without a limit, only growth and falls by 64 MiB are reported", () => {
  const figures = [50, 113, 114, ...steady(114), 50].map((mebibytes) =>
    mebibytes * MEBIBYTE
  );
  assert.deepEqual(changesOf(figures, null), [
    `grown ${114 * MEBIBYTE}`,
    `fallen ${50 * MEBIBYTE}`,
  ]);
});
