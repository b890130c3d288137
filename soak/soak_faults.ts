/**
 * Draws the faults of a run from its seed. Performs no I/O.
 *
 * @module
 */
import { type Milliseconds, type RandomSource, SECOND_MS } from "#core";

/** A fault of one VM or worker. */
export type SoakFault =
  & {
    /** Time from the start of the run. */
    readonly atMs: Milliseconds;
  }
  & (
    | {
      /** `kill` and `stop` end a process, which starts again; `pause` suspends it. */
      readonly kind: "kill" | "stop" | "pause";
      readonly role: "entry" | "control" | "store";
      readonly zone: number;
      readonly forMs: Milliseconds;
    }
    | {
      /** A worker names another limit from now on, or none. */
      readonly kind: "limit";
      readonly worker: number;
      readonly perSecond: number | null;
    }
    | {
      /** A call that crashes each worker which runs it comes once a second. */
      readonly kind: "crashing_call";
      readonly call: number;
      readonly forMs: Milliseconds;
    }
    | {
      /** The proxy before a worker delays, resets or drops what passes. */
      readonly kind: "link";
      readonly worker: number;
      readonly how: LinkFault;
      readonly forMs: Milliseconds;
    }
    | {
      /** The time of day of a VM jumps, and back. */
      readonly kind: "clock";
      readonly role: "entry" | "control" | "store";
      readonly zone: number;
      readonly byMs: Milliseconds;
      readonly forMs: Milliseconds;
    }
    | {
      /** A worker leaves; its last heartbeat before that arrives late. */
      readonly kind: "departure";
      readonly worker: number;
      readonly lateMs: Milliseconds;
      readonly forMs: Milliseconds;
    }
    | {
      /** All control and store processes are killed at once, and start again. */
      readonly kind: "core_kill";
      readonly forMs: Milliseconds;
    }
    | {
      /** An adviser ends and starts again with the other software version. */
      readonly kind: "software";
      readonly worker: number;
      readonly keepsId: boolean;
      readonly downMs: Milliseconds;
    }
  );

/** What a proxy does. */
export type LinkFault =
  | "delay"
  | "reset"
  | "drop_requests"
  | "drop_responses";

const ROLES = ["entry", "control", "store"] as const;
const PROCESS_FAULTS = ["kill", "stop", "pause"] as const;
const ZONES = 3;
const MINIMUM_GAP_MS: Milliseconds = 600;
const LONGEST_GAP_MS: Milliseconds = 1_500;
const SHORTEST_OUTAGE_MS: Milliseconds = 200;
const LONGEST_OUTAGE_MS: Milliseconds = 2_500;
/** Limits that workers name. */
const LIMITS: readonly (number | null)[] = [1, 2, 5, 12, null];
const LIMIT_CHANCE = 0.4;
const LINK_FAULTS: readonly LinkFault[] = [
  "delay",
  "reset",
  "drop_requests",
  "drop_responses",
];
const LONGEST_CLOCK_STEP_MS: Milliseconds = 3 * SECOND_MS;
const LONGEST_DOWN_MS: Milliseconds = 800;
/** How long a worker goes on after its departure; a heartbeat that is taken for news counts for 4.2 s. */
const DEPARTURE_MS: Milliseconds = 8 * SECOND_MS;
const LATEST_HEARTBEAT_MS: Milliseconds = 5 * SECOND_MS;
/** Long enough that more repetitions than allowed follow the third crash. */
const CRASHING_CALL_MS: Milliseconds = 12 * SECOND_MS;

/** Size of a run. */
export interface SoakSize {
  readonly durationMs: Milliseconds;
  readonly workers: number;
  /** Number of calls that crash each worker which runs them. */
  readonly crashingCalls: number;
  /** Number of workers that stream advice; no links, clocks and software versions fail if absent. */
  readonly advisers?: number;
  /** Whether workers leave beside kills of the whole core; nothing else fails then. */
  readonly hasDepartures?: boolean;
  /** Folder of the built programs that are run; those of this build if absent. */
  readonly programs?: string;
}

/**
 * Returns the faults in the order of their times. Of the processes of one role at most one is out at a time, since the
 * site tolerates the loss of one VM.
 *
 * @example
 * ```ts
 * const faults = drawFaults(new SeededRandom(1), { durationMs: 10_000, workers: 3 });
 * ```
 */
