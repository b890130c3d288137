/**
 * Reports streams to one control VM. A report is sent at once unless another is under way, so that many streams share a
 * message only under load.
 *
 * @module
 */
import type { Clock, Milliseconds } from "#core";
import type { PeerNetwork } from "#wire";
import {
  groupRecords,
  MAXIMUM_REPORTED,
  ORIGINS_KIND,
  ORIGINS_TIMEOUT_MS,
  type OriginsRequest,
  parseOriginsReply,
} from "./origin_messages.ts";
import type { OriginRecord } from "./origin_table.ts";

/** Pause after a report that failed. */
const RETRY_DELAY_MS: Milliseconds = 300;

/** Channel of requests to control VMs. */
export const ORIGINS_CHANNEL = "requests";

/** Options of `OriginReporter`. */
export interface OriginReporterOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** The control VM. */
  readonly vm: string;
  /** Returns all streams that can be taken up, for a control VM that knows none of them. */
  readonly allRecords: () => readonly OriginRecord[];
}

/** Reports streams until it is closed. */
export class OriginReporter {
  readonly #options: OriginReporterOptions;
  readonly #waiting = new Map<string, OriginRecord>();
  #epoch: string | undefined;
  #isSending = false;
  #isClosed = false;

  constructor(options: OriginReporterOptions) {
    this.#options = options;
  }

  /** Reports a stream. */
  report(record: OriginRecord): void {
    this.#waiting.set(record.key, record);
    if (!this.#isSending) void this.#send();
  }

  /** Asks the control VM for its incarnation, and reports everything again to one that has started anew. */
  check(): void {
    if (!this.#isSending) void this.#send();
  }

  /** Ends the reports. */
  close(): void {
    this.#isClosed = true;
    this.#waiting.clear();
  }

  async #send(): Promise<void> {
    this.#isSending = true;
    do {
      const records = this.#takeWaiting();
      const hasArrived = await this.#sendRecords(records);
      if (!hasArrived) await this.#putBack(records);
    } while (this.#waiting.size > 0 && !this.#isClosed);
    this.#isSending = false;
  }

  #takeWaiting(): readonly OriginRecord[] {
    const records: OriginRecord[] = [];
    for (const [key, record] of this.#waiting) {
      if (records.length === MAXIMUM_REPORTED) break;
      records.push(record);
      this.#waiting.delete(key);
    }
    return records;
  }

  async #sendRecords(records: readonly OriginRecord[]): Promise<boolean> {
    const { network, vm } = this.#options;
    const request: OriginsRequest = {
      kind: ORIGINS_KIND,
      groups: groupRecords(records),
      find: null,
    };
    const response = await network.request(
      { to: vm, channel: ORIGINS_CHANNEL, timeoutMs: ORIGINS_TIMEOUT_MS },
      request,
    );
    const reply = response.ok ? parseOriginsReply(response.val) : undefined;
    if (reply === undefined) return false;
    if (reply.epoch !== this.#epoch) this.#addAll();
    this.#epoch = reply.epoch;
    return true;
  }

  #addAll(): void {
    for (const record of this.#options.allRecords()) {
      this.#waiting.set(record.key, record);
    }
  }

  /** Lets what did not arrive wait for another report; what has expired meanwhile does no harm. */
  async #putBack(records: readonly OriginRecord[]): Promise<void> {
    for (const record of records) {
      if (!this.#waiting.has(record.key)) {
        this.#waiting.set(record.key, record);
      }
    }
    await this.#options.clock.sleep(RETRY_DELAY_MS);
  }
}
