/**
 * Workers of the soak that stream, half of them of each of two software versions, each behind a proxy, and the callers of
 * their streams.
 *
 * @module
 */
import type { Address, FleetRole, RandomSource } from "#core";
import type { NodeCluster } from "../proof/node_cluster.ts";
import { delay } from "../proof/managed_process.ts";
import type { StreamRecord } from "../proof/stream_caller.ts";
import type { LinkFault, SoakFault } from "./soak_faults.ts";
import { SoakProxy } from "./soak_proxy.ts";
import { SoakStreams } from "./soak_streams.ts";
import { SoakWorker } from "./soak_worker.ts";

const VERSIONS = ["v1", "v2"] as const;
const WORKER_PORT = 8081;
const BREAK_RATIO = 0.25;
const MAXIMUM_EVENTS_BEFORE_BREAK = 20;
const DELAY_MS = 150;
const STREAMS_AFTER_FAULTS = 10;

/** Options of `SoakAdvisers`. */
export interface SoakAdvisersOptions {
  readonly cluster: NodeCluster;
  readonly random: RandomSource;
  readonly count: number;
  /** Number of the first of their addresses in the network of the cluster. */
  readonly firstAddress: number;
  readonly host: string;
  readonly service: string;
  readonly model: string;
  readonly zones: number;
}

interface Adviser {
  readonly worker: SoakWorker;
  readonly proxy: SoakProxy;
  readonly announced: Address;
  version: number;
  isBeingReplaced: boolean;
}

/** Runs the workers and their callers. */
export class SoakAdvisers {
  readonly #options: SoakAdvisersOptions;
  readonly #advisers: readonly Adviser[];
  readonly #streams: SoakStreams;
  readonly #lateStreams: SoakStreams;

  constructor(options: SoakAdvisersOptions) {
    this.#options = options;
    this.#advisers = Array.from(
      { length: options.count },
      (_, at) => this.#createAdviser(at),
    );
    const target = {
      host: options.host,
      path: "/advice/x",
      model: options.model,
      entryOf: (attempt: number) =>
        options.cluster.callerAddress(attempt % options.zones),
    };
    this.#streams = new SoakStreams(target);
    this.#lateStreams = new SoakStreams(target);
  }

  /** The streams that callers requested while the faults happened. */
  get streams(): readonly StreamRecord[] {
    return this.#streams.records;
  }

  /** The streams that they requested when all faults had been over for long enough. */
  get lateStreams(): readonly StreamRecord[] {
    return this.#lateStreams.records;
  }

  get workers(): readonly SoakWorker[] {
    return this.#advisers.map((each) => each.worker);
  }

  async start(): Promise<void> {
    for (const { worker, proxy, announced } of this.#advisers) {
      await worker.start();
      await proxy.listen(announced);
    }
  }

  startCallers(): void {
    this.#streams.start();
  }

  stopCallers(): Promise<void> {
    return this.#streams.stop();
  }

  /** Requests some streams after the faults. */
  async requestLate(): Promise<void> {
    await this.#lateStreams.request(STREAMS_AFTER_FAULTS);
  }

  close(): void {
    for (const { worker, proxy } of this.#advisers) {
      worker.stop();
      proxy.close();
    }
  }

  /** Lets a fault of a link, a clock or a software version happen. */
  async cause(
    fault: Extract<SoakFault, { kind: "link" | "clock" | "software" }>,
  ): Promise<void> {
    if (fault.kind === "clock") {
      const { cluster } = this.#options;
      const role: FleetRole = fault.role;
      cluster.shiftClock(role, fault.zone, fault.byMs);
      await delay(fault.forMs);
      cluster.shiftClock(role, fault.zone, 0);
      return;
    }
    const adviser = this.#advisers[fault.worker];
    if (adviser === undefined) return;
    if (fault.kind === "software") await replace(adviser, fault);
    else await disturb(adviser.proxy, fault.how, fault.forMs);
  }

  #createAdviser(at: number): Adviser {
    const { cluster, random, firstAddress, service, model, zones } =
      this.#options;
    const announced = cluster.fakeAddress(firstAddress + at);
    const address = { host: announced.host, port: WORKER_PORT };
    const worker = new SoakWorker({
      name: `a${at}`,
      service,
      zone: `z${at % zones + 1}`,
      address,
      announcedAddress: announced,
      models: [model],
      softwareVersion: VERSIONS[at % VERSIONS.length] ?? "",
      eventsBeforeBreak: () =>
        random.fraction() < BREAK_RATIO
          ? 1 + random.below(MAXIMUM_EVENTS_BEFORE_BREAK)
          : null,
    });
    const proxy = new SoakProxy(address);
    return { worker, proxy, announced, version: at, isBeingReplaced: false };
  }
}

async function replace(
  adviser: Adviser,
  fault: Extract<SoakFault, { kind: "software" }>,
): Promise<void> {
  if (adviser.isBeingReplaced) return;
  adviser.isBeingReplaced = true;
  adviser.version += 1;
  const version = VERSIONS[adviser.version % VERSIONS.length] ?? "";
  await adviser.worker.replace(version, fault);
  adviser.isBeingReplaced = false;
}

async function disturb(
  proxy: SoakProxy,
  how: LinkFault,
  forMs: number,
): Promise<void> {
  if (how === "reset") return proxy.reset();
  if (how === "delay") proxy.setMode({ kind: "delay", byMs: DELAY_MS });
  if (how === "drop_requests") {
    proxy.setMode({ kind: "silent", drops: "requests" });
  }
  if (how === "drop_responses") {
    proxy.setMode({ kind: "silent", drops: "responses" });
  }
  await delay(forMs);
  proxy.setMode({ kind: "pass" });
}
