/**
 * A TCP proxy in front of a worker: it delays what passes, resets its connections, or falls silent in one direction or
 * both. What arrives while it is silent is lost with its connection.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Address, Milliseconds } from "#core";

/** What a proxy does with what passes; `requests` and `responses` are the direction in which it is silent. */
export type ProxyMode =
  | { readonly kind: "pass" }
  | { readonly kind: "delay"; readonly byMs: Milliseconds }
  | { readonly kind: "silent"; readonly drops: "requests" | "responses" };

interface Pair {
  readonly client: Socket;
  readonly worker: Socket;
}

/** One proxy, which listens at the address that its worker announces. */
export class SoakProxy {
  readonly #worker: Address;
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  #mode: ProxyMode = { kind: "pass" };

  constructor(worker: Address) {
    this.#worker = worker;
    this.#server = createServer((client) => this.#accept(client));
  }

  listen({ host, port }: Address): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen({ host, port }, () => resolve());
    });
  }

  close(): void {
    this.reset();
    this.#server.close();
  }

  /** Closes all connections. */
  reset(): void {
    for (const { client, worker } of this.#pairs) {
      client.destroy();
      worker.destroy();
    }
  }

  /** Changes the mode. Connections on which something was lost are closed when the silence ends. */
  setMode(mode: ProxyMode): void {
    const wasSilent = this.#mode.kind === "silent";
    this.#mode = mode;
    if (wasSilent) this.reset();
  }

  #accept(client: Socket): void {
    const { host, port } = this.#worker;
    const pair: Pair = { client, worker: connect({ host, port }) };
    this.#pairs.add(pair);
    this.#forward(pair.client, pair.worker, "requests");
    this.#forward(pair.worker, pair.client, "responses");
    for (const socket of [pair.client, pair.worker]) {
      socket.on("error", () => socket.destroy());
      socket.on("close", () => {
        this.#pairs.delete(pair);
        pair.client.destroy();
        pair.worker.destroy();
      });
    }
  }

  #forward(
    from: Socket,
    to: Socket,
    direction: "requests" | "responses",
  ): void {
    const pass = (action: () => void): void => {
      const mode = this.#mode;
      if (mode.kind === "silent" && mode.drops === direction) return;
      if (mode.kind === "delay") setTimeout(action, mode.byMs);
      else action();
    };
    from.on("data", (bytes) => {
      pass(() => {
        if (!to.destroyed) to.write(bytes);
      });
    });
    from.on("end", () => pass(() => to.end()));
  }
}
