/**
 * A replica with a large state on a disk of limited speed, for tests.
 *
 * @module
 */
import assert from "node:assert/strict";
import {
  type Bytes,
  type Clock,
  type Committed,
  type Failure,
  MEBIBYTE,
  MemoryEventLog,
  type Milliseconds,
  Ok,
  type Result,
  SeededRandom,
  StateMachine,
  type StateRestoration,
  VirtualClock,
} from "#core";
import { MemoryNetwork } from "#wire";
import { MemoryDisk, MemoryFolder } from "./memory_folder.ts";
import { QuorumLog } from "./quorum_log.ts";
import { SHORT_TIMING } from "./timing.ts";

const SYNC_MS: Milliseconds = 1;
const DISK_BYTES_PER_MS = 10_000;
const START_MS: Milliseconds = 2_000;

/** Command of `BlobMachine`: stores a value under a key. */
export interface StoreBlob {
  readonly key: number;
  readonly blob: Uint8Array;
}

/** Values by key; each is a part of the snapshot. */
export class BlobMachine extends StateMachine<StoreBlob, null, null, number> {
  override readonly name = "bundles";
  blobs = new Map<number, Uint8Array>();

  override apply(entry: Committed<StoreBlob>): Result<null, Failure> {
    const { key, blob } = entry.command;
    this.blobs.set(key, new Uint8Array(blob));
    return Ok(null);
  }

  override query(): Result<number, Failure> {
    return Ok(this.blobs.size);
  }

  override snapshot(): unknown {
    return [...this.blobs];
  }

  override restore(state: unknown): void {
    this.blobs = new Map(state as [number, Uint8Array][]);
  }

  override snapshotParts(): Iterable<unknown> {
    return [...this.blobs];
  }

  override startRestoration(): StateRestoration {
    const blobs = new Map<number, Uint8Array>();
    return {
      add: (part) => {
        const [key, blob] = part as [number, Uint8Array];
        blobs.set(key, new Uint8Array(blob));
      },
      finish: () => {
        this.blobs = blobs;
      },
    };
  }
}

/** A folder on a disk of limited speed that records the size of the largest read and write. */
export class MeasuredFolder extends MemoryFolder {
  readonly #clock: Clock;
  largestBytes: Bytes = 0;

  constructor(disk: MemoryDisk, clock: Clock) {
    super(disk);
    this.#clock = clock;
  }

  override async read(name: string): Promise<Uint8Array> {
    return this.#measure(await super.read(name));
  }

  override async readRange(
    name: string,
    range: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array> {
    return this.#measure(await super.readRange(name, range));
  }

  override async replace(name: string, bytes: Uint8Array): Promise<void> {
    this.#measure(bytes);
    await this.#clock.sleep(bytes.length / DISK_BYTES_PER_MS);
    await super.replace(name, bytes);
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    this.#measure(bytes);
    await this.#clock.sleep(bytes.length / DISK_BYTES_PER_MS);
    await super.append(name, bytes);
  }

  #measure(bytes: Uint8Array): Uint8Array {
    this.largestBytes = Math.max(this.largestBytes, bytes.length);
    return bytes;
  }
}

/** One replica that is the whole group; its disk survives restarts. */
export class LargeStateReplica {
  readonly clock = new VirtualClock(1_000);
  readonly disk: MemoryDisk;
  readonly events = new MemoryEventLog();
  machine = new BlobMachine();
  folder: MeasuredFolder;
  log: QuorumLog;
  readonly #random = new SeededRandom(1);

  constructor() {
    this.disk = new MemoryDisk({
      clock: this.clock,
      random: this.#random,
      nextSyncMs: () => SYNC_MS,
    });
    this.folder = new MeasuredFolder(this.disk, this.clock);
    this.log = this.#createLog();
  }

  /** Starts the replica and waits until it leads. */
  async start(): Promise<void> {
    const started = this.log.start();
    let done = false;
    started.finally(() => done = true);
    while (!done) await this.clock.advanceAsync(100);
    await started;
    await this.clock.advanceAsync(START_MS);
  }

  /** Ends the process and starts another one with the same disk. */
  async restart(): Promise<void> {
    const stopped = this.log.stop();
    await this.clock.advanceAsync(10_000);
    await stopped;
    this.disk.open();
    this.machine = new BlobMachine();
    this.folder = new MeasuredFolder(this.disk, this.clock);
    this.log = this.#createLog();
    await this.start();
  }

  /** Stores a value; returns the failure, or undefined, and how long it took. */
  async store(key: number, bytes: Bytes): Promise<
    { readonly failure: Failure | undefined; readonly tookMs: Milliseconds }
  > {
    const startMs = this.clock.nowMs();
    const command = { key, blob: new Uint8Array(bytes).fill(key) };
    let result: Result<unknown, Failure> | undefined;
    this.log.propose({ machine: "bundles", command }).then((outcome) => {
      result = outcome;
    });
    while (result === undefined) await this.clock.advanceAsync(5);
    const failure = result.err ? result.val as Failure : undefined;
    return { failure, tookMs: this.clock.nowMs() - startMs };
  }

  /** Stores values of 1 MiB under the keys from 0 on. */
  async fill(count: number): Promise<void> {
    for (let key = 0; key < count; key += 1) {
      assert.equal((await this.store(key, MEBIBYTE)).failure, undefined);
    }
  }

  /** Size of the files whose names start with a prefix. */
  storedBytes(prefix: string): Bytes {
    let bytes = 0;
    for (const [name, file] of this.disk.files) {
      if (name.startsWith(prefix)) bytes += file.length;
    }
    return bytes;
  }

  #createLog(): QuorumLog {
    const { clock } = this;
    const random = this.#random;
    return new QuorumLog({
      vm: "a",
      network: new MemoryNetwork({ clock, random }).join("a"),
      folder: this.folder,
      machines: [this.machine],
      clock,
      random,
      events: this.events,
      peers: () => ["a"],
      firstStart: { voters: ["a"] },
      timing: SHORT_TIMING,
    });
  }
}
