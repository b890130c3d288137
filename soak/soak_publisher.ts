/**
 * Publishes one version of the weights after the other, and what the oracle makes of the orders that engines got.
 *
 * @module
 */
import type { Address, Milliseconds } from "#core";
import { delay } from "../proof/managed_process.ts";
import { exchange } from "./soak_exchange.ts";

const INTERVAL_MS: Milliseconds = 3_000;
const RETRY_INTERVAL_MS: Milliseconds = 300;
const OK_STATUS = 200;

/** What an engine accepted and serves. */
export interface SoakEngineRecord {
  readonly name: string;
  readonly orders: readonly {
    readonly version: number;
    readonly holder: string;
    readonly fence: number;
  }[];
  /** Version that it serves at the end. */
  readonly version: number;
}

/** What was published, and what the engines made of it. */
export interface SoakPublications {
  /** The newest version that was acknowledged. */
  readonly published: number;
  readonly engines: readonly SoakEngineRecord[];
}

/** Publishes versions until it is stopped. */
export class SoakPublisher {
  readonly #controls: readonly Address[];
  readonly #model: string;
  #published = 1;
  #turn = 0;
  #isStopped = false;
  #running: Promise<void> = Promise.resolve();

  constructor(
    options: { readonly controls: readonly Address[]; readonly model: string },
  ) {
    this.#controls = options.controls;
    this.#model = options.model;
  }

  /** The newest version that was acknowledged; 1 is that with which engines start. */
  get published(): number {
    return this.#published;
  }

  start(): void {
    this.#running = this.#publishAll();
  }

  /** Publishes no more, once the last version is acknowledged. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#running;
  }

  async #publishAll(): Promise<void> {
    while (!this.#isStopped) {
      await this.#publish(this.#published + 1);
      await delay(INTERVAL_MS);
    }
  }

  async #publish(version: number): Promise<void> {
    while (true) {
      this.#turn += 1;
      const control = this.#controls[this.#turn % this.#controls.length];
      if (control === undefined) throw new Error("no control VM");
      const { status } = await exchange(control, {
        method: "POST",
        path: "/version-put",
        headers: {},
        body: JSON.stringify({ model: this.#model, version }),
      });
      if (status === OK_STATUS) break;
      await delay(RETRY_INTERVAL_MS);
    }
    this.#published = version;
  }
}

/** Returns a line for each promise about published versions that was broken. */
export function checkPublications(
  { published, engines }: SoakPublications,
): readonly string[] {
  const broken: string[] = [];
  const newest = Math.max(0, ...engines.map((each) => each.version));
  if (engines.length > 0 && newest !== published) {
    broken.push(`no engine serves ${published}, which was published`);
  }
  for (const { name, orders, version } of engines) {
    // The engines of a model take turns to load a version, as far as the batches allow; those here allow one.
    if (version < published - 1) {
      broken.push(`${name} serves ${version}, ${published} was published`);
    }
    for (const [at, order] of orders.entries()) {
      const before = orders[at - 1];
      if (before === undefined) continue;
      if (order.version <= before.version) {
        broken.push(`${name} was set back to ${order.version}`);
      }
      const isSame = order.holder === before.holder;
      if (
        order.fence < before.fence || (!isSame && order.fence === before.fence)
      ) {
        broken.push(`${name} got fence ${order.fence} after ${before.fence}`);
      }
    }
  }
  return broken;
}
