/**
 * Memory reports and the metrics address of a process on the users' platform.
 *
 * @module
 */
import type { MemoryHolder } from "#core";
import { HTTP_EVENTS } from "./events.ts";
import type { HttpLimits } from "./http_limits.ts";
import { HttpServer } from "./http_server.ts";
import { MemoryReporter } from "./memory_reporter.ts";
import { NODE_HTTP_LIMITS, type NodeBase } from "./node_base.ts";
import { metricsRoute } from "./probe_routes.ts";

/** Few, since only monitoring systems connect. */
const MAXIMUM_CONNECTIONS = 8;
const METRICS_LIMITS: HttpLimits = {
  ...NODE_HTTP_LIMITS,
  maximumConnections: MAXIMUM_CONNECTIONS,
};

/** Monitors one process. */
export class NodeMonitoring {
  readonly #base: NodeBase;
  readonly #reporter: MemoryReporter;
  readonly #server: HttpServer | undefined;

  constructor(base: NodeBase, holder: MemoryHolder) {
    this.#base = base;
    this.#reporter = new MemoryReporter({
      ...base,
      holder,
      limitBytes: base.settings.memoryLimitBytes,
    });
    const listen = base.settings.metricsAddress;
    if (listen === null) return;
    const routes = [metricsRoute(base.metrics)];
    this.#server = new HttpServer({
      ...base,
      listen,
      routes: () => routes,
      limits: METRICS_LIMITS,
    });
  }

  /** Starts the reports, and serves metrics if there is an address for them that is free. */
  async start(): Promise<void> {
    this.#reporter.start();
    try {
      await this.#server?.listen();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.#base.events.emit(HTTP_EVENTS.metricsUnavailable, { reason });
    }
  }

  /** Stops the reports and closes the metrics address. */
  async stop(): Promise<void> {
    this.#reporter.stop();
    await this.#server?.close();
  }
}
