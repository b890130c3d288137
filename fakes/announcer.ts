/**
 * How a stand-in announces itself: to one entry VM of its zone, renewed within the lease, and to the next one when
 * that fails.
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

/** What a stand-in says of its load. */
export type FakeLoad = Pick<LoadReport, "running" | "waiting" | "cacheUse">;

/** What an announcer is built from. */
export interface AnnouncerOptions {
  /** Bases of the entry VMs of the zone, in the order in which they are tried. */
  readonly entries: readonly string[];
  readonly renewIntervalMs: Milliseconds;
  /** How often load is reported; 0 for never. */
  readonly reportIntervalMs: Milliseconds;
  /** How old a reported load is. */
  readonly reportLagMs: Milliseconds;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly client: JsonClient;
  /** What is announced now. */
  readonly currentAnnouncement: () => UpstreamAnnouncement;
  /** The load now. */
  readonly measureLoad: () => FakeLoad;
}

/** Keeps one upstream announced. */
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

  /** Announces at once and from then on within the lease. */
  start(): void {
    if (this.#options.entries.length === 0) return;
    this.#renewAnnouncement();
    if (this.#options.reportIntervalMs <= 0) return;
    this.#reportTimer = this.#options.clock.every(
      this.#options.reportIntervalMs,
      () => this.#sendLoad(),
    );
  }

  /** Announces at once, because something changed; resolves once an entry VM took it or all refused. */
  async announce(): Promise<boolean> {
    for (const _ of this.#options.entries) {
      if (this.#stopped) return false;
      if (await this.#announceTo(this.#entryUrl())) return true;
      this.#entryIndex += 1;
    }
    return false;
  }

  /** Stops renewing without a word, as a crash would. */
  stop(): void {
    this.#stopped = true;
    this.#renewalTimer?.cancel();
    this.#reportTimer?.cancel();
  }

  /** Says that it leaves; resolves once an entry VM took it or all refused. */
  async leave(): Promise<boolean> {
    this.stop();
    const { id, incarnation } = this.#options.currentAnnouncement();
    for (const _ of this.#options.entries) {
      const answer = await this.#options.client.send({
        method: "POST",
        baseUrl: this.#entryUrl(),
        path: `/v1/upstreams/${encodeURIComponent(id)}/leave`,
        body: { incarnation },
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (isSuccess(answer.status)) return true;
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

  async #announceTo(base: string): Promise<boolean> {
    this.#sequence += 1;
    const { id, ...announcement } = this.#options.currentAnnouncement();
    const answer = await this.#options.client.send({
      method: "PUT",
      baseUrl: base,
      path: `/v1/upstreams/${encodeURIComponent(id)}`,
      body: { ...announcement, sequence: this.#sequence },
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const taken = isSuccess(answer.status);
    if (!taken) {
      this.#options.events.emit(FAKES_EVENTS.announceFailed, {
        entry: base,
        status: answer.status,
        answer: answer.text.slice(0, 300),
      });
    }
    if (taken && !this.#announced) {
      this.#announced = true;
      this.#options.events.emit(FAKES_EVENTS.announced, { entry: base, id });
    }
    return taken;
  }

  #sendLoad(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#loadSamples.push({ atMs: nowMs, load: this.#options.measureLoad() });
    const dueMs = nowMs - this.#options.reportLagMs;
    const due = this.#loadSamples.filter((sample) => sample.atMs <= dueMs).at(
      -1,
    );
    if (due === undefined) return;
    this.#loadSamples = this.#loadSamples.filter((sample) =>
      sample.atMs >= due.atMs
    );
    const { id, incarnation } = this.#options.currentAnnouncement();
    void this.#options.client.send({
      method: "POST",
      baseUrl: this.#entryUrl(),
      path: `/v1/upstreams/${encodeURIComponent(id)}/events`,
      body: { incarnation, load: due.load },
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
