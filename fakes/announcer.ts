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
  readonly renewEveryMs: Milliseconds;
  /** How often load is reported; 0 for never. */
  readonly reportEveryMs: Milliseconds;
  /** How old a reported load is. */
  readonly reportLagMs: Milliseconds;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly client: JsonClient;
  /** What is announced now. */
  readonly describe: () => UpstreamAnnouncement;
  /** The load now. */
  readonly measure: () => FakeLoad;
}

/** Keeps one upstream announced. */
export class Announcer {
  readonly #options: AnnouncerOptions;
  #entry = 0;
  #sequence = 0;
  #left = false;
  #announced = false;
  #renewal: Timer | undefined;
  #report: Timer | undefined;
  #measured: { readonly atMs: Milliseconds; readonly load: FakeLoad }[] = [];

  constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  /** Announces at once and from then on within the lease. */
  start(): void {
    if (this.#options.entries.length === 0) return;
    this.#renew();
    if (this.#options.reportEveryMs <= 0) return;
    this.#report = this.#options.clock.every(
      this.#options.reportEveryMs,
      () => this.#sendLoad(),
    );
  }

  /** Announces at once, because something changed; resolves once an entry VM took it or all refused. */
  async announce(): Promise<boolean> {
    for (const _ of this.#options.entries) {
      if (this.#left) return false;
      if (await this.#announceTo(this.#base())) return true;
      this.#entry += 1;
    }
    return false;
  }

  /** Stops renewing without a word, as a crash would. */
  stop(): void {
    this.#left = true;
    this.#renewal?.cancel();
    this.#report?.cancel();
  }

  /** Says that it leaves; resolves once an entry VM took it or all refused. */
  async leave(): Promise<boolean> {
    this.stop();
    const { id, incarnation } = this.#options.describe();
    for (const _ of this.#options.entries) {
      const answer = await this.#options.client.send({
        method: "POST",
        baseUrl: this.#base(),
        path: `/v1/upstreams/${encodeURIComponent(id)}/leave`,
        body: { incarnation },
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (isSuccess(answer.status)) return true;
      this.#entry += 1;
    }
    return false;
  }

  async #renew(): Promise<void> {
    await this.announce();
    if (this.#left) return;
    this.#renewal = this.#options.clock.after(
      this.#options.renewEveryMs,
      () => this.#renew(),
    );
  }

  async #announceTo(base: string): Promise<boolean> {
    this.#sequence += 1;
    const { id, ...announcement } = this.#options.describe();
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
    this.#measured.push({ atMs: nowMs, load: this.#options.measure() });
    const dueMs = nowMs - this.#options.reportLagMs;
    const due = this.#measured.filter((sample) => sample.atMs <= dueMs).at(-1);
    if (due === undefined) return;
    this.#measured = this.#measured.filter((sample) => sample.atMs >= due.atMs);
    const { id, incarnation } = this.#options.describe();
    void this.#options.client.send({
      method: "POST",
      baseUrl: this.#base(),
      path: `/v1/upstreams/${encodeURIComponent(id)}/events`,
      body: { incarnation, load: due.load },
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  #base(): string {
    const entries = this.#options.entries;
    return entries[this.#entry % entries.length] ?? "";
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
