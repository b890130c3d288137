/**
 * The state machine of the control log that stores how many upstreams exist by the orders that were accepted, how many
 * existed at the start, and how many are wanted. A new holder continues from it: an order is stored before it is sent,
 * so that the next holder sends the same one instead of another.
 *
 * @module
 */
import { z } from "zod";
import {
  type Committed,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  StateMachine,
} from "#core";

/** Most services whose numbers are stored. */
const MAXIMUM_SERVICES = 1_024;

const count = z.number().int().nonnegative();
const subject = { zone: z.string(), spot: z.boolean() };
const service = z.string().min(1);
const commandSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("baseline"),
    service,
    counts: z.array(z.object({ ...subject, count })),
  }),
  z.object({
    kind: z.literal("counts"),
    service,
    changes: z.array(z.object({ ...subject, from: count, count })),
  }),
  z.object({ kind: z.literal("target"), service, from: count, target: count }),
  z.object({ kind: z.literal("send"), service, ...subject, count }),
  z.object({ kind: z.literal("accepted"), service, ...subject, count }),
  z.object({ kind: z.literal("refused"), service, ...subject, count }),
]);

/**
 * A command: `baseline` stores what exists at the start, `counts` what was lost or appeared without an order, `target`
 * how many are wanted, `send` an order that is about to be sent, `accepted` and `refused` its outcome.
 */
export type ScalingCommand = z.infer<typeof commandSchema>;
type OrderCommand = Extract<
  ScalingCommand,
  { kind: "send" | "accepted" | "refused" }
>;

/** The number of upstreams of one kind of a service in a zone. */
export interface SubjectCount {
  readonly zone: string;
  readonly spot: boolean;
  /** Number that exists or is on order: the last accepted order, without what was lost since. */
  readonly count: number;
  /** The same without losses, which says where to replace them. */
  readonly home: number;
  /** Count of an order that may have been sent and has no known outcome; null if there is none. */
  readonly pending: number | null;
}

/** The stored numbers of one service. */
export interface ServiceCounts {
  readonly service: string;
  /** Number of upstreams that existed at the start. */
  readonly baseline: number;
  /** Number of upstreams that the service is to have. */
  readonly target: number;
  /** Number of upstreams that were lost and have not appeared again. */
  readonly lost: number;
  readonly subjects: readonly SubjectCount[];
}

