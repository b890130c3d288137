/**
 * What the stand-ins that announce themselves have in common.
 *
 * @module
 */
import type {
  Address,
  Clock,
  EventLog,
  Milliseconds,
  UpstreamAnnouncement,
} from "#core";
import { Announcer, type FakeLoad } from "./announcer.ts";
import { FAKES_EVENTS } from "./events.ts";
import { FakeServer } from "./fake_server.ts";
import { JsonClient } from "./json_client.ts";

/** Settings of a stand-in that announces itself. */
export interface UpstreamServerOptions {
  readonly id: string;
  /** Grows with each start of the same identifier. */
  readonly incarnation: number;
  readonly zone: string;
  readonly listen: Address;
  /** Bases of the entry VMs of the zone; empty to announce nothing. */
  readonly entries: readonly string[];
  readonly renewIntervalMs: Milliseconds;
  readonly reportIntervalMs: Milliseconds;
  readonly reportLagMs: Milliseconds;
  readonly capacity: number;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** A server that announces itself, and leaves in good order. */
export abstract class UpstreamServer extends FakeServer {
  /** The settings that it was built from. */
  readonly options: UpstreamServerOptions;
  protected readonly client = new JsonClient();
  /** Keeps it announced. */
  readonly announcer: Announcer;

  constructor(options: UpstreamServerOptions) {
    super(options.listen);
    this.options = options;
    this.announcer = new Announcer({
      entries: options.entries,
      renewIntervalMs: options.renewIntervalMs,
      reportIntervalMs: options.reportIntervalMs,
      reportLagMs: options.reportLagMs,
      clock: options.clock,
      events: options.events,
      client: this.client,
      currentAnnouncement: () => this.currentAnnouncement(),
      measureLoad: () => this.measureLoad(),
    });
  }

  /** Listens and announces itself. */
  async start(): Promise<void> {
    await this.listen();
    this.options.events.emit(FAKES_EVENTS.started, {
      id: this.options.id,
      address: this.address,
    });
    this.announcer.start();
  }

  /** Leaves, finishes what runs, and resolves. */
  async stop(): Promise<void> {
    this.options.events.emit(FAKES_EVENTS.stopping, { id: this.options.id });
    await this.announcer.leave();
    await this.closeGracefully();
    this.client.close();
    this.options.events.emit(FAKES_EVENTS.stopped, { id: this.options.id });
  }

  /** Stops at once and cuts every connection, as a crash would. */
  override async crash(): Promise<void> {
    this.announcer.stop();
    await super.crash();
    this.client.close();
  }

  /** What it announces now. */
  abstract currentAnnouncement(): UpstreamAnnouncement;

  /** The load that it reports now. */
  protected abstract measureLoad(): FakeLoad;
}

/** The settings that most uses share; `listen`, `id` and `zone` are given by the caller. */
export const UPSTREAM_DEFAULTS = {
  incarnation: 1,
  entries: [],
  renewIntervalMs: 1_000,
  reportIntervalMs: 500,
  reportLagMs: 1_000,
  capacity: 16,
} as const satisfies Partial<UpstreamServerOptions>;
