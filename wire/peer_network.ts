/**
 * Interface through which the domains exchange messages with other VMs.
 *
 * @module
 */
import type { Failure, Milliseconds, Result } from "#core";
import type { Channel } from "./messages.ts";

/** Handles a notice, a one-way message, from another VM. */
export type NoticeHandler = (from: string, body: unknown) => void;

/** Handles a request from another VM and returns its result. */
export type RequestHandler = (
  from: string,
  body: unknown,
) => Promise<Result<unknown, Failure>>;

/** Destination, channel and timeout of a request. */
export interface RequestOptions {
  readonly to: string;
  readonly channel: Channel;
  readonly timeoutMs: Milliseconds;
}

/** Destination and channel of a notice. */
export interface NoticeOptions {
  readonly to: string;
  readonly channel: Channel;
}

/**
 * Sends notices, which may be lost, and requests, which get a reply or fail. Messages to one VM can be lost,
 * duplicated by their senders and reordered across connections; the network never resends a message. A
 * failure with `ran: "no"` means that no byte of the request was sent.
 */
export abstract class PeerNetwork {
  /** Name of this VM. */
  abstract readonly self: string;
  /** Sends a notice without waiting for its delivery; the notice is lost if there is no connection. */
  abstract notify(options: NoticeOptions, body: unknown): void;
  /** Sends a request and waits for its reply. */
  abstract request(
    options: RequestOptions,
    body: unknown,
  ): Promise<Result<unknown, Failure>>;
  /** Sets the handler of notices on a channel; replaces an earlier one. */
  abstract onNotice(channel: Channel, handler: NoticeHandler): void;
  /** Sets the handler of requests on a channel; replaces an earlier one. */
  abstract onRequest(channel: Channel, handler: RequestHandler): void;
}
