/**
 * The peer network over TCP: one outgoing connection to each VM that this one talks to, opened when
 * first needed; answers come back on the connection that carried the request.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import {
  type Address,
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  isFailure,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import { WIRE_EVENTS } from "./events.ts";
import { ChannelHandlers } from "./channel_handlers.ts";
import { readEnvelopes } from "./envelope_reader.ts";
import { encodeFrame } from "./frame.ts";
import type { Channel, Envelope } from "./messages.ts";
import { PendingRequests } from "./pending_requests.ts";
import { watchSilence } from "./silence_watch.ts";
import {
  type NoticeHandler,
  type NoticeOptions,
  PeerNetwork,
  type RequestHandler,
  type RequestOptions,
} from "./peer_network.ts";

const CONNECT_TIMEOUT_MS: Milliseconds = 1_000;
const RECONNECT_PAUSE_MS: Milliseconds = 200;
const GREETING_TIMEOUT_MS: Milliseconds = 2_000;
const MAXIMUM_UNSENT_BYTES = 16 * 1_048_576;
const MAXIMUM_CONNECTIONS = 2_048;

/** What a TCP peer network is built from. */
export interface TcpNetworkOptions {
  readonly cluster: string;
  readonly self: string;
  readonly listen: Address;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Finds the peer address of a VM; undefined if none is known. */
  readonly resolve: (vm: string) => Address | undefined;
  /** Tells whether a message may pass; false acts as a cut. For tests only. */
  readonly mayPass?: (route: { from: string; to: string }) => boolean;
}

interface OutgoingLink {
  readonly to: string;
  readonly address: Address;
  readonly socket: Socket;
  open: boolean;
}

/** Counts of what crossed the network. */
export interface TrafficCounts {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** A peer network over TCP. */
export class TcpNetwork extends PeerNetwork {
  override readonly self: string;
  readonly #options: TcpNetworkOptions;
  readonly #handlers: ChannelHandlers;
  readonly #links = new Map<string, OutgoingLink>();
  readonly #incoming = new Set<Socket>();
  readonly #pending: PendingRequests<OutgoingLink>;
  readonly #pausedUntilMs = new Map<string, Milliseconds>();
  #server: Server | undefined;
  #sentBytes = 0;
  #receivedBytes = 0;

  constructor(options: TcpNetworkOptions) {
    super();
    this.self = options.self;
    this.#options = options;
    this.#handlers = new ChannelHandlers(options);
    this.#pending = new PendingRequests(options.clock);
  }

  /** Starts to accept connections; rejects if the address is in use. */
  listen(): Promise<void> {
    const server = createServer((socket) => this.#accept(socket));
    server.maxConnections = MAXIMUM_CONNECTIONS;
    this.#server = server;
    const { host, port } = this.#options.listen;
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen({ host, port }, () => {
        server.off("error", reject);
        resolve();
      });
    });
  }

