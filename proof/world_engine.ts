/**
 * Simulated engine that executes orders in virtual time.
 *
 * @module
 */
import type {
  EngineOrder,
  Milliseconds,
  UpstreamRecord,
  VirtualClock,
} from "#core";
import type { EngineState } from "#samples";

/** Name of the only model. */
export const MODEL = "advice";
/** Network delay in one direction. */
export const ONE_WAY_DELAY_MS: Milliseconds = 2;
const DEFAULT_LOAD_MS: Milliseconds = 400;
const ANNOUNCEMENT_INTERVAL_MS: Milliseconds = 500;
const ZONES = ["a", "b"];

/** A simulated engine; every second one enforces fences. */
export class WorldEngine {
  readonly id: string;
  readonly enforcesFences: boolean;
  readonly zone: string;
  incarnation = 1;
  version = 1;
  fence = 0;
  state: "serving" | "loading" | "failed" = "serving";
  loadsToFail = 0;
  /** Duration of a weight load. */
  loadMs: Milliseconds = DEFAULT_LOAD_MS;
  record: UpstreamRecord;
  #desiredVersion = 1;
  #attempt = 0;
  #sequence = 0;
  readonly #clock: VirtualClock;

  constructor(clock: VirtualClock, number: number) {
    this.#clock = clock;
    this.id = `e${number}`;
    this.zone = ZONES[number % ZONES.length] ?? "a";
    this.enforcesFences = number % 2 === 0;
    this.record = this.#createRecord();
    clock.every(ANNOUNCEMENT_INTERVAL_MS, () => {
      const record = this.#createRecord();
      clock.after(ONE_WAY_DELAY_MS, () => this.record = record);
    });
  }

  /** Executes an order; returns false if its fence is too old. */
  handleOrder(order: EngineOrder): boolean {
    if (this.enforcesFences && order.fence < this.fence) return false;
    this.fence = order.fence;
    const known = order.version === this.#desiredVersion &&
      this.state !== "failed";
    if (known) return true;
    this.#desiredVersion = order.version;
    this.#attempt += 1;
    const attempt = this.#attempt;
    this.state = "loading";
    this.#clock.after(this.loadMs, () => {
      if (attempt !== this.#attempt) return;
      if (this.loadsToFail > 0) {
        this.loadsToFail -= 1;
        this.state = "failed";
        return;
      }
      this.version = order.version;
      this.state = "serving";
    });
    return true;
  }

  /** Restarts with the first version and without a fence. */
  restart(): void {
    this.incarnation += 1;
    this.#attempt += 1;
    this.version = 1;
    this.#desiredVersion = 1;
    this.fence = 0;
    this.state = "serving";
  }

  /** Returns the state that a state read reports. */
  readState(): EngineState {
    const { id, incarnation, fence, version, state } = this;
    return {
      id,
      incarnation,
      fence,
      models: [{ model: MODEL, version, state }],
    };
  }

  #createRecord(): UpstreamRecord {
    this.#sequence += 1;
    const serves = this.state === "failed"
      ? []
      : [{ model: MODEL, version: this.version }];
    return {
      id: this.id,
      incarnation: this.incarnation,
      zone: this.zone,
      address: { host: this.id, port: 1 },
      role: "engine",
      serves,
      services: [],
      capacity: 4,
      enforcesFences: this.enforcesFences,
      reportsVersions: true,
      sequence: this.#sequence,
      leaving: false,
      expiresAtMs: Number.MAX_SAFE_INTEGER,
    };
  }
}
