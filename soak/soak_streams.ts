/**
 * Callers of the soak that request streams all the time and take up what breaks off, and what the oracle makes of it.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import {
  requestStream,
  type StreamRecord,
  type StreamTarget,
} from "../proof/stream_caller.ts";
import { countStreams } from "../proof/stream_counts.ts";

const LEAST_COMPLETE_SHARE = 0.9;
const INTERVAL_MS: Milliseconds = 150;

/** Requests streams until it is stopped. */
export class SoakStreams {
  readonly #target: Omit<StreamTarget, "entryOf">;
  readonly #entryOf: StreamTarget["entryOf"];
  readonly #records: StreamRecord[] = [];
  readonly #pending = new Set<Promise<void>>();
  #timer: NodeJS.Timeout | undefined;
  #started = 0;

  constructor(target: StreamTarget) {
    const { entryOf, ...rest } = target;
    this.#target = rest;
    this.#entryOf = entryOf;
  }

  /** The streams that have ended. */
  get records(): readonly StreamRecord[] {
    return this.#records;
  }

  start(): void {
    this.#timer = setInterval(() => this.#request(), INTERVAL_MS);
  }

  /** Requests so many streams, one after the other starts, and waits for them. */
  async request(count: number): Promise<void> {
    for (let sent = 0; sent < count; sent += 1) this.#request();
    await Promise.all(this.#pending);
  }

  /** Requests no more, and waits for the streams that run. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#pending);
  }

  #request(): void {
    this.#started += 1;
    const first = this.#started;
    const stream = requestStream(`stream-${first}`, {
      ...this.#target,
      entryOf: (attempt) => this.#entryOf(first + attempt),
    }).then((record) => {
      this.#records.push(record);
    });
    this.#pending.add(stream);
    void stream.finally(() => this.#pending.delete(stream));
  }
}

/** Returns a line for each promise about streams that was broken; `late` are those after all faults. */
export function checkStreams(
  records: readonly StreamRecord[],
  late: readonly StreamRecord[],
): readonly string[] {
  const counts = countStreams([...records, ...late]);
  const broken: string[] = [];
  const complete = late.filter((each) => each.isComplete).length;
  if (complete < LEAST_COMPLETE_SHARE * late.length) {
    broken.push(`${complete} of ${late.length} streams were complete`);
  }
  const joined = counts.joinedWithinResponse + counts.joinedOverTries;
  if (joined > 0) broken.push(`${joined} streams were joined from versions`);
  if (counts.outOfOrder > 0) {
    broken.push(`${counts.outOfOrder} streams were out of order`);
  }
  return broken;
}
