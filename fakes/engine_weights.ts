/**
 * The weights of a fake engine: orders, fences, loading from the weight store, and swaps that fail partway.
 *
 * @module
 */
import type { Clock, Milliseconds } from "#core";
import type { JsonClient } from "./json_client.ts";

const RETRY_DELAY_MS: Milliseconds = 1_000;
const TRANSFER_TIMEOUT_MS: Milliseconds = 60_000;

/** An order to load and serve a version. */
export interface WeightOrder {
  readonly fence: number;
  readonly model: string;
  readonly version: number;
}

/** Whether the engine can serve. */
export type WeightState = "serving" | "loading" | "failed";

/** Options of `EngineWeights`. */
export interface EngineWeightsOptions {
  readonly model: string;
  readonly version: number;
  readonly enforcesFences: boolean;
  /** Base URL of the weight store, or null to load without a transfer. */
  readonly weightStoreUrl: string | null;
  /** Time from the end of the transfer until the version serves. */
  readonly swapMs: Milliseconds;
  readonly clock: Clock;
  readonly client: JsonClient;
  /** Called after each change of the served version or the state. */
  readonly onChange: () => void;
  /** Called after a swap has failed partway. */
  readonly onFailure: (order: WeightOrder) => void;
}

/** Tracks the served version and applies the orders that change it. */
export class EngineWeights {
  readonly #options: EngineWeightsOptions;
  #version: number;
  #state: WeightState = "serving";
  #desiredVersion: number;
  #fence = 0;
  #attempt = 0;
  #remainingFailures = 0;
  #orders: WeightOrder[] = [];

  constructor(options: EngineWeightsOptions) {
    this.#options = options;
    this.#version = options.version;
    this.#desiredVersion = options.version;
  }

  /** The version that generates tokens, also while another one is loading. */
  get version(): number {
    return this.#version;
  }

  /** Whether the engine is serving, is loading or has failed. */
  get state(): WeightState {
    return this.#state;
  }

  /** Fence of the last accepted order. */
  get fence(): number {
    return this.#fence;
  }

  /** Returns the accepted orders, oldest first. */
  orders(): readonly WeightOrder[] {
    return this.#orders;
  }

  /** Makes the next `count` swaps fail partway. */
  failNextSwaps(count: number): void {
    this.#remainingFailures = count;
  }

  /**
   * Applies an order; returns false if fences are enforced and its fence is lower than that of the last
   * accepted order.
   */
  applyOrder(order: WeightOrder): boolean {
    if (this.#options.enforcesFences && order.fence < this.#fence) return false;
    this.#fence = order.fence;
    this.#orders.push(order);
    const alreadyDesired = order.version === this.#desiredVersion &&
      this.#state !== "failed";
    if (alreadyDesired) return true;
    this.#desiredVersion = order.version;
    this.#attempt += 1;
    this.#swap(order, this.#attempt);
    return true;
  }

  async #swap(order: WeightOrder, attempt: number): Promise<void> {
    if (order.version === this.#version && this.#state !== "failed") {
      this.#setState("serving");
      return;
    }
    this.#setState("loading");
    while (!await this.#transfer(order)) {
      await this.#options.clock.sleep(RETRY_DELAY_MS);
      if (attempt !== this.#attempt) return;
    }
    if (attempt !== this.#attempt) return;
    await this.#options.clock.sleep(this.#options.swapMs);
    if (attempt !== this.#attempt) return;
    this.#version = order.version;
    if (this.#remainingFailures > 0) {
      this.#remainingFailures -= 1;
      await this.#options.clock.sleep(this.#options.swapMs);
      if (attempt !== this.#attempt) return;
      this.#setState("failed");
      this.#options.onFailure(order);
      return;
    }
    this.#setState("serving");
  }

  async #transfer(order: WeightOrder): Promise<boolean> {
    const base = this.#options.weightStoreUrl;
    if (base === null) return true;
    const response = await this.#options.client.send({
      method: "GET",
      baseUrl: base,
      path: `/v1/weights/${encodeURIComponent(order.model)}/${order.version}`,
      timeoutMs: TRANSFER_TIMEOUT_MS,
    });
    return response.status === 200;
  }

  #setState(state: WeightState): void {
    this.#state = state;
    this.#options.onChange();
  }
}
