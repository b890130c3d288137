/**
 * Connections that other VMs have opened to this one: their greetings, messages and the replies to their requests.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Clock, EventLog, Milliseconds } from "#core";
import type { ChannelHandlers } from "./channel_handlers.ts";
import { WIRE_EVENTS } from "./events.ts";
import { replyFailure, type WriteOutcome } from "./frame_writer.ts";
import type { Envelope } from "./messages.ts";

const GREETING_TIMEOUT_MS: Milliseconds = 2_000;

/** Options of `IncomingConnections`. */
export interface IncomingConnectionsOptions {
  readonly cluster: string;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly handlers: ChannelHandlers;
  /** Reads the envelopes that arrive on a connection. */
  readonly read: (
    socket: Socket,
    onEnvelope: (envelope: Envelope) => void,
  ) => void;
  /** Writes an envelope to the VM at the other end. */
  readonly send: (
    socket: Socket,
    to: string,
    envelope: Envelope,
  ) => WriteOutcome;
  /** Called with a VM that greets, and whether it reads deflated frames. */
  readonly onGreeting: (vm: string, inflates: boolean) => void;
  /** Called with a connection that was closed. */
  readonly onClosed: (socket: Socket) => void;
  /** Whether a message of a VM may pass. */
  readonly mayPass: (from: string) => boolean;
}

/** Accepts connections and handles what arrives on them. */
export class IncomingConnections {
  readonly #options: IncomingConnectionsOptions;
  readonly #sockets = new Set<Socket>();

  constructor(options: IncomingConnectionsOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#sockets.size;
  }

  /** Closes all connections. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Handles a connection until it is closed. */
  accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    let peer: string | undefined;
    const timer = this.#options.clock.after(GREETING_TIMEOUT_MS, () => {
      if (peer === undefined) this.#reject(socket, "greeting timed out");
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      timer.cancel();
      this.#sockets.delete(socket);
      this.#options.onClosed(socket);
    });
    this.#options.read(socket, (envelope) => {
      if (peer !== undefined) {
        this.#handleMessage({ from: peer, socket }, envelope);
        return;
      }
      if (envelope.kind !== "greeting") {
        this.#reject(socket, "the first message is not a greeting");
        return;
      }
      if (envelope.cluster !== this.#options.cluster) {
        this.#reject(
          socket,
          `the peer belongs to cluster ${envelope.cluster}`,
        );
        return;
      }
      peer = envelope.vm;
      this.#options.onGreeting(peer, envelope.inflates === true);
    });
  }

  #reject(socket: Socket, reason: string): void {
    this.#options.events.emit(WIRE_EVENTS.greetingRejected, {
      reason,
      remote: socket.remoteAddress,
    });
    socket.destroy();
  }

  #handleMessage(
    source: { readonly from: string; readonly socket: Socket },
    envelope: Envelope,
  ): void {
    const { from } = source;
    const { mayPass, handlers, send } = this.#options;
    if (!mayPass(from)) return;
    if (envelope.kind === "notice") {
      const { channel, body } = envelope;
      handlers.handleNotice({ from, channel, body });
      return;
    }
    if (envelope.kind === "ping") {
      send(source.socket, from, { kind: "pong" });
      return;
    }
    if (envelope.kind !== "request") return;
    this.#reply(source, envelope);
  }

  async #reply(
    source: { readonly from: string; readonly socket: Socket },
    request: Extract<Envelope, { kind: "request" }>,
  ): Promise<void> {
    const { from } = source;
    const { channel, correlation, body } = request;
    const { handlers, send } = this.#options;
    const result = await handlers.handleRequest({ from, channel, body });
    if (source.socket.destroyed) return;
    const envelope: Envelope = result.ok
      ? { kind: "reply", correlation, body: result.val }
      : { kind: "refusal", correlation, failure: result.val };
    const outcome = send(source.socket, from, envelope);
    const failure = replyFailure(outcome);
    if (failure === undefined) return;
    const refusal: Envelope = { kind: "refusal", correlation, failure };
    send(source.socket, from, refusal);
  }
}
