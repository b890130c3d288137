/**
 * The handlers of the channels, guarded: a handler that throws is logged and answered with a failure.
 *
 * @module
 */
import { Err, type EventLog, fail, type Failure, type Result } from "#core";
import { WIRE_EVENTS } from "./events.ts";
import type { Channel } from "./messages.ts";
import type { NoticeHandler, RequestHandler } from "./peer_network.ts";

/** A message with its sender and channel. */
export interface IncomingMessage {
  readonly from: string;
  readonly channel: Channel;
  readonly body: unknown;
}

/** One notice handler and one request handler for each channel. */
export class ChannelHandlers {
  readonly #self: string;
  readonly #events: EventLog;
  readonly #notices = new Map<Channel, NoticeHandler>();
  readonly #requests = new Map<Channel, RequestHandler>();

  constructor(options: { readonly self: string; readonly events: EventLog }) {
    this.#self = options.self;
    this.#events = options.events;
  }

  /** Names the handler of notices on a channel. */
  setNotice(channel: Channel, handler: NoticeHandler): void {
    this.#notices.set(channel, handler);
  }

  /** Names the handler of requests on a channel. */
  setRequest(channel: Channel, handler: RequestHandler): void {
    this.#requests.set(channel, handler);
  }

  /** Hands a notice over; without a handler it is dropped. */
  notice(message: IncomingMessage): void {
    try {
      this.#notices.get(message.channel)?.(message.from, message.body);
    } catch (error) {
      this.#report(error);
    }
  }

  /** Answers a request. */
  async request(message: IncomingMessage): Promise<Result<unknown, Failure>> {
    const handler = this.#requests.get(message.channel);
    if (handler === undefined) {
      const text = `${this.#self} has no ${message.channel} yet`;
      return Err(fail("not_ready", text));
    }
    try {
      return await handler(message.from, message.body);
    } catch (error) {
      this.#report(error);
      return Err(fail("internal", "the handler of a peer request failed"));
    }
  }

  #report(error: unknown): void {
    const stack = error instanceof Error ? error.stack : String(error);
    this.#events.emit(WIRE_EVENTS.handlerFailed, { stack });
  }
}
