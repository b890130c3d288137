/**
 * Calls the handler registered for a channel; an error that a handler throws is logged and becomes a failure.
 *
 * @module
 */
import { Err, type EventLog, fail, type Failure, type Result } from "#core";
import { WIRE_EVENTS } from "./events.ts";
import type { Channel } from "./messages.ts";
import type { NoticeHandler, RequestHandler } from "./peer_network.ts";

/** A message received from a peer, with its sender and channel. */
export interface IncomingMessage {
  readonly from: string;
  readonly channel: Channel;
  readonly body: unknown;
}

/** Holds at most one notice handler and one request handler for each channel. */
export class ChannelHandlers {
  readonly #self: string;
  readonly #events: EventLog;
  readonly #noticeHandlers = new Map<Channel, NoticeHandler>();
  readonly #requestHandlers = new Map<Channel, RequestHandler>();

  constructor(options: { readonly self: string; readonly events: EventLog }) {
    this.#self = options.self;
    this.#events = options.events;
  }

  /** Sets the handler of notices on a channel. */
  setNoticeHandler(channel: Channel, handler: NoticeHandler): void {
    this.#noticeHandlers.set(channel, handler);
  }

  /** Sets the handler of requests on a channel. */
  setRequestHandler(channel: Channel, handler: RequestHandler): void {
    this.#requestHandlers.set(channel, handler);
  }

  /** Passes a notice to its handler; drops it if the channel has none. */
  handleNotice(message: IncomingMessage): void {
    try {
      this.#noticeHandlers.get(message.channel)?.(message.from, message.body);
    } catch (error) {
      this.#logError(error);
    }
  }

  /** Passes a request to its handler and returns the result; fails with `not_ready` if the channel has none. */
  async handleRequest(
    message: IncomingMessage,
  ): Promise<Result<unknown, Failure>> {
    const handler = this.#requestHandlers.get(message.channel);
    if (handler === undefined) {
      const text =
        `${this.#self} does not handle channel ${message.channel} yet`;
      return Err(fail("not_ready", text));
    }
    try {
      return await handler(message.from, message.body);
    } catch (error) {
      this.#logError(error);
      return Err(
        fail("internal", "the handler of a peer request threw an error"),
      );
    }
  }

  #logError(error: unknown): void {
    const stack = error instanceof Error ? error.stack : String(error);
    this.#events.emit(WIRE_EVENTS.handlerFailed, { stack });
  }
}
