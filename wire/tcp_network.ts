/**
 * The peer network over TCP. This VM opens one outgoing connection to each VM that it sends messages to, on
 * the first message; replies arrive on the connection on which the request was sent.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import {
  type Address,
  type Bytes,
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  isFailure,
  listenOn,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import { WIRE_EVENTS } from "./events.ts";
import { ChannelHandlers } from "./channel_handlers.ts";
import { readEnvelopes } from "./envelope_reader.ts";
import {
  FrameWriter,
  requestFailure,
  type WriteOutcome,
} from "./frame_writer.ts";
import { IncomingConnections } from "./incoming_connections.ts";
import type { Channel, Envelope } from "./messages.ts";
import { PendingRequests } from "./pending_requests.ts";
import { startKeepalive } from "./connection_keepalive.ts";
import {
  type NoticeHandler,
  type NoticeOptions,
  PeerNetwork,
  type RequestHandler,
  type RequestOptions,
} from "./peer_network.ts";

const CONNECT_TIMEOUT_MS: Milliseconds = 1_000;
const RECONNECT_DELAY_MS: Milliseconds = 200;
const MAXIMUM_CONNECTIONS = 2_048;

/** Options of `TcpNetwork`. */
export interface TcpNetworkOptions {
  readonly cluster: string;
  readonly self: string;
  readonly listen: Address;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Returns the peer address of a VM; undefined if it is unknown. */
  readonly resolve: (vm: string) => Address | undefined;
  /** Whether a message may pass; false drops it as a network partition does. For tests only. */
  readonly mayPass?: (route: { from: string; to: string }) => boolean;
}

interface OutgoingLink {
  readonly to: string;
  readonly address: Address;
  readonly socket: Socket;
  isOpen: boolean;
}

/** Bytes sent and received over the network. */
export interface TrafficCounts {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Peer connections and the data that they have not sent yet. */
export interface UnsentData {
  readonly connections: number;
  readonly bytes: Bytes;
}

/** Implements the peer network over TCP connections. */
export class TcpNetwork extends PeerNetwork {
  override readonly self: string;
  readonly #options: TcpNetworkOptions;
  readonly #handlers: ChannelHandlers;
  readonly #links = new Map<string, OutgoingLink>();
  readonly #incoming: IncomingConnections;
  readonly #pending: PendingRequests<OutgoingLink>;
  readonly #reconnectAtMs = new Map<string, Milliseconds>();
  readonly #writer = new FrameWriter();
  /** Peers whose last greeting says that they read deflated frames. */
  readonly #inflatingPeers = new Set<string>();
  #server: Server | undefined;
  #receivedBytes = 0;

