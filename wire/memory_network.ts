/**
 * A peer network inside one process for tests. It runs on a clock and a random source that are passed in; its
 * links can drop, duplicate, delay and block messages.
 *
 * @module
 */
import {
  type Clock,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type RandomSource,
  type Result,
} from "#core";
import { decodeValue, encodeValue } from "./frame.ts";
import type { Channel } from "./messages.ts";
import {
  type NoticeHandler,
  type NoticeOptions,
  PeerNetwork,
  type RequestHandler,
  type RequestOptions,
} from "./peer_network.ts";

/** Delays and faults of the links; chances are probabilities from 0 to 1. */
export interface LinkBehaviour {
  readonly minimumDelayMs: Milliseconds;
  readonly maximumDelayMs: Milliseconds;
  readonly dropChance: number;
  readonly duplicateChance: number;
}

/** Links without faults and with a delay of half a millisecond. */
export const PERFECT_LINKS: LinkBehaviour = {
  minimumDelayMs: 0.5,
  maximumDelayMs: 0.5,
  dropChance: 0,
  duplicateChance: 0,
};

/** Options of `MemoryNetwork`. */
export interface MemoryNetworkOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly links?: LinkBehaviour;
}

/** Connects the VMs of a test. */
export class MemoryNetwork {
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #endpoints = new Map<string, MemoryEndpoint>();
  readonly #blockedLinks = new Set<string>();
  readonly #pausedDeliveries = new Map<string, (() => void)[]>();
  /** Total bytes of the message bodies sent. */
  sentBytes = 0;
  /** Number of messages sent. */
  sentMessages = 0;
  /** Behaviour of all links for messages sent from now on. */
  links: LinkBehaviour;

  constructor(options: MemoryNetworkOptions) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.links = options.links ?? PERFECT_LINKS;
  }

  /** Adds a VM and returns its endpoint; replaces an earlier endpoint of the same name, as a restart does. */
  join(name: string): MemoryEndpoint {
    const endpoint = new MemoryEndpoint(name, this);
    this.#endpoints.set(name, endpoint);
    this.#pausedDeliveries.delete(name);
    return endpoint;
  }

  /** Removes a VM; messages in flight to it are lost. */
  leave(name: string): void {
    this.#endpoints.delete(name);
    this.#pausedDeliveries.delete(name);
  }

  /** Blocks the link in one direction. */
  blockLink(from: string, to: string): void {
    this.#blockedLinks.add(`${from}>${to}`);
  }

  /** Restores all blocked links. */
  restoreLinks(): void {
    this.#blockedLinks.clear();
  }

  /** Buffers the messages that arrive at a VM until `resume`. */
  pause(name: string): void {
    if (!this.#pausedDeliveries.has(name)) this.#pausedDeliveries.set(name, []);
  }

  /** Delivers the messages that arrived while the VM was paused. */
  resume(name: string): void {
    const queued = this.#pausedDeliveries.get(name) ?? [];
    this.#pausedDeliveries.delete(name);
    for (const action of queued) action();
  }

  /** Schedules a delivery, subject to the faults of the links, to the endpoint that has the name on arrival. */
  transmit(
    route: { readonly from: string; readonly to: string },
    deliver: (endpoint: MemoryEndpoint) => void,
  ): void {
    this.sentMessages += 1;
    if (this.#random.fraction() < this.links.dropChance) return;
    const copies = this.#random.fraction() < this.links.duplicateChance ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const spread = this.links.maximumDelayMs - this.links.minimumDelayMs;
      const delay = this.links.minimumDelayMs +
        this.#random.fraction() * spread;
      this.#clock.after(delay, () => this.#arrive(route, deliver));
    }
  }

  /** Calls `action` after `delayMs` on the network's clock. */
  after(delayMs: Milliseconds, action: () => void): void {
    this.#clock.after(delayMs, action);
  }

  #arrive(
    route: { readonly from: string; readonly to: string },
    deliver: (endpoint: MemoryEndpoint) => void,
  ): void {
    if (this.#blockedLinks.has(`${route.from}>${route.to}`)) return;
    const endpoint = this.#endpoints.get(route.to);
    if (endpoint === undefined) return;
    const queued = this.#pausedDeliveries.get(route.to);
    if (queued === undefined) {
      deliver(endpoint);
      return;
    }
    queued.push(() => deliver(endpoint));
  }
}

/** Endpoint of one VM in a memory network. */
export class MemoryEndpoint extends PeerNetwork {
  override readonly self: string;
  readonly #network: MemoryNetwork;
  readonly #noticeHandlers = new Map<Channel, NoticeHandler>();
  readonly #requestHandlers = new Map<Channel, RequestHandler>();

  constructor(name: string, network: MemoryNetwork) {
    super();
    this.self = name;
    this.#network = network;
  }

  override notify(options: NoticeOptions, body: unknown): void {
    const bytes = this.#encode(body);
    this.#network.transmit(
      { from: this.self, to: options.to },
      (endpoint) =>
        endpoint.#noticeHandlers.get(options.channel)?.(
          this.self,
          decodeValue(bytes),
        ),
    );
  }

  override request(
    options: RequestOptions,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const bytes = this.#encode(body);
    return new Promise((resolve) => {
      this.#network.after(options.timeoutMs, () =>
        resolve(
          Err(
            fail(
              "outcome_unknown",
              `no reply from ${options.to} in time`,
            ),
          ),
        ));
      this.#network.transmit(
        { from: this.self, to: options.to },
        (endpoint) =>
          endpoint.#reply(
            { from: this.self, channel: options.channel },
            { body: decodeValue(bytes), resolve },
          ),
      );
    });
  }

  override onNotice(channel: Channel, handler: NoticeHandler): void {
    this.#noticeHandlers.set(channel, handler);
  }

  override onRequest(channel: Channel, handler: RequestHandler): void {
    this.#requestHandlers.set(channel, handler);
  }

  #encode(body: unknown): Uint8Array {
    const bytes = encodeValue(body);
    this.#network.sentBytes += bytes.length;
    return bytes;
  }

  async #reply(
    source: { readonly from: string; readonly channel: Channel },
    call: {
      readonly body: unknown;
      readonly resolve: (result: Result<unknown, Failure>) => void;
    },
  ): Promise<void> {
    const handler = this.#requestHandlers.get(source.channel);
    if (handler === undefined) return;
    const result = await handler(source.from, call.body);
    const bytes = this.#encode(result.val);
    this.#network.transmit({ from: this.self, to: source.from }, () => {
      const value = decodeValue(bytes);
      call.resolve(result.ok ? Ok(value) : Err(value as Failure));
    });
  }
}
