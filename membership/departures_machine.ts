/**
 * The state machine of the control log that stores which incarnations of upstreams have said that they leave. An
 * acknowledged departure is a promise, and heartbeats arrive seconds late: only what survives a restart of all VMs can
 * tell one that was sent before the departure from a first one.
 *
 * @module
 */
import {
  type Committed,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  MINUTE_MS,
  Ok,
  type Result,
  StateMachine,
} from "#core";

/** How far an upstream has left: `draining` finishes its requests, `gone` serves nobody. */
export type DeparturePhase = "draining" | "gone";

/** A departure of an incarnation, and of all earlier ones of the same identifier. */
export interface Departure {
  readonly id: string;
  /** Start time of the incarnation. */
  readonly bornMs: Milliseconds;
  readonly phase: DeparturePhase;
}

/** Departures by the identifier of the upstream. */
export interface KnownDepartures {
  /** A number that increases with each change. */
  readonly revision: number;
  /** Returns the departure of the latest incarnation with an identifier that has left. */
  find(id: string): Departure | undefined;
  /** Returns all departures. */
  all(): Iterable<Departure>;
}

/** Time for which a departure is kept; a heartbeat arrives some seconds late at most. */
export const DEPARTURE_RETENTION_MS: Milliseconds = 10 * MINUTE_MS;
/** Most departures kept; at the target size 190 upstreams a day are replaced. */
export const MAXIMUM_DEPARTURES = 4_096;

interface KeptDeparture extends Departure {
  /** Time of day of the entry that stored it. */
  readonly atMs: Milliseconds;
}

/** Stores the departures of the last minutes. */
export class DeparturesMachine extends StateMachine<Departure, null, null, null>
  implements KnownDepartures {
  override readonly name = "departures";
  readonly #kept = new Map<string, KeptDeparture>();
  #revision = 0;

  get revision(): number {
    return this.#revision;
  }

  find(id: string): Departure | undefined {
    return this.#kept.get(id);
  }

  all(): Iterable<Departure> {
    return this.#kept.values();
  }

  override apply(entry: Committed<Departure>): Result<null, Failure> {
    const { command, atMs } = entry;
    if (!isDeparture(command)) {
      return Err(fail("malformed_request", "not a departure"));
    }
    this.#removeOld(atMs);
    if (covers(this.#kept.get(command.id), command)) return Ok(null);
    const { id, bornMs, phase } = command;
    // The oldest is first in the map.
    this.#kept.delete(id);
    this.#kept.set(id, { id, bornMs, phase, atMs });
    this.#revision += 1;
    return Ok(null);
  }

  override query(): Result<null, Failure> {
    return Ok(null);
  }

  override snapshot(): unknown {
    return [...this.#kept.values()];
  }

  override restore(state: unknown): void {
    this.#kept.clear();
    for (const each of state as readonly KeptDeparture[]) {
      this.#kept.set(each.id, each);
    }
    this.#revision += 1;
  }

  #removeOld(atMs: Milliseconds): void {
    for (const [id, kept] of this.#kept) {
      const isOld = atMs - kept.atMs > DEPARTURE_RETENTION_MS;
      if (!isOld && this.#kept.size < MAXIMUM_DEPARTURES) return;
      this.#kept.delete(id);
    }
  }
}

/** No departures, for a table that no log stands behind. */
export const NO_DEPARTURES: KnownDepartures = {
  revision: 0,
  find: () => undefined,
  all: () => [],
};

/**
 * Whether a known departure says all that another one says.
 *
 * @example
 * ```ts
 * covers({ id: "u", bornMs: 2, phase: "gone" }, { id: "u", bornMs: 1, phase: "draining" }); // true
 * ```
 */
export function covers(
  known: Departure | undefined,
  { bornMs, phase }: Pick<Departure, "bornMs" | "phase">,
): boolean {
  if (known === undefined || known.bornMs < bornMs) return false;
  return known.bornMs > bornMs || known.phase === "gone" || phase !== "gone";
}

function isDeparture(command: unknown): command is Departure {
  if (typeof command !== "object" || command === null) return false;
  const { id, bornMs, phase } = command as Partial<Departure>;
  return typeof id === "string" && typeof bornMs === "number" &&
    (phase === "draining" || phase === "gone");
}
