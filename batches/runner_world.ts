/**
 * A batch runner in front of engines that answer over HTTP on this machine, for tests.
 *
 * @module
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { ReplicatedLog } from "#agreement";
import {
  type FleetUpstream,
  type MachineCommand,
  MemoryEventLog,
  Metrics,
  Ok,
  type RoutingConfiguration,
  SeededRandom,
  SystemClock,
} from "#core";
import { UnlimitedPermits } from "#quotas";
import {
  type ResponseHead,
  type ResponseMetadata,
  UpstreamDialect,
} from "#requests";
import { BatchRunner } from "./batch_runner.ts";
import { type Batch, type BatchResult, readResult } from "./batch_types.ts";
import { type BatchesCommand, BatchesMachine } from "./batches_machine.ts";
import { type ScoringOutcome, ScoringPort } from "./item_scoring.ts";

const EVENT_INTERVAL_MS = 10;
const KEEP_MS = 60_000;
const POLL_INTERVAL_MS = 10;
const DRAIN_MS = 400;

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "r",
    host: "h",
    pathPrefix: "/a/",
    kind: "batch",
    split: [{ service: "models", weight: 1 }],
  }],
  services: [{
    name: "models",
    maximumConnections: 10,
    engine: { slots: 8, cacheTokens: 100_000, models: ["m"] },
  }],
} as unknown as RoutingConfiguration;

class WorldDialect extends UpstreamDialect {
  override callerOf(): string {
    return "";
  }

  override callHeaders(
    base: readonly string[],
    { requestId, lastEventId }: Parameters<UpstreamDialect["callHeaders"]>[1],
  ): readonly string[] {
    const after = lastEventId === null ? [] : ["after", String(lastEventId)];
    return [...base, "id", requestId, ...after];
  }

  override readResumption(): ReturnType<UpstreamDialect["readResumption"]> {
    return Ok(null);
  }

  override identityCall(): null {
    return null;
  }

  override readBornMs(): null {
    return null;
  }

  override readResponse({ headers }: ResponseHead): ResponseMetadata {
    return {
      requestId: headers["id"] ?? null,
      notRun: headers["not-run"] !== undefined,
      stamp: headers["stamp"] ?? null,
      leaving: false,
      requestLimit: null,
      version: headers["version"] === undefined
        ? null
        : Number(headers["version"]),
    };
  }

  override readEventVersion(
    fields: ReadonlyMap<string, string>,
  ): number | null {
    const version = fields.get("version");
    return version === undefined ? null : Number(version);
  }
}

class NoScoring extends ScoringPort {
  override send(): Promise<ScoringOutcome> {
    throw new Error("no item of this test is scored");
  }
}

/** An engine that streams numbered events, or answers with a status. */
export class StubEngine {
  version: number;
  phase: FleetUpstream["phase"] = "ready";
  /** Returns the status that an item gets instead of a text, or null. */
  statusOf: (item: string) => number | null = () => null;
  /** Identifiers of the items that were sent here, in order. */
  readonly received: string[] = [];
  readonly id: string;
  readonly #events: number;
  readonly #server: Server;

