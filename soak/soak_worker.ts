/**
 * A worker of the soak: it names limits, and crashes under calls that are marked so. It starts again at the same address.
 *
 * @module
 */
import type { Address, Milliseconds } from "#core";
import { type ExecutedRequest, FakeWorker } from "#platform";
import { delay } from "../proof/managed_process.ts";
import type { SoakWorkerRecord } from "./soak_oracle.ts";

/** Calls whose body begins like this crash each worker that runs them. */
export const CRASHING_BODY_PREFIX = "crash";

const CRASH_MS: Milliseconds = 80;
const RESTART_MS: Milliseconds = 1_500;

/** Where a worker runs, and for which service. */
export interface SoakWorkerOptions {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly address: Address;
  /** Models that it serves; none if it is a plain service. */
  readonly models?: readonly string[];
}

/** One worker with all of its incarnations. */
export class SoakWorker {
  readonly #options: SoakWorkerOptions;
  readonly #limits: { fromMs: Milliseconds; perSecond: number | null }[] = [
    { fromMs: 0, perSecond: null },
  ];
  readonly #executed: ExecutedRequest[] = [];
  readonly #crashes: { atMs: Milliseconds; bodies: readonly string[] }[] = [];
  #fake: FakeWorker | undefined;
  #incarnations = 0;
  /** Calls that crash this incarnation. */
  #crashing: string[] = [];
  #isStopped = false;

  constructor(options: SoakWorkerOptions) {
    this.#options = options;
  }

  /** Everything that was seen of it. */
  get record(): SoakWorkerRecord {
    return {
      name: this.#options.name,
      limits: this.#limits,
      executed: this.#executed,
      crashes: this.#crashes,
    };
  }

  /** Starts the next incarnation. */
  async start(): Promise<void> {
    const { name, service, zone, address, models = [] } = this.#options;
    this.#incarnations += 1;
    const fake = new FakeWorker({
      id: `${name}-${this.#incarnations}`,
      service,
      zone,
      address,
      models,
      eventMs: 40,
      startedMs: Date.now(),
      onRun: (request) => this.#run(request),
    });
    fake.requestLimit = this.#limits.at(-1)?.perSecond ?? null;
    await fake.listen();
    this.#fake = fake;
  }

  /** Stops it for good. */
  stop(): void {
    this.#isStopped = true;
    this.#fake?.close();
  }

  sendHeartbeat(control: Address): void {
    void this.#fake?.sendHeartbeat(control);
  }

  /** Names another limit from now on, null for none. */
  setLimit(perSecond: number | null): void {
    if (this.#fake !== undefined) this.#fake.requestLimit = perSecond;
    this.#limits.push({ fromMs: performance.now(), perSecond });
  }

  /** Returns whether a request crashes the worker, instead of getting a response. */
  #run(request: ExecutedRequest): boolean {
    this.#executed.push(request);
    if (!request.body.startsWith(CRASHING_BODY_PREFIX)) return false;
    this.#crashing.push(request.body);
    if (this.#crashing.length === 1) void this.#crash();
    return true;
  }

  async #crash(): Promise<void> {
    await delay(CRASH_MS);
    this.#fake?.close();
    this.#fake = undefined;
    this.#crashes.push({ atMs: performance.now(), bodies: this.#crashing });
    this.#crashing = [];
    await delay(RESTART_MS);
    if (!this.#isStopped) await this.start();
  }
}
