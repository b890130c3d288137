/**
 * The network between the system's VMs, as the domains see it.
 *
 * @module
 */
import type { Failure, Milliseconds, Result } from "#core";
import type { Channel } from "./messages.ts";

/** Takes a notice from another VM. */
export type NoticeHandler = (from: string, body: unknown) => void;

/** Answers a request from another VM. */
export type RequestHandler = (
  from: string,
  body: unknown,
) => Promise<Result<unknown, Failure>>;

/** Where and how a request is sent. */
export interface RequestOptions {
  readonly to: string;
  readonly channel: Channel;
  readonly timeoutMs: Milliseconds;
}

/** Where a notice is sent. */
export interface NoticeOptions {
  readonly to: string;
  readonly channel: Channel;
}

/**
 * Sends notices, which may be lost, and requests, which are answered or fail. Messages to one VM can be
 * lost, doubled by senders and reordered across connections; nothing here repeats them. A failure with
 * `ran: "no"` means that no byte of the request was sent.
 */
export abstract class PeerNetwork {
  /** Name of this VM. */
  abstract readonly self: string;
  /** Sends without waiting; lost if there is no connection. */
  abstract notify(options: NoticeOptions, body: unknown): void;
  /** Sends and waits for the answer. */
  abstract request(
    options: RequestOptions,
    body: unknown,
  ): Promise<Result<unknown, Failure>>;
  /** Names the one handler of notices on a channel. */
  abstract onNotice(channel: Channel, handler: NoticeHandler): void;
  /** Names the one handler of requests on a channel. */
  abstract onRequest(channel: Channel, handler: RequestHandler): void;
}