  constructor(options: TcpNetworkOptions) {
    super();
    this.self = options.self;
    this.#options = options;
    this.#handlers = new ChannelHandlers(options);
    this.#pending = new PendingRequests(options.clock);
    this.#incoming = new IncomingConnections({
      ...options,
      handlers: this.#handlers,
      read: (socket, onEnvelope) => this.#read(socket, onEnvelope),
      send: (socket, to, envelope) => this.#send(socket, to, envelope),
      onGreeting: (vm, inflates) => {
        if (inflates) this.#inflatingPeers.add(vm);
        else this.#inflatingPeers.delete(vm);
      },
      onClosed: (socket) => this.#writer.forget(socket),
      mayPass: (from) => this.#mayPass(from, this.self),
    });
  }

  /** Starts accepting connections; rejects if the address can't be bound. */
  listen(): Promise<void> {
    const server = createServer((socket) => this.#incoming.accept(socket));
    server.maxConnections = MAXIMUM_CONNECTIONS;
    this.#server = server;
    const { events, listen } = this.#options;
    return listenOn(server, listen, (error) => {
      events.emit(WIRE_EVENTS.acceptFailed, { reason: error.message });
    });
  }

  /** Closes all connections and stops accepting new ones. */
  close(): void {
    this.#server?.close();
    for (const link of this.#links.values()) link.socket.destroy();
    this.#incoming.close();
  }

  /** Returns the bytes sent and received since the network was created. */
  traffic(): TrafficCounts {
    const { sentBytes } = this.#writer;
    return { sentBytes, receivedBytes: this.#receivedBytes };
  }

  /** Returns the number of open peer connections and the bytes that wait to be sent on them. */
  unsent(): UnsentData {
    const connections = this.#links.size + this.#incoming.size;
    return { connections, bytes: this.#writer.unsentBytes };
  }

  override onNotice(channel: Channel, handler: NoticeHandler): void {
    this.#handlers.setNoticeHandler(channel, handler);
  }

  override onRequest(channel: Channel, handler: RequestHandler): void {
    this.#handlers.setRequestHandler(channel, handler);
  }

  override notify(options: NoticeOptions, body: unknown): void {
    const link = this.#linkTo(options.to);
    if (link === undefined) return;
    this.#send(link.socket, options.to, {
      kind: "notice",
      channel: options.channel,
      body,
    });
  }

  override request(
    options: RequestOptions,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const link = this.#linkTo(options.to);
    if (link === undefined) {
      return Promise.resolve(
        Err(fail("not_ready", `there is no connection to ${options.to}`)),
      );
    }
    const { to, channel, timeoutMs } = options;
    const { correlation, reply } = this.#pending.register({
      link,
      to,
      timeoutMs,
    });
    const outcome = this.#send(link.socket, to, {
      kind: "request",
      channel,
      correlation,
      body,
    });
    const failure = requestFailure(outcome);
    if (failure !== undefined) this.#pending.settle(correlation, Err(failure));
    return reply;
  }

  #linkTo(to: string): OutgoingLink | undefined {
    const address = this.#options.resolve(to);
    if (address === undefined) return undefined;
    const existing = this.#links.get(to);
    if (existing !== undefined && sameAddress(existing.address, address)) {
      return existing;
    }
    existing?.socket.destroy();
    const reconnectAtMs = this.#reconnectAtMs.get(to) ?? 0;
    if (this.#options.clock.nowMs() < reconnectAtMs) return undefined;
    return this.#connect(to, address);
  }

  #connect(to: string, address: Address): OutgoingLink {
    const socket = connect({
      host: address.host,
      port: address.port,
      localAddress: this.#options.listen.host,
      noDelay: true,
      keepAlive: true,
    });
    const link: OutgoingLink = { to, address, socket, isOpen: false };
    this.#links.set(to, link);
    const timer = this.#options.clock.after(CONNECT_TIMEOUT_MS, () => {
      if (!link.isOpen) socket.destroy();
    });
    const keepalive = startKeepalive(socket, {
      clock: this.#options.clock,
      ping: () => this.#send(socket, to, { kind: "ping" }),
      onUnresponsive: () => {
        this.#options.events.emit(WIRE_EVENTS.connectionUnresponsive, { to });
        socket.destroy();
      },
    });
    socket.on("connect", () => {
      link.isOpen = true;
      timer.cancel();
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      timer.cancel();
      keepalive.cancel();
      this.#writer.forget(socket);
      this.#removeLink(link);
    });
    this.#read(socket, (envelope) => this.#handleReply(to, envelope));
    const greeted = this.#writer.write(socket, {
      kind: "greeting",
      cluster: this.#options.cluster,
      vm: this.self,
      inflates: true,
    });
    // The peer would reject every later message.
    if (greeted !== "written") socket.destroy();
    return link;
  }

  #removeLink(link: OutgoingLink): void {
    if (this.#links.get(link.to) === link) {
      this.#links.delete(link.to);
      this.#reconnectAtMs.set(
        link.to,
        this.#options.clock.nowMs() + RECONNECT_DELAY_MS,
      );
    }
    const failure = link.isOpen
      ? fail("outcome_unknown", `the connection to ${link.to} was lost`)
      : fail("not_ready", `could not connect to ${link.to}`);
    this.#pending.failAll(link, failure);
  }

  #handleReply(from: string, envelope: Envelope): void {
    if (!this.#mayPass(from, this.self)) return;
    if (envelope.kind === "reply") {
      this.#pending.settle(envelope.correlation, Ok(envelope.body));
      return;
    }
    if (envelope.kind !== "refusal") return;
    const failure = isFailure(envelope.failure)
      ? envelope.failure
      : fail("internal", `${from} sent a malformed refusal`);
    this.#pending.settle(envelope.correlation, Err(failure));
  }

  #read(socket: Socket, onEnvelope: (envelope: Envelope) => void): void {
    readEnvelopes(socket, {
      onEnvelope,
      onBytes: (count) => {
        this.#receivedBytes += count;
      },
      onInvalid: (reason) => this.#rejectFrame(socket, reason),
    });
  }

  #rejectFrame(socket: Socket, reason: string): void {
    this.#options.events.emit(WIRE_EVENTS.frameRejected, {
      reason,
      remote: socket.remoteAddress,
    });
    socket.destroy();
  }

  #send(socket: Socket, to: string, envelope: Envelope): WriteOutcome {
    if (!this.#mayPass(this.self, to)) return "dropped";
    const deflate = this.#inflatingPeers.has(to);
    return this.#writer.write(socket, envelope, { deflate });
  }

  #mayPass(from: string, to: string): boolean {
    return this.#options.mayPass?.({ from, to }) ?? true;
  }
}

function sameAddress(a: Address, b: Address): boolean {
  return a.host === b.host && a.port === b.port;
}
