/**
 * Measures where the memory of a process that holds a replica goes, for the benchmark `memory`.
 *
 * @module
 */
import process from "node:process";
import { type DataFolder, FileFolder, type LogSizes } from "#agreement";
import { type Bytes, MEBIBYTE } from "#core";

const KIBIBYTES_PER_MEBIBYTE = 1_024;

/** Memory of the process at one time, in MiB; names end in their unit. */
export interface MemorySample {
  readonly at: string;
  readonly residentMib: number;
  /** Highest resident memory so far. */
  readonly peakMib: number;
  readonly heapUsedMib: number;
  readonly externalMib: number;
  readonly arrayBuffersMib: number;
  /** Bodies of the log entries in memory. */
  readonly logMib: number;
  /** Replicated state, roughly; see `StateMachine.stateBytes`. */
  readonly stateMib: number;
  readonly snapshotMib: number;
}

/** Collects samples. */
export class MemorySamples {
  readonly list: MemorySample[] = [];
  readonly #sizes: () => LogSizes;

  constructor(sizes: () => LogSizes) {
    this.#sizes = sizes;
  }

  /** Adds a sample. If the process runs with `--expose-gc`, garbage is collected before. */
  add(at: string): void {
    globalThis.gc?.();
    const usage = process.memoryUsage();
    const peakKib = process.resourceUsage().maxRSS;
    const sizes = this.#sizes();
    this.list.push({
      at,
      residentMib: mebibytes(usage.rss),
      peakMib: Math.round(peakKib / KIBIBYTES_PER_MEBIBYTE),
      heapUsedMib: mebibytes(usage.heapUsed),
      externalMib: mebibytes(usage.external),
      arrayBuffersMib: mebibytes(usage.arrayBuffers),
      logMib: mebibytes(sizes.logBytes),
      stateMib: mebibytes(sizes.stateBytes),
      snapshotMib: mebibytes(sizes.snapshotBytes),
    });
  }
}

/** A data folder that takes a sample before and after it replaces a file, and after it reads one. */
export class MeasuredFolder extends FileFolder {
  readonly #add: (at: string) => void;

  constructor(path: string, add: (at: string) => void) {
    super(path, { lock: "none" });
    this.#add = add;
  }

  override async read(name: string): Promise<Uint8Array> {
    const bytes = await super.read(name);
    this.#add(`read ${describeFile(name, bytes.length)}`);
    return bytes;
  }

  override async replace(name: string, bytes: Uint8Array): Promise<void> {
    const file = describeFile(name, bytes.length);
    this.#add(`before writing ${file}`);
    await super.replace(name, bytes);
    this.#add(`wrote ${file}`);
  }
}

/** Returns a folder for a replica: a measured one if there is something to add samples to. */
export function openFolder(
  path: string,
  add: ((at: string) => void) | undefined,
): DataFolder {
  if (add === undefined) return new FileFolder(path, { lock: "none" });
  return new MeasuredFolder(path, add);
}

function describeFile(name: string, length: Bytes): string {
  const [kind] = name.split("-");
  return `${kind} file of ${mebibytes(length)} MiB`;
}

function mebibytes(bytes: Bytes): number {
  return Math.round(bytes / MEBIBYTE * 10) / 10;
}