  /** Closes every connection and stops accepting. */
  close(): void {
    this.#server?.close();
    for (const link of this.#links.values()) link.socket.destroy();
    for (const socket of this.#incoming) socket.destroy();
  }

  /** Bytes sent and received since the start. */
  traffic(): TrafficCounts {
    return { sentBytes: this.#sentBytes, receivedBytes: this.#receivedBytes };
  }

  override onNotice(channel: Channel, handler: NoticeHandler): void {
    this.#handlers.setNotice(channel, handler);
  }

  override onRequest(channel: Channel, handler: RequestHandler): void {
    this.#handlers.setRequest(channel, handler);
  }

  override notify(options: NoticeOptions, body: unknown): void {
    const link = this.#link(options.to);
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
    const link = this.#link(options.to);
    if (link === undefined) {
      return Promise.resolve(
        Err(fail("not_ready", `there is no connection to ${options.to}`)),
      );
    }
    const { to, channel, timeoutMs } = options;
    const { correlation, answer } = this.#pending.open({ link, to, timeoutMs });
    this.#send(link.socket, to, {
      kind: "request",
      channel,
      correlation,
      body,
    });
    return answer;
  }

  #link(to: string): OutgoingLink | undefined {
    const address = this.#options.resolve(to);
    if (address === undefined) return undefined;
    const known = this.#links.get(to);
    if (known !== undefined && sameAddress(known.address, address)) {
      return known;
    }
    known?.socket.destroy();
    const pausedUntilMs = this.#pausedUntilMs.get(to) ?? 0;
    if (this.#options.clock.nowMs() < pausedUntilMs) return undefined;
    return this.#open(to, address);
  }

  #open(to: string, address: Address): OutgoingLink {
    const socket = connect({
      host: address.host,
      port: address.port,
      localAddress: this.#options.listen.host,
      noDelay: true,
      keepAlive: true,
    });
    const link: OutgoingLink = { to, address, socket, open: false };
    this.#links.set(to, link);
    const timer = this.#options.clock.after(CONNECT_TIMEOUT_MS, () => {
      if (!link.open) socket.destroy();
    });
    const pulse = watchSilence(socket, {
      clock: this.#options.clock,
      ping: () => this.#send(socket, to, { kind: "ping" }),
      onSilent: () => {
        this.#options.events.emit(WIRE_EVENTS.connectionSilent, { to });
        socket.destroy();
      },
    });
    socket.on("connect", () => {
      link.open = true;
      timer.cancel();
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      timer.cancel();
      pulse.cancel();
      this.#dropLink(link);
    });
    this.#read(socket, (envelope) => this.#takeAnswer(to, envelope));
    this.#write(socket, {
      kind: "greeting",
      cluster: this.#options.cluster,
      vm: this.self,
    });
    return link;
  }

  #dropLink(link: OutgoingLink): void {
    if (this.#links.get(link.to) === link) {
      this.#links.delete(link.to);
      this.#pausedUntilMs.set(
        link.to,
        this.#options.clock.nowMs() + RECONNECT_PAUSE_MS,
      );
    }
    const failure = link.open
      ? fail("outcome_unknown", `the connection to ${link.to} broke`)
      : fail("not_ready", `${link.to} can't be reached`);
    this.#pending.failAll(link, failure);
  }

  #takeAnswer(from: string, envelope: Envelope): void {
    if (!this.#passes(from, this.self)) return;
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

  #accept(socket: Socket): void {
    this.#incoming.add(socket);
    socket.setNoDelay(true);
    let peer: string | undefined;
    const timer = this.#options.clock.after(GREETING_TIMEOUT_MS, () => {
      if (peer === undefined) this.#refuse(socket, "no greeting in time");
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      timer.cancel();
      this.#incoming.delete(socket);
    });
    this.#read(socket, (envelope) => {
      if (peer !== undefined) {
        this.#takeMessage({ from: peer, socket }, envelope);
        return;
      }
      if (envelope.kind !== "greeting") {
        this.#refuse(socket, "the first frame is no greeting");
        return;
      }
      if (envelope.cluster !== this.#options.cluster) {
        this.#refuse(socket, `the peer belongs to cluster ${envelope.cluster}`);
        return;
      }
      peer = envelope.vm;
    });
  }

  #refuse(socket: Socket, reason: string): void {
    this.#options.events.emit(WIRE_EVENTS.connectionRefused, {
      reason,
      remote: socket.remoteAddress,
    });
    socket.destroy();
  }

  #takeMessage(
    source: { readonly from: string; readonly socket: Socket },
    envelope: Envelope,
  ): void {
    if (!this.#passes(source.from, this.self)) return;
    const { from } = source;
    if (envelope.kind === "notice") {
      const { channel, body } = envelope;
      this.#handlers.notice({ from, channel, body });
      return;
    }
    if (envelope.kind === "ping") {
      this.#send(source.socket, from, { kind: "pong" });
      return;
    }
    if (envelope.kind !== "request") return;
    this.#answer(source, envelope);
  }

  async #answer(
    source: { readonly from: string; readonly socket: Socket },
    request: Extract<Envelope, { kind: "request" }>,
  ): Promise<void> {
    const { from } = source;
    const { channel, correlation, body } = request;
    const result = await this.#handlers.request({ from, channel, body });
    if (source.socket.destroyed) return;
    const envelope: Envelope = result.ok
      ? { kind: "reply", correlation, body: result.val }
      : { kind: "refusal", correlation, failure: result.val };
    this.#send(source.socket, source.from, envelope);
  }

  #read(socket: Socket, onEnvelope: (envelope: Envelope) => void): void {
    readEnvelopes(socket, {
      onEnvelope,
      onBytes: (count) => {
        this.#receivedBytes += count;
      },
      onRefused: (reason) => this.#refuseFrame(socket, reason),
    });
  }

  #refuseFrame(socket: Socket, reason: string): void {
    this.#options.events.emit(WIRE_EVENTS.frameRefused, {
      reason,
      remote: socket.remoteAddress,
    });
    socket.destroy();
  }

  #send(socket: Socket, to: string, envelope: Envelope): void {
    if (!this.#passes(this.self, to)) return;
    this.#write(socket, envelope);
  }

  #write(socket: Socket, envelope: Envelope): void {
    if (socket.writableLength > MAXIMUM_UNSENT_BYTES) {
      socket.destroy();
      return;
    }
    const frame = encodeFrame(envelope);
    this.#sentBytes += frame.length;
    socket.write(frame);
  }

  #passes(from: string, to: string): boolean {
    return this.#options.mayPass?.({ from, to }) ?? true;
  }
}

function sameAddress(a: Address, b: Address): boolean {
  return a.host === b.host && a.port === b.port;
}
