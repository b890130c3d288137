/**
 * Reports the memory of the process and what it holds, as log events and metrics.
 *
 * @module
 */
import process from "node:process";
import {
  type Bytes,
  type Clock,
  type EventDefinition,
  type EventLog,
  type HeldSizes,
  type MemoryChange,
  type MemoryHolder,
  MemoryWatch,
  type Metrics,
  type Milliseconds,
  type Timer,
} from "#core";
import { MEMORY_EVENTS } from "./events.ts";

const SAMPLE_INTERVAL_MS: Milliseconds = 2_000;
/** Sizes of what is held take longer to count than the memory of the process. */
const SAMPLES_PER_COUNT = 5;
const BYTES_PER_KIBIBYTE = 1_024;

const EVENT_BY_CHANGE: Readonly<Record<MemoryChange, EventDefinition>> = {
  grown: MEMORY_EVENTS.changed,
  fallen: MEMORY_EVENTS.fallen,
  near_limit: MEMORY_EVENTS.nearLimit,
};

/** Memory of the process. */
export interface ProcessMemory {
  readonly residentBytes: Bytes;
  /** Highest resident memory since the process started, also between samples. */
  readonly peakBytes: Bytes;
  readonly heapUsedBytes: Bytes;
  /** Memory outside the heap that belongs to objects in it, with array buffers. */
  readonly externalBytes: Bytes;
  readonly arrayBufferBytes: Bytes;
}

/** Options of `MemoryReporter`. */
export interface MemoryReporterOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly holder: MemoryHolder;
  /** Memory at which the process is ended; null if there is no limit. */
  readonly limitBytes: Bytes | null;
  /** Returns the memory of the process. */
  readonly readMemory?: () => ProcessMemory;
}

/** Samples the memory of the process every 2 s, and counts what it holds every 10 s and for each event. */
export class MemoryReporter {
  readonly #options: MemoryReporterOptions;
  readonly #watch: MemoryWatch;
  readonly #memory;
  readonly #heldBytes;
  readonly #heldCounts;
  #timer: Timer | undefined;
  #samples = 0;

  constructor(options: MemoryReporterOptions) {
    this.#options = options;
    this.#watch = new MemoryWatch(options.limitBytes);
    const { metrics } = options;
    this.#memory = metrics.gauge({
      name: "cicadafield_memory_bytes",
      help:
        "Memory of the process by kind; external includes array_buffers, and limit is absent if there is none.",
      labels: ["kind"],
    });
    this.#heldBytes = metrics.gauge({
      name: "cicadafield_held_bytes",
      help: "Size of what the process holds in memory.",
      labels: ["what"],
    });
    this.#heldCounts = metrics.gauge({
      name: "cicadafield_held_count",
      help: "Number of what the process holds in memory.",
      labels: ["what"],
    });
  }

  /** Starts to sample; the first sample is taken at once. */
  start(): void {
    const { clock, limitBytes } = this.#options;
    if (limitBytes !== null) this.#memory.set({ kind: "limit" }, limitBytes);
    this.#sample();
    this.#timer = clock.every(SAMPLE_INTERVAL_MS, () => this.#sample());
  }

  /** Stops sampling. */
  stop(): void {
    this.#timer?.cancel();
  }

  #sample(): void {
    const memory = (this.#options.readMemory ?? readProcessMemory)();
    this.#setMemory(memory);
    const nowMs = this.#options.clock.nowMs();
    const change = this.#watch.observe(memory.residentBytes, nowMs);
    const isCountDue = this.#samples % SAMPLES_PER_COUNT === 0;
    this.#samples += 1;
    if (change === undefined && !isCountDue) return;
    const sizes = this.#options.holder.heldSizes();
    this.#setSizes(sizes);
    if (change !== undefined) this.#emit(change, memory, sizes);
  }

  #emit(change: MemoryChange, memory: ProcessMemory, sizes: HeldSizes): void {
    const { limitBytes } = this.#options;
    this.#options.events.emit(EVENT_BY_CHANGE[change], {
      ...memory,
      limitBytes,
      heldBytes: sizes.bytes,
      heldCounts: sizes.counts,
    });
  }

  #setMemory(memory: ProcessMemory): void {
    this.#memory.set({ kind: "resident" }, memory.residentBytes);
    this.#memory.set({ kind: "peak" }, memory.peakBytes);
    this.#memory.set({ kind: "heap_used" }, memory.heapUsedBytes);
    this.#memory.set({ kind: "external" }, memory.externalBytes);
    this.#memory.set({ kind: "array_buffers" }, memory.arrayBufferBytes);
  }

  #setSizes(sizes: HeldSizes): void {
    for (const [what, bytes] of Object.entries(sizes.bytes)) {
      this.#heldBytes.set({ what }, bytes);
    }
    for (const [what, count] of Object.entries(sizes.counts)) {
      this.#heldCounts.set({ what }, count);
    }
  }
}

/** Returns the memory of this process. */
export function readProcessMemory(): ProcessMemory {
  const usage = process.memoryUsage();
  return {
    residentBytes: usage.rss,
    peakBytes: process.resourceUsage().maxRSS * BYTES_PER_KIBIBYTE,
    heapUsedBytes: usage.heapUsed,
    externalBytes: usage.external,
    arrayBufferBytes: usage.arrayBuffers,
  };
}
