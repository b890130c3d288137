import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Bytes,
  type HeldSizes,
  MemoryEventLog,
  MemoryHolder,
  Metrics,
  VirtualClock,
} from "#core";
import { MEMORY_EVENTS } from "./events.ts";
import { MemoryReporter, readProcessMemory } from "./memory_reporter.ts";

const LIMIT_BYTES: Bytes = 1_000;

class CountingHolder extends MemoryHolder {
  logBytes: Bytes = 0;
  counted = 0;

  override heldSizes(): HeldSizes {
    this.counted += 1;
    return { bytes: { log: this.logBytes }, counts: { log_entries: 3 } };
  }
}

/** A reporter of a process whose memory the test sets. */
class Scene {
  readonly clock = new VirtualClock();
  readonly events = new MemoryEventLog();
  readonly metrics = new Metrics();
  readonly holder = new CountingHolder();
  residentBytes: Bytes = 100;
  readonly reporter: MemoryReporter;

  constructor(limitBytes: Bytes | null = LIMIT_BYTES) {
    this.reporter = new MemoryReporter({
      limitBytes,
      clock: this.clock,
      events: this.events,
      metrics: this.metrics,
      holder: this.holder,
      readMemory: () => ({
        residentBytes: this.residentBytes,
        peakBytes: 980,
        heapUsedBytes: 60,
        externalBytes: 30,
        arrayBufferBytes: 20,
      }),
    });
    this.reporter.start();
  }

  /** Sets the memory and returns the codes of the events that follow within 12 s. */
  codesAfter(residentBytes: Bytes): readonly number[] {
    const before = this.events.records().length;
    this.residentBytes = residentBytes;
    this.clock.advance(12_000);
    return this.events.records().slice(before).map((each) => each.event.code);
  }
}

test("memory that grows, nears its limit and falls is logged with what the process holds", () => {
  const scene = new Scene();
  scene.holder.logBytes = 400;
  assert.deepEqual(scene.codesAfter(120), []);
  assert.deepEqual(scene.codesAfter(520), [MEMORY_EVENTS.changed.code]);
  assert.deepEqual(scene.codesAfter(950), [MEMORY_EVENTS.nearLimit.code]);
  assert.deepEqual(scene.codesAfter(300), [MEMORY_EVENTS.fallen.code]);
  assert.equal(MEMORY_EVENTS.nearLimit.level, "warn");
  assert.deepEqual(scene.events.records()[1]?.fields, {
    residentBytes: 950,
    peakBytes: 980,
    heapUsedBytes: 60,
    externalBytes: 30,
    arrayBufferBytes: 20,
    limitBytes: LIMIT_BYTES,
    heldBytes: { log: 400 },
    heldCounts: { log_entries: 3 },
  });
});

test("memory and what the process holds are gauges from the start", async () => {
  const scene = new Scene();
  const text = await scene.metrics.render();
  assert.match(text, /^cicadafield_memory_bytes\{kind="resident"\} 100$/m);
  assert.match(text, /^cicadafield_memory_bytes\{kind="peak"\} 980$/m);
  assert.match(text, /^cicadafield_memory_bytes\{kind="limit"\} 1000$/m);
  assert.match(text, /^cicadafield_held_bytes\{what="log"\} 0$/m);
  assert.match(text, /^cicadafield_held_count\{what="log_entries"\} 3$/m);
});

test("without a limit there is no gauge of the limit", async () => {
  const scene = new Scene(null);
  assert.doesNotMatch(await scene.metrics.render(), /kind="limit"/);
});

test("what the process holds is counted every fifth sample only, unless there is an event", () => {
  const scene = new Scene();
  scene.clock.advance(100_000);
  assert.equal(scene.holder.counted, 11);
});

test("a stopped reporter takes no more samples", () => {
  const scene = new Scene();
  scene.reporter.stop();
  assert.deepEqual(scene.codesAfter(950), []);
});

test("the memory of this process is read in bytes", () => {
  const memory = readProcessMemory();
  assert.ok(memory.residentBytes > 10_000_000);
  assert.ok(memory.peakBytes >= memory.residentBytes / 2);
  assert.ok(memory.heapUsedBytes < memory.residentBytes);
});
