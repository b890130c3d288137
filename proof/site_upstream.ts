/**
 * An upstream of an `EntrySite`: it names a limit of requests, and crashes under calls that are marked so. It starts
 * again at the same address, as another incarnation.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { Address, Clock, FleetUpstream, Milliseconds } from "#core";

/** Calls whose body begins like this crash the upstream that runs them. */
export const CRASHING_BODY_PREFIX = "crash";

/** Times of an upstream. */
export interface SiteUpstreamTimes {
  /** From the arrival of a call to its response. */
  readonly workMs: Milliseconds;
  /** From the arrival of a crashing call to the crash. */
  readonly crashMs: Milliseconds;
  /** From a crash to the next start. */
  readonly restartMs: Milliseconds;
}

/** A call that an upstream has begun to run. */
export interface Arrival {
  readonly upstream: number;
  readonly body: string;
  readonly atMs: Milliseconds;
}

/** The end of an incarnation of an upstream. */
export interface Crash {
  readonly upstream: number;
  readonly atMs: Milliseconds;
  /** Calls that it was running. */
  readonly bodies: readonly string[];
}

/** Options of `SiteUpstream`. */
export interface SiteUpstreamOptions {
  readonly index: number;
  readonly service: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly times: SiteUpstreamTimes;
  readonly limit: number | null;
  readonly onArrival: (arrival: Arrival) => void;
  readonly onCrash: (crash: Crash) => void;
  /** Called when it has started, also again. */
  readonly onStart: () => void;
}

/** One upstream with all of its incarnations. */
export class SiteUpstream {
  /** Requests per second that it names as its limit now; null for none. */
  limit: number | null;
  readonly #options: SiteUpstreamOptions;
  #address: Address | undefined;
  #server: Server | undefined;
  #bornMs: Milliseconds = 1;
  #incarnations = 0;
  #sequence = 0;
  /** Calls that the present incarnation runs. */
  readonly #running = new Set<Arrival>();

  constructor(options: SiteUpstreamOptions) {
    this.#options = options;
    this.limit = options.limit;
  }

  /** Whether it is running. */
  get isUp(): boolean {
    return this.#server !== undefined;
  }

  /** Starts it, at the address that it had before if there is one. */
  async start(): Promise<void> {
    const server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    await new Promise<void>((resolve) =>
      server.listen(
        { host: "127.0.0.1", port: this.#address?.port ?? 0 },
        resolve,
      )
    );
    const { port } = server.address() as AddressInfo;
    this.#address = { host: "127.0.0.1", port };
    this.#server = server;
    this.#incarnations += 1;
    this.#bornMs = Math.round(this.#options.clock.nowMs()) + 1;
    this.#options.onStart();
  }

  /** Closes its connections and its address. */
  stop(): void {
    this.#server?.closeAllConnections();
    this.#server?.close();
    this.#server = undefined;
  }

  /** Ends this incarnation without notice; another one starts later. */
  crash(): void {
    if (!this.isUp) return;
    this.stop();
    const { index, clock, times, onCrash } = this.#options;
    const bodies = [...this.#running].map((each) => each.body);
    this.#running.clear();
    onCrash({ upstream: index, atMs: clock.nowMs(), bodies });
    clock.after(times.restartMs, () => void this.start());
  }

  /** Returns its next heartbeat, or undefined if it is not running. */
  heartbeat(): FleetUpstream | undefined {
    if (!this.isUp || this.#address === undefined) return undefined;
    const { index, service, zone } = this.#options;
    this.#sequence += 1;
    return {
      id: `u${index}-${this.#incarnations}`,
      bornMs: this.#bornMs,
      sequence: this.#sequence,
      service,
      zone,
      address: this.#address,
      slots: 6,
      phase: "ready",
      serves: [],
    };
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) chunks.push(chunk as Uint8Array);
    const body = Buffer.concat(chunks).toString();
    const { index, clock, times, onArrival } = this.#options;
    const arrival = { upstream: index, body, atMs: clock.nowMs() };
    onArrival(arrival);
    this.#running.add(arrival);
    response.once("close", () => this.#running.delete(arrival));
    if (body.startsWith(CRASHING_BODY_PREFIX)) {
      const ran = this.#server;
      clock.after(times.crashMs, () => {
        if (this.#server === ran) this.crash();
      });
      return;
    }
    const requestId = String(request.headers["request-id"]);
    if (times.workMs === 0) return this.#respond(response, requestId);
    clock.after(times.workMs, () => this.#respond(response, requestId));
  }

  #respond(response: ServerResponse, requestId: string): void {
    if (response.destroyed) return;
    if (this.limit !== null) {
      response.setHeader("Server-Limit", String(this.limit));
    }
    response.setHeader("Request-Id", requestId);
    response.setHeader("Response-Stamp", "s");
    response.end("done");
  }
}