  constructor(
    id: string,
    options: { readonly version: number; readonly events: number },
  ) {
    this.id = id;
    this.version = options.version;
    this.#events = options.events;
    this.#server = createServer((request, response) => {
      request.resume();
      const item = String(request.headers["id"]);
      this.received.push(item);
      const after = Number(request.headers["after"] ?? -1);
      this.#respond(response, { item, after });
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen({ host: "127.0.0.1", port: 0 }, resolve)
    );
  }

  /** Ends at once, as a process that is killed. */
  kill(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  get upstream(): FleetUpstream {
    const { port } = this.#server.address() as AddressInfo | null ??
      { port: 1 };
    return {
      id: this.id,
      bornMs: 1,
      sequence: 1,
      service: "models",
      zone: "z",
      address: { host: "127.0.0.1", port },
      slots: 8,
      phase: this.phase,
      serves: [{ model: "m", version: this.version }],
    };
  }

  #respond(
    response: ServerResponse,
    { item, after }: { readonly item: string; readonly after: number },
  ): void {
    const { version } = this;
    const status = this.statusOf(item);
    const stamp = { id: item, stamp: `${this.id}.${item}` };
    if (status !== null) {
      response.writeHead(status, { ...stamp, "content-length": "0" }).end();
      return;
    }
    response.writeHead(200, { ...stamp, version: String(version) });
    let next = after + 1;
    const timer = setInterval(() => {
      if (next >= this.#events) {
        clearInterval(timer);
        response.end();
        return;
      }
      // A version that has changed goes with each event: the last one seen counts.
      const field = `version: ${this.version}\n`;
      response.write(`${field}id: ${next}\ndata: ${next}\n\n`);
      next += 1;
    }, EVENT_INTERVAL_MS);
    response.on("close", () => clearInterval(timer));
  }
}

/** A runner that leads, and the engines that it knows. */
export class RunnerWorld {
  readonly events = new MemoryEventLog();
  readonly #machine = new BatchesMachine();
  readonly #engines: StubEngine[] = [];
  readonly #runner: BatchRunner;
  #index = 0;

  constructor() {
    const log = {
      leaseUntilMs: () => Infinity,
      status: () => ({ role: "leader" }),
      onApplied: () => () => {},
      propose: ({ command }: MachineCommand) => {
        this.#apply(command as BatchesCommand);
        return Promise.resolve(Ok(1));
      },
    };
    this.#runner = new BatchRunner({
      log: log as unknown as ReplicatedLog,
      machine: this.#machine,
      clock: new SystemClock(),
      events: this.events,
      metrics: new Metrics(),
      random: new SeededRandom(1),
      dialect: new WorldDialect(),
      upstreams: () => this.#engines.map((each) => each.upstream),
      onLeaving: () => {},
      onRequestLimit: () => {},
      permits: new UnlimitedPermits(),
      configuration: () => CONFIGURATION,
      drainMs: DRAIN_MS,
      fetchReport: () => Promise.resolve(undefined),
      scoringPort: new NoScoring(),
      onLeads: () => {},
    });
  }

  /** Starts an engine, which the runner knows from then on. */
  async addEngine(
    id: string,
    options: { readonly version: number; readonly events: number },
  ): Promise<StubEngine> {
    const engine = new StubEngine(id, options);
    await engine.listen();
    this.#engines.push(engine);
    return engine;
  }

  /** Kills an engine; the runner no longer knows it if it `isKnown` is false. */
  removeEngine(engine: StubEngine, { isKnown }: { isKnown: boolean }): void {
    engine.kill();
    if (isKnown) return;
    this.#engines.splice(this.#engines.indexOf(engine), 1);
  }

  /** Accepts a batch and begins to run it. */
  submit(batch: Batch): void {
    this.#apply({ kind: "accept", batch, keepMs: KEEP_MS });
    this.#runner.start();
  }

  /** Returns the results of a batch by item once all are listed, or those that are by the time limit. */
  async results(
    batch: Batch,
    limitMs: number,
  ): Promise<ReadonlyMap<string, BatchResult>> {
    const untilMs = Date.now() + limitMs;
    for (;;) {
      const listed = this.#machine.find(batch.id)?.results ?? [];
      if (listed.length === batch.items.length || Date.now() > untilMs) {
        return new Map(listed.map((each) => [each.id, readResult(each)]));
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async stop(): Promise<void> {
    await this.#runner.stop();
    for (const engine of this.#engines) engine.kill();
  }

  #apply(command: BatchesCommand): void {
    this.#index += 1;
    this.#machine.apply({ index: this.#index, atMs: Date.now(), command });
  }
}

/** Resolves after a time. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
