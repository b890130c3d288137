/**
 * A fake weight store: a transfer takes a fixed time, and transfers above the rate limit are rejected.
 *
 * @module
 */
import type { Milliseconds, UpstreamAnnouncement } from "#core";
import type { FakeLoad } from "./announcer.ts";
import { type FakeCall, sendJson } from "./fake_server.ts";
import {
  UpstreamServer,
  type UpstreamServerOptions,
} from "./upstream_server.ts";

const WEIGHTS_PATH = /^\/v1\/weights\/([^/]+)\/(\d+)$/;
const SECOND_MS: Milliseconds = 1_000;

/** Options of `FakeWeightStore`. */
export interface FakeWeightStoreOptions extends UpstreamServerOptions {
  /** Maximum number of transfers started per second. */
  readonly loadsPerSecond: number;
  /** Duration of one transfer. */
  readonly transferMs: Milliseconds;
}

/** A weight store with a rate limit on transfers. */
export class FakeWeightStore extends UpstreamServer {
  readonly #storeOptions: FakeWeightStoreOptions;
  #rateTokens: number;
  #refilledAtMs: Milliseconds;
  #runningTransfers = 0;
  #startedTransfers = 0;
  #rejectedTransfers = 0;

  constructor(options: FakeWeightStoreOptions) {
    super(options);
    this.#storeOptions = options;
    this.#rateTokens = Math.max(1, options.loadsPerSecond);
    this.#refilledAtMs = options.clock.nowMs();
  }

  /** Returns the number of transfers started and rejected. */
  counts(): { readonly transfers: number; readonly refusals: number } {
    return {
      transfers: this.#startedTransfers,
      refusals: this.#rejectedTransfers,
    };
  }

  override currentAnnouncement(): UpstreamAnnouncement {
    return {
      id: this.options.id,
      incarnation: this.options.incarnation,
      zone: this.options.zone,
      address: this.address,
      role: "weight_store",
      serves: [],
      services: [],
      capacity: this.options.capacity,
      enforcesFences: false,
      reportsVersions: false,
    };
  }

  protected override measureLoad(): FakeLoad {
    return { running: this.#runningTransfers, waiting: 0, cacheUse: 0 };
  }

  protected override async handleCall(call: FakeCall): Promise<void> {
    if (call.path === "/fakes/record") {
      return sendJson(call.response, 200, this.counts());
    }
    const match = WEIGHTS_PATH.exec(call.path);
    if (match === null || call.method !== "GET") {
      return sendJson(call.response, 404, { error: "not found" });
    }
    if (!this.#takeRateToken()) {
      this.#rejectedTransfers += 1;
      call.response.setHeader("retry-after", "1");
      return sendJson(call.response, 429, {
        error: "transfer rate limit exceeded",
      });
    }
    this.#startedTransfers += 1;
    this.#runningTransfers += 1;
    await this.options.clock.sleep(this.#storeOptions.transferMs);
    this.#runningTransfers -= 1;
    sendJson(call.response, 200, {
      model: decodeURIComponent(match[1] ?? ""),
      version: Number(match[2]),
    });
  }

  #takeRateToken(): boolean {
    const nowMs = this.options.clock.nowMs();
    const rate = this.#storeOptions.loadsPerSecond;
    const refilledTokens = (nowMs - this.#refilledAtMs) * rate / SECOND_MS;
    this.#rateTokens = Math.min(
      Math.max(1, rate),
      this.#rateTokens + refilledTokens,
    );
    this.#refilledAtMs = nowMs;
    if (this.#rateTokens < 1) return false;
    this.#rateTokens -= 1;
    return true;
  }
}