/** Stores the numbers of upstreams by service. */
export class ScalingMachine
  extends StateMachine<ScalingCommand, null, null, null> {
  override readonly name = "scaling";
  readonly #services = new Map<string, ServiceCounts>();

  /** Returns the numbers of a service; undefined before its baseline is stored. */
  find(name: string): ServiceCounts | undefined {
    return this.#services.get(name);
  }

  override apply(entry: Committed<ScalingCommand>): Result<null, Failure> {
    const parsed = commandSchema.safeParse(entry.command);
    if (!parsed.success) {
      return Err(fail("malformed_request", "not a command of the scaling"));
    }
    const command = parsed.data;
    const known = this.#services.get(command.service);
    if (command.kind === "baseline") return this.#setBaseline(command, known);
    if (known === undefined) return conflict("the service has no baseline");
    if (command.kind === "counts") return this.#setCounts(command, known);
    if (command.kind === "target") return this.#setTarget(command, known);
    return this.#applyOrder(command, known);
  }

  override query(): Result<null, Failure> {
    return Ok(null);
  }

  override snapshot(): unknown {
    return [...this.#services.values()];
  }

  override restore(state: unknown): void {
    this.#services.clear();
    for (const each of state as readonly ServiceCounts[]) {
      this.#services.set(each.service, each);
    }
  }

  #setBaseline(
    command: Extract<ScalingCommand, { kind: "baseline" }>,
    known: ServiceCounts | undefined,
  ): Result<null, Failure> {
    if (known !== undefined) return conflict("the baseline is stored already");
    if (this.#services.size >= MAXIMUM_SERVICES) {
      return Err(fail("overloaded", "too many services are scaled"));
    }
    const subjects = command.counts.map((each) => ({
      ...each,
      home: each.count,
      pending: null,
    }));
    const baseline = totalCount(subjects);
    this.#services.set(command.service, {
      service: command.service,
      baseline,
      target: baseline,
      lost: 0,
      subjects,
    });
    return Ok(null);
  }

  /** Applies only to the numbers that the sender knew, so that a late command of an earlier holder changes nothing. */
  #setCounts(
    command: Extract<ScalingCommand, { kind: "counts" }>,
    known: ServiceCounts,
  ): Result<null, Failure> {
    let next = known;
    for (const { zone, spot, from, count } of command.changes) {
      const current = subjectOf(next, { zone, spot });
      if (current.count !== from || current.pending !== null) {
        return conflict("the numbers have changed");
      }
      const home = Math.max(current.home, count);
      next = withDifference(
        withSubject(next, { ...current, count, home }),
        count - from,
      );
    }
    this.#services.set(known.service, next);
    return Ok(null);
  }

  #setTarget(
    command: Extract<ScalingCommand, { kind: "target" }>,
    known: ServiceCounts,
  ): Result<null, Failure> {
    if (known.target !== command.from) {
      return conflict("the target has changed");
    }
    this.#services.set(known.service, { ...known, target: command.target });
    return Ok(null);
  }

  #applyOrder(
    command: OrderCommand,
    known: ServiceCounts,
  ): Result<null, Failure> {
    const { kind, zone, spot, count } = command;
    const current = subjectOf(known, { zone, spot });
    const { pending } = current;
    if (kind === "send") {
      if (pending !== null && pending !== count) {
        return conflict("another order has no known outcome yet");
      }
      this.#put(known, { ...current, pending: count });
      return Ok(null);
    }
    if (pending !== count) return conflict("no such order has been sent");
    const home = count < current.count ? count : Math.max(current.home, count);
    this.#put(
      known,
      kind === "accepted"
        ? { ...current, count, home, pending: null }
        : { ...current, pending: null },
    );
    return Ok(null);
  }

  #put(known: ServiceCounts, subject: SubjectCount): void {
    this.#services.set(known.service, withSubject(known, subject));
  }
}

/**
 * Returns the number of upstreams that exist or are on order.
 *
 * @example
 * ```ts
 * totalCount([{ count: 3, pending: null }, { count: 2, pending: 4 }]); // 7
 * ```
 */
export function totalCount(
  subjects: Iterable<Pick<SubjectCount, "count" | "pending">>,
): number {
  let total = 0;
  for (const { count, pending } of subjects) total += pending ?? count;
  return total;
}

/**
 * Returns the number of one kind in a zone, which is 0 if none is stored.
 *
 * @example
 * ```ts
 * subjectOf(undefined, { zone: "a", spot: true }).count; // 0
 * ```
 */
export function subjectOf(
  known: ServiceCounts | undefined,
  { zone, spot }: Pick<SubjectCount, "zone" | "spot">,
): SubjectCount {
  const found = known?.subjects.find((each) =>
    each.zone === zone && each.spot === spot
  );
  return found ?? { zone, spot, count: 0, home: 0, pending: null };
}

function withSubject(
  known: ServiceCounts,
  subject: SubjectCount,
): ServiceCounts {
  const others = known.subjects.filter((each) =>
    each.zone !== subject.zone || each.spot !== subject.spot
  );
  return { ...known, subjects: [...others, subject] };
}

/**
 * Counts lost upstreams, or those that have appeared. One that was lost and returns late has been replaced; any other
 * existed at the start and was not seen, or was added without an order, and is to be kept.
 */
function withDifference(
  known: ServiceCounts,
  difference: number,
): ServiceCounts {
  if (difference < 0) return { ...known, lost: known.lost - difference };
  const returned = Math.min(known.lost, difference);
  const added = difference - returned;
  return {
    ...known,
    lost: known.lost - returned,
    baseline: known.baseline + added,
    target: known.target + added,
  };
}

function conflict(message: string): Result<null, Failure> {
  return Err(fail("conflict", message));
}
