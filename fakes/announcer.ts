/**
 * Announces a fake upstream to one entry VM of its zone, renews the announcement within the lease, and fails
 * over to the next entry VM when a call fails.
 *
 * @module
 */
import type {
  Clock,
  EventLog,
  LoadReport,
  Milliseconds,
  Timer,
  UpstreamAnnouncement,
} from "#core";
import { FAKES_EVENTS } from "./events.ts";
import type { JsonClient } from "./json_client.ts";

const CALL_TIMEOUT_MS: Milliseconds = 1_000;

/** The load that a fake upstream reports. */
export type FakeLoad = Pick<LoadReport, "running" | "waiting" | "cacheUse">;

/** Options of `Announcer`. */
export interface AnnouncerOptions {
  /** Base URLs of the entry VMs of the zone, in the order in which they are tried. */
  readonly entries: readonly string[];
  readonly renewIntervalMs: Milliseconds;
  /** Interval between load reports; 0 disables them. */
  readonly reportIntervalMs: Milliseconds;
  /** Age of the load measurement that a report carries. */
  readonly reportLagMs: Milliseconds;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly client: JsonClient;
  /** Returns the announcement to send. */
  readonly currentAnnouncement: () => UpstreamAnnouncement;
  /** Returns the current load. */
  readonly measureLoad: () => FakeLoad;
}

/** Announces one upstream and renews its lease. */
export class Announcer {
  readonly #options: AnnouncerOptions;
  #entryIndex = 0;
  #sequence = 0;
  #stopped = false;
  #announced = false;
  #renewalTimer: Timer | undefined;
  #reportTimer: Timer | undefined;
  #loadSamples: { readonly atMs: Milliseconds; readonly load: FakeLoad }[] = [];

  constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  /** Sends the first announcement immediately and starts the timers for renewals and load reports. */
  start(): void {
    if (this.#options.entries.length === 0) return;
    this.#renewAnnouncement();
    if (this.#options.reportIntervalMs <= 0) return;
    this.#reportTimer = this.#options.clock.every(
      this.#options.reportIntervalMs,
      () => this.#sendLoad(),
    );
  }

  /** Announces a change immediately; resolves when an entry VM has accepted it or all have rejected it. */
  async announce(): Promise<boolean> {
    for (const _ of this.#options.entries) {
      if (this.#stopped) return false;
      if (await this.#announceTo(this.#entryUrl())) return true;
      this.#entryIndex += 1;
    }
    return false;
  }

  /** Stops renewals without deregistering, as a crash would. */
  stop(): void {
    this.#stopped = true;
    this.#renewalTimer?.cancel();
    this.#reportTimer?.cancel();
  }

  /** Deregisters the upstream; resolves when an entry VM has accepted this or all have rejected it. */
  async leave(): Promise<boolean> {
    this.stop();
    const { id, incarnation } = this.#options.currentAnnouncement();
    for (const _ of this.#options.entries) {
      const response = await this.#options.client.send({
        method: "POST",
        baseUrl: this.#entryUrl(),
        path: `/v1/upstreams/${encodeURIComponent(id)}/leave`,
        body: { incarnation },
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (isSuccess(response.status)) return true;
      this.#entryIndex += 1;
    }
    return false;
  }

  async #renewAnnouncement(): Promise<void> {
    await this.announce();
    if (this.#stopped) return;
    this.#renewalTimer = this.#options.clock.after(
      this.#options.renewIntervalMs,
      () => this.#renewAnnouncement(),
    );
  }

  async #announceTo(baseUrl: string): Promise<boolean> {
    this.#sequence += 1;
    const { id, ...announcement } = this.#options.currentAnnouncement();
    const response = await this.#options.client.send({
      method: "PUT",
      baseUrl,
      path: `/v1/upstreams/${encodeURIComponent(id)}`,
      body: { ...announcement, sequence: this.#sequence },
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const accepted = isSuccess(response.status);
    if (!accepted) {
      this.#options.events.emit(FAKES_EVENTS.announceFailed, {
        entry: baseUrl,
        status: response.status,
        answer: response.text.slice(0, 300),
      });
    }
    if (accepted && !this.#announced) {
      this.#announced = true;
      this.#options.events.emit(FAKES_EVENTS.announced, { entry: baseUrl, id });
    }
    return accepted;
  }

  #sendLoad(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#loadSamples.push({ atMs: nowMs, load: this.#options.measureLoad() });
    const dueMs = nowMs - this.#options.reportLagMs;
    const newestDue = this.#loadSamples.filter((sample) => sample.atMs <= dueMs)
      .at(
        -1,
      );
    if (newestDue === undefined) return;
    this.#loadSamples = this.#loadSamples.filter((sample) =>
      sample.atMs >= newestDue.atMs
    );
    const { id, incarnation } = this.#options.currentAnnouncement();
    void this.#options.client.send({
      method: "POST",
      baseUrl: this.#entryUrl(),
      path: `/v1/upstreams/${encodeURIComponent(id)}/events`,
      body: { incarnation, load: newestDue.load },
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  #entryUrl(): string {
    const entries = this.#options.entries;
    return entries[this.#entryIndex % entries.length] ?? "";
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
