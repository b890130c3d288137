/**
 * The operator of the soak: replaces the configuration again and again, and reads it back at any control VM.
 *
 * @module
 */
import type { Address, Milliseconds } from "#core";
import { delay } from "../proof/managed_process.ts";
import { exchange } from "./soak_exchange.ts";
import type { SoakConfigurations } from "./soak_oracle.ts";

const CHANGE_INTERVAL_MS: Milliseconds = 1_200;
const READ_INTERVAL_MS: Milliseconds = 400;
const OK_STATUS = 200;

/** Options of `SoakOperator`. */
export interface SoakOperatorOptions {
  readonly controls: readonly Address[];
  /** Version in force when it begins. */
  readonly firstVersion: number;
  /** Returns the text of a configuration. */
  readonly configuration: (version: number) => string;
}

/** Changes and reads configurations until it is stopped. */
export class SoakOperator {
  readonly #options: SoakOperatorOptions;
  readonly #acknowledged: { version: number; atMs: Milliseconds }[] = [];
  readonly #reads: { version: number; sentMs: Milliseconds }[] = [];
  #version: number;
  #turn = 0;
  #isStopped = false;
  #running: Promise<unknown> = Promise.resolve();

  constructor(options: SoakOperatorOptions) {
    this.#options = options;
    this.#version = options.firstVersion;
  }

  /** What was acknowledged and read. */
  get record(): SoakConfigurations {
    return { acknowledged: this.#acknowledged, reads: this.#reads };
  }

  start(): void {
    this.#running = Promise.all([
      this.#repeat(CHANGE_INTERVAL_MS, () => this.#change()),
      this.#repeat(READ_INTERVAL_MS, () => this.#read()),
    ]);
  }

  /** Stops after a last read at each control VM. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#running;
    for (const _ of this.#options.controls) await this.#read();
  }

  async #repeat(
    intervalMs: Milliseconds,
    act: () => Promise<void>,
  ): Promise<void> {
    while (!this.#isStopped) {
      await act();
      await delay(intervalMs);
    }
  }

  /** Sends the next version until it is acknowledged, to one control VM after the other. */
  async #change(): Promise<void> {
    this.#version += 1;
    const version = this.#version;
    while (!this.#isStopped) {
      const { status } = await exchange(this.#nextControl(), {
        method: "POST",
        path: "/config/replace",
        headers: {},
        body: this.#options.configuration(version),
      });
      if (status === OK_STATUS) {
        this.#acknowledged.push({ version, atMs: performance.now() });
        return;
      }
      await delay(READ_INTERVAL_MS);
    }
  }

  async #read(): Promise<void> {
    const sentMs = performance.now();
    const { status, text } = await exchange(this.#nextControl(), {
      method: "GET",
      path: "/config/read",
      headers: {},
      body: "",
    });
    if (status !== OK_STATUS) return;
    const { version } = JSON.parse(text) as { readonly version: number };
    this.#reads.push({ version, sentMs });
  }

  #nextControl(): Address {
    const { controls } = this.#options;
    this.#turn += 1;
    const control = controls[this.#turn % controls.length];
    if (control === undefined) throw new Error("no control VM");
    return control;
  }
}
