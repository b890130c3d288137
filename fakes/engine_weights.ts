/**
 * The weights of a stand-in engine: orders, fences, loading from the weight store, and swaps that fail partway.
 *
 * @module
 */
import type { Clock, Milliseconds } from "#core";
import type { JsonClient } from "./json_client.ts";

const RETRY_PAUSE_MS: Milliseconds = 1_000;
const TRANSFER_TIMEOUT_MS: Milliseconds = 60_000;

/** An order to load and serve a version. */
export interface WeightOrder {
  readonly fence: number;
  readonly model: string;
  readonly version: number;
}

/** Whether the engine can serve. */
export type WeightState = "serving" | "loading" | "failed";

/** What the weights of an engine are built from. */
export interface EngineWeightsOptions {
  readonly model: string;
  readonly version: number;
  readonly enforcesFences: boolean;
  /** Base of the weight store, or null to load at once. */
  readonly weightStore: string | null;
  /** Time from the end of the transfer until the version serves. */
  readonly swapMs: Milliseconds;
  readonly clock: Clock;
  readonly client: JsonClient;
  /** Called after the served version or the state changed. */
  readonly onChange: () => void;
  /** Called when a swap failed partway. */
  readonly onFailure: (order: WeightOrder) => void;
}

/** The version served and the orders that change it. */
export class EngineWeights {
  readonly #options: EngineWeightsOptions;
  #version: number;
  #state: WeightState = "serving";
  #wished: number;
  #fence = 0;
  #attempt = 0;
  #failuresLeft = 0;
  #orders: WeightOrder[] = [];

  constructor(options: EngineWeightsOptions) {
    this.#options = options;
    this.#version = options.version;
    this.#wished = options.version;
  }

  /** Version that makes tokens now, also while another one loads. */
  get version(): number {
    return this.#version;
  }

  /** Whether it serves, loads or has failed. */
  get state(): WeightState {
    return this.#state;
  }

  /** Fence of the newest order that it obeyed. */
  get fence(): number {
    return this.#fence;
  }

  /** Orders that it obeyed, oldest first. */
  orders(): readonly WeightOrder[] {
    return this.#orders;
  }

  /** Makes the next `count` swaps fail partway. */
  failSwaps(count: number): void {
    this.#failuresLeft = count;
  }

  /** Takes an order; false if its fence is older than one obeyed and fences are enforced. */
  order(order: WeightOrder): boolean {
    if (this.#options.enforcesFences && order.fence < this.#fence) return false;
    this.#fence = order.fence;
    this.#orders.push(order);
    const known = order.version === this.#wished && this.#state !== "failed";
    if (known) return true;
    this.#wished = order.version;
    this.#attempt += 1;
    this.#swap(order, this.#attempt);
    return true;
  }

  async #swap(order: WeightOrder, attempt: number): Promise<void> {
    if (order.version === this.#version && this.#state !== "failed") {
      this.#change("serving");
      return;
    }
    this.#change("loading");
    while (!await this.#transfer(order)) {
      await this.#options.clock.sleep(RETRY_PAUSE_MS);
      if (attempt !== this.#attempt) return;
    }
    if (attempt !== this.#attempt) return;
    await this.#options.clock.sleep(this.#options.swapMs);
    if (attempt !== this.#attempt) return;
    this.#version = order.version;
    if (this.#failuresLeft > 0) {
      this.#failuresLeft -= 1;
      await this.#options.clock.sleep(this.#options.swapMs);
      if (attempt !== this.#attempt) return;
      this.#change("failed");
      this.#options.onFailure(order);
      return;
    }
    this.#change("serving");
  }

  async #transfer(order: WeightOrder): Promise<boolean> {
    const base = this.#options.weightStore;
    if (base === null) return true;
    const answer = await this.#options.client.send({
      method: "GET",
      baseUrl: base,
      path: `/v1/weights/${encodeURIComponent(order.model)}/${order.version}`,
      timeoutMs: TRANSFER_TIMEOUT_MS,
    });
    return answer.status === 200;
  }

  #change(state: WeightState): void {
    this.#state = state;
    this.#options.onChange();
  }
}
