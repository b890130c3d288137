/**
 * An operator who replaces API keys all the time, and knows when each was valid.
 *
 * @module
 */
import {
  digestApiKey,
  type Milliseconds,
  type RandomSource,
  type RoutingConfiguration,
  SECOND_MS,
} from "#core";

/** Time after which a revoked key must not be accepted. */
export const REVOCATION_MS: Milliseconds = 5 * SECOND_MS;
const VALID_KEYS = 6;
const MAXIMUM_ACKNOWLEDGEMENT_MS: Milliseconds = 150;
/** Keys whose time has been up for so long are sent most often. */
const INTERESTING_MS: Milliseconds = 1_500;

/** An API key. */
export interface Key {
  readonly text: string;
  /** When the configuration that has it was acknowledged. */
  readonly addedMs: Milliseconds;
  /** When the configuration without it was acknowledged. */
  removedMs: Milliseconds;
}

/** Submits configurations with one tenant. */
export class LeaseOperator {
  readonly #random: RandomSource;
  readonly #keys: Key[] = [];
  readonly #configurations: RoutingConfiguration[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
    for (let count = 0; count < VALID_KEYS; count += 1) this.change(0);
  }

  /** Returns the newest configuration, or one that is older by some versions. */
  configuration(age = 0): RoutingConfiguration {
    const { length } = this.#configurations;
    const at = Math.max(0, length - 1 - age);
    return this.#configurations[at] as RoutingConfiguration;
  }

  /** Adds a key and removes the oldest one. */
  change(nowMs: Milliseconds): void {
    const ackMs = nowMs + this.#random.below(MAXIMUM_ACKNOWLEDGEMENT_MS);
    const text = `key-${this.#keys.length}`;
    this.#keys.push({ text, addedMs: ackMs, removedMs: Infinity });
    const removed = this.#keys.at(-VALID_KEYS - 1);
    if (removed !== undefined) removed.removedMs = ackMs;
    const valid = this.#keys.slice(-VALID_KEYS);
    const keyDigests = valid.map((key) => digestApiKey(key.text));
    this.#configurations.push({
      version: this.#configurations.length + 1,
      routes: [],
      services: [],
      limits: {
        headerBytes: 0,
        bodyBytes: 0,
        headerTimeoutMs: 0,
        idleTimeoutMs: 0,
      },
      tenants: [{ name: "huka", keyDigests, priority: null }],
    });
  }

  /** Returns a valid key, one that was removed in the last seconds, or one whose time has just been up. */
  drawKey(nowMs: Milliseconds): Key {
    const late = this.#keys.filter(({ removedMs }) => {
      const overdueMs = nowMs - removedMs - REVOCATION_MS;
      return overdueMs > 0 && overdueMs < INTERESTING_MS;
    });
    const recent = this.#keys.slice(-4 * VALID_KEYS);
    const drawn = late.length > 0 && this.#random.below(2) === 0
      ? late
      : recent;
    return drawn[this.#random.below(drawn.length)] as Key;
  }
}
