/**
 * The base class of the fakes that announce themselves as upstreams.
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

/** Options of `UpstreamServer`. */
export interface UpstreamServerOptions {
  readonly id: string;
  /** Increases with each start under the same identifier. */
  readonly incarnation: number;
  readonly zone: string;
  readonly listen: Address;
  /** Base URLs of the entry VMs of the zone; empty to announce nothing. */
  readonly entries: readonly string[];
  readonly renewIntervalMs: Milliseconds;
  readonly reportIntervalMs: Milliseconds;
  readonly reportLagMs: Milliseconds;
  readonly capacity: number;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** A server that announces itself, and deregisters when it stops. */
export abstract class UpstreamServer extends FakeServer {
  /** The options passed to the constructor. */
  readonly options: UpstreamServerOptions;
  protected readonly client = new JsonClient();
  /** Announces this server and renews the announcement. */
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

  /** Starts listening and announces the server. */
  async start(): Promise<void> {
    await this.listen();
    this.options.events.emit(FAKES_EVENTS.started, {
      id: this.options.id,
      address: this.address,
    });
    this.announcer.start();
  }

  /** Deregisters; resolves when all running requests have finished. */
  async stop(): Promise<void> {
    this.options.events.emit(FAKES_EVENTS.stopping, { id: this.options.id });
    await this.announcer.leave();
    await this.closeGracefully();
    this.client.close();
    this.options.events.emit(FAKES_EVENTS.stopped, { id: this.options.id });
  }

  /** Stops immediately and closes every connection, as a crash would. */
  override async crash(): Promise<void> {
    this.announcer.stop();
    await super.crash();
    this.client.close();
  }

  /** Returns the announcement to send. */
  abstract currentAnnouncement(): UpstreamAnnouncement;

  /** Returns the current load. */
  protected abstract measureLoad(): FakeLoad;
}

/** Default options; the caller sets `listen`, `id` and `zone`. */
export const UPSTREAM_DEFAULTS = {
  incarnation: 1,
  entries: [],
  renewIntervalMs: 1_000,
  reportIntervalMs: 500,
  reportLagMs: 1_000,
  capacity: 16,
} as const satisfies Partial<UpstreamServerOptions>;
