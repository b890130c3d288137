/**
 * A worker of the soak: it names limits, and crashes under calls that are marked so. It starts again at the same address.
 *
 * @module
 */
import type { Address, Milliseconds } from "#core";
import { type ExecutedRequest, FakeWorker, type ResponseEnd } from "#platform";
import { delay } from "../proof/managed_process.ts";
import type { SoakWorkerRecord } from "./soak_oracle.ts";
import type { SoakEngineRecord } from "./soak_publisher.ts";

/** Calls whose body begins like this crash each worker that runs them. */
export const CRASHING_BODY_PREFIX = "crash";

/** Of so many requests a worker that fails some fails one. */
const FAILED_EACH = 5;
const FAILURE_STATUS = 503;
/** Of so many responses a worker whose responses have no length resets one, with a part of it. */
const RESET_EACH = 7;
const CRASH_MS: Milliseconds = 80;
const RESTART_MS: Milliseconds = 1_500;
const DEPARTURE_RETRY_MS: Milliseconds = 100;
/** A worker without an acknowledgement ends anyway some seconds later. */
const DEPARTURE_LIMIT_MS: Milliseconds = 5_000;

/** Where a worker runs, and for which service. */
export interface SoakWorkerOptions {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly address: Address;
  /** Models that it serves; none if it is a plain service. */
  readonly models?: readonly string[];
  /** Address that it announces, as that of a proxy before it; its own if absent. */
  readonly announcedAddress?: Address;
  /** Version of its software at first; it then writes that version into its streams. */
  readonly softwareVersion?: string;
  /** Whether it fails part of its requests with 503, although it has run them. */
  readonly failsSome?: boolean;
  /** Whether its responses end with their connections, and some of them by a reset. */
  readonly resetsSome?: boolean;
  /** Returns after how many events a stream breaks off, or null if it does not; none does if absent. */
  readonly eventsBeforeBreak?: () => number | null;
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
  readonly #departures: { fromMs: Milliseconds; untilMs: Milliseconds }[] = [];
  #isStopped = false;
  #softwareVersion: string | undefined;
  #failsSome: boolean;
  readonly #endsWithConnection: boolean;
  #resetsSome: boolean;
  #responses = 0;

  constructor(options: SoakWorkerOptions) {
    this.#options = options;
    this.#softwareVersion = options.softwareVersion;
    this.#failsSome = options.failsSome ?? false;
    this.#endsWithConnection = options.resetsSome ?? false;
    this.#resetsSome = this.#endsWithConnection;
  }

  /** What it accepted of a model, and serves of it now. */
  engineRecord(model: string): SoakEngineRecord {
    return {
      name: this.#options.name,
      orders: this.#fake?.acceptedOrders ?? [],
      version: this.#fake?.versionOf(model) ?? 0,
    };
  }

  /** Ends it, and starts it again with other software, under the identifier that it had or a new one. */
  async replace(
    softwareVersion: string,
    options: { readonly keepsId: boolean; readonly downMs: Milliseconds },
  ): Promise<void> {
    this.#fake?.close();
    this.#fake = undefined;
    this.#softwareVersion = softwareVersion;
    if (!options.keepsId) this.#incarnations += 1;
    await delay(options.downMs);
    if (!this.#isStopped) await this.#startIncarnation();
  }

  /** Everything that was seen of it. */
  get record(): SoakWorkerRecord {
    return {
      name: this.#options.name,
      limits: this.#limits,
      executed: this.#executed,
      crashes: this.#crashes,
      departures: this.#departures,
    };
  }

  /**
   * Reports that it drains until that is acknowledged, goes on for a time in which its last heartbeat before that arrives
   * once more, and starts again as another incarnation.
   */
  async depart(
    controls: readonly Address[],
    options: { readonly lateMs: Milliseconds; readonly forMs: Milliseconds },
  ): Promise<void> {
    const fake = this.#fake;
    if (fake === undefined) return;
    fake.drain();
    const untilMs = performance.now() + DEPARTURE_LIMIT_MS;
    let turn = 0;
    let isAcknowledged = false;
    while (!isAcknowledged && performance.now() < untilMs) {
      const control = controls[turn % controls.length];
      turn += 1;
      if (control !== undefined) {
        isAcknowledged = await fake.sendHeartbeat(control);
      }
      if (!isAcknowledged) await delay(DEPARTURE_RETRY_MS);
    }
    const fromMs = isAcknowledged ? performance.now() : Infinity;
    // It is silent from now on, but for the heartbeat that was under way.
    this.#fake = undefined;
    await delay(options.lateMs);
    for (const control of controls) await fake.repeatReadyHeartbeat(control);
    await delay(Math.max(0, options.forMs - options.lateMs));
    this.#departures.push({ fromMs, untilMs: performance.now() });
    fake.close();
    if (!this.#isStopped) await this.start();
  }

  /** Starts the next incarnation, under a new identifier. */
  async start(): Promise<void> {
    this.#incarnations += 1;
    await this.#startIncarnation();
  }

  async #startIncarnation(): Promise<void> {
    const { name, service, zone, address, models = [] } = this.#options;
    const { announcedAddress, eventsBeforeBreak } = this.#options;
    const softwareVersion = this.#softwareVersion;
    const fake = new FakeWorker({
      id: `${name}-${this.#incarnations}`,
      service,
      zone,
      address,
      models,
      eventMs: 40,
      startedMs: Date.now(),
      onRun: (request) => this.#run(request),
      failureOf: (request) => this.#failsSome ? failureOf(request) : null,
      endOf: () => this.#nextEnd(),
      ...(announcedAddress === undefined ? {} : { announcedAddress }),
      ...(eventsBeforeBreak === undefined ? {} : { eventsBeforeBreak }),
      ...(softwareVersion === undefined
        ? {}
        : { softwareVersion, eventData: () => softwareVersion }),
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

  /** Fails and resets no more requests, and names no limit. */
  recover(): void {
    this.#failsSome = false;
    this.#resetsSome = false;
    this.setLimit(null);
  }

  /** Names another limit from now on, null for none. */
  setLimit(perSecond: number | null): void {
    if (this.#fake !== undefined) this.#fake.requestLimit = perSecond;
    this.#limits.push({ fromMs: performance.now(), perSecond });
  }

  /** Returns how its next response ends. */
  #nextEnd(): ResponseEnd {
    if (!this.#endsWithConnection) return "marked";
    this.#responses += 1;
    const isReset = this.#resetsSome && this.#responses % RESET_EACH === 0;
    return isReset ? "reset" : "connection";
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

/** Returns the failure of a request at a worker that fails some: the same ones each time. */
function failureOf({ id }: ExecutedRequest): number | null {
  let sum = 0;
  for (const character of id) sum += character.charCodeAt(0);
  return sum % FAILED_EACH === 0 ? FAILURE_STATUS : null;
}