export function drawFaults(
  random: RandomSource,
  size: SoakSize,
): readonly SoakFault[] {
  if (size.hasDepartures === true) return drawDepartures(random, size);
  const faults: SoakFault[] = [];
  const freeFromMs = new Map<string, Milliseconds>();
  let atMs: Milliseconds = SECOND_MS;
  while (atMs < size.durationMs) {
    if (random.fraction() < LIMIT_CHANCE) {
      const worker = random.below(size.workers);
      const perSecond = LIMITS[random.below(LIMITS.length)] ?? null;
      faults.push({ atMs, kind: "limit", worker, perSecond });
    } else {
      const role = ROLES[random.below(ROLES.length)] ?? "entry";
      const kind = PROCESS_FAULTS[random.below(PROCESS_FAULTS.length)] ??
        "kill";
      const zone = random.below(ZONES);
      const forMs = between(random, SHORTEST_OUTAGE_MS, LONGEST_OUTAGE_MS);
      if (atMs >= (freeFromMs.get(role) ?? 0)) {
        faults.push({ atMs, kind, role, zone, forMs });
        // A process that starts again needs some seconds to catch up.
        freeFromMs.set(role, atMs + forMs + 4 * SECOND_MS);
      }
    }
    atMs += between(random, MINIMUM_GAP_MS, LONGEST_GAP_MS);
  }
  // Drawn last, so that a seed draws the same other faults with and without them.
  for (let call = 0; call < size.crashingCalls; call += 1) {
    const startMs = between(random, SECOND_MS, size.durationMs);
    const forMs = CRASHING_CALL_MS;
    faults.push({ atMs: startMs, kind: "crashing_call", call, forMs });
  }
  if (size.advisers !== undefined) {
    faults.push(
      ...drawFurtherFaults(random, { ...size, advisers: size.advisers }),
    );
  }
  return faults.toSorted((a, b) => a.atMs - b.atMs);
}

/** Returns faults of links, clocks and software versions, which may overlap all others. */
function drawFurtherFaults(
  random: RandomSource,
  size: SoakSize & { readonly advisers: number },
): readonly SoakFault[] {
  const faults: SoakFault[] = [];
  let atMs: Milliseconds = SECOND_MS;
  while (atMs < size.durationMs) {
    const kind = random.below(3);
    const worker = random.below(size.advisers);
    const forMs = between(random, SHORTEST_OUTAGE_MS, LONGEST_OUTAGE_MS);
    if (kind === 0) {
      const how = LINK_FAULTS[random.below(LINK_FAULTS.length)] ?? "reset";
      faults.push({ atMs, kind: "link", worker, how, forMs });
    }
    if (kind === 1) {
      const role = ROLES[random.below(ROLES.length)] ?? "entry";
      const zone = random.below(ZONES);
      const byMs = between(
        random,
        -LONGEST_CLOCK_STEP_MS,
        LONGEST_CLOCK_STEP_MS,
      );
      faults.push({ atMs, kind: "clock", role, zone, byMs, forMs });
    }
    if (kind === 2) {
      const keepsId = random.below(2) === 0;
      const downMs = between(random, 0, LONGEST_DOWN_MS);
      faults.push({ atMs, kind: "software", worker, keepsId, downMs });
    }
    atMs += between(random, MINIMUM_GAP_MS, LONGEST_GAP_MS);
  }
  return faults;
}

/**
 * Returns departures one after the other. The core is killed soon after each, and the late heartbeat arrives when it has
 * started again: some of them before it has read its log, most of them after that.
 */
function drawDepartures(
  random: RandomSource,
  size: SoakSize,
): readonly SoakFault[] {
  const faults: SoakFault[] = [];
  let worker = random.below(size.workers);
  for (
    let atMs: Milliseconds = SECOND_MS;
    atMs < size.durationMs;
    atMs += DEPARTURE_MS + 2 * SECOND_MS
  ) {
    const lateMs = between(random, SECOND_MS, LATEST_HEARTBEAT_MS);
    const forMs = DEPARTURE_MS;
    faults.push({ atMs, kind: "departure", worker, lateMs, forMs });
    const killMs = atMs + between(random, 300, 800);
    const downMs = between(random, SHORTEST_OUTAGE_MS, SECOND_MS);
    faults.push({ atMs: killMs, kind: "core_kill", forMs: downMs });
    worker = (worker + 1) % size.workers;
  }
  return faults;
}

function between(
  random: RandomSource,
  least: Milliseconds,
  most: Milliseconds,
): Milliseconds {
  return Math.round(least + random.fraction() * (most - least));
}
