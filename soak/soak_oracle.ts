/**
 * Checks what callers and workers saw in a run against what is promised. Performs no I/O.
 *
 * @module
 */
import { type Milliseconds, SECOND_MS } from "#core";
import type { ExecutedRequest } from "#platform";
import type { StreamRecord } from "../proof/stream_caller.ts";
import { checkBatches, type SoakBatch } from "./soak_batches.ts";
import { checkPublications, type SoakPublications } from "./soak_publisher.ts";
import { checkStreams } from "./soak_streams.ts";

/** Span over which a limit is checked. */
const SPAN_MS: Milliseconds = 4 * SECOND_MS;
/** Time after which a limit that was first named binds. */
const CONTACT_MS: Milliseconds = 3 * SECOND_MS;
/** Statuses that promise that a call has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const OK_STATUS = 200;
/** Time after which an acknowledged configuration is in force everywhere. */
const CONFIGURATION_APPLY_MS: Milliseconds = 2 * SECOND_MS;
/** Time after the acknowledgement of a departure in which requests may still be under way. */
const DRAIN_MS: Milliseconds = 2 * SECOND_MS;
const LEAST_SERVED_SHARE = 0.9;
const CRASHES_TO_BLOCK = 3;
const MAXIMUM_FURTHER_RUNS = 3;
/** Kind of the failure of a call that is blocked. */
const BLOCKED_KIND = '"call_blocked"';

/** One call, as its caller saw it. */
export interface SoakCall {
  readonly id: string;
  readonly kind: "idempotent" | "once";
  readonly body: string;
  /** 0 if there was no complete response. */
  readonly status: number;
  readonly text: string;
  readonly stamp: string | null;
  /** Whether it was sent when all faults had been over for long enough. */
  readonly afterFaults: boolean;
}

/** One worker: what it executed, and which limits it named from when on. */
export interface SoakWorkerRecord {
  readonly name: string;
  readonly executed: readonly ExecutedRequest[];
  readonly limits: readonly {
    readonly fromMs: Milliseconds;
    readonly perSecond: number | null;
  }[];
  /** When it crashed, and the calls that it was running. */
  readonly crashes: readonly {
    readonly atMs: Milliseconds;
    readonly bodies: readonly string[];
  }[];
  /** From when to when an incarnation had its departure acknowledged and went on; none if absent. */
  readonly departures?: readonly {
    readonly fromMs: Milliseconds;
    readonly untilMs: Milliseconds;
  }[];
}

/** Which configurations the operator got acknowledged, and which were read when. */
export interface SoakConfigurations {
  readonly acknowledged: readonly {
    readonly version: number;
    readonly atMs: Milliseconds;
  }[];
  /** Reads with a clear answer. */
  readonly reads: readonly {
    readonly version: number;
    readonly sentMs: Milliseconds;
  }[];
}

/** Everything seen in a run. */
export interface SoakRecord {
  readonly batches: readonly SoakBatch[];
  readonly configurations: SoakConfigurations;
  readonly calls: readonly SoakCall[];
  readonly workers: readonly SoakWorkerRecord[];
  /** Most workers that a route allows a call to be sent to. */
  readonly maximumAttempts: number;
  readonly streams: readonly StreamRecord[];
  /** Streams that were requested when all faults had been over for long enough. */
  readonly lateStreams: readonly StreamRecord[];
  readonly publications: SoakPublications;
}

/** Returns a line for each broken promise; none if all were kept. */
export function brokenPromises(record: SoakRecord): readonly string[] {
  return [
    ...checkResponses(record),
    ...checkExecutions(record),
    ...record.workers.flatMap((worker) => checkLimits(worker)),
    ...record.workers.flatMap((worker) => checkDepartures(worker)),
    ...checkCrashes(record.workers),
    ...checkBlocked(record),
    ...checkConfigurations(record.configurations),
    ...checkRecovery(record.calls),
    ...checkBatches(record.batches),
    ...checkStreams(record.streams, record.lateStreams),
    ...checkPublications(record.publications),
  ];
}

/** A worker gets nothing more `DRAIN_MS` after its departure was acknowledged. */
function checkDepartures(
  { name, executed, departures = [] }: SoakWorkerRecord,
): readonly string[] {
  const broken: string[] = [];
  for (const { fromMs, untilMs } of departures) {
    const late = executed.filter(({ atMs }) =>
      atMs > fromMs + DRAIN_MS && atMs < untilMs
    );
    if (late.length === 0) continue;
    const lastMs = Math.round((late.at(-1)?.atMs ?? fromMs) - fromMs);
    broken.push(
      `${name} got ${late.length} requests after it had left, the last after ${lastMs} ms`,
    );
  }
  return broken;
}

function checkResponses({ calls }: SoakRecord): readonly string[] {
  const broken: string[] = [];
  for (const { id, status, text, stamp, body } of calls) {
    if (status !== OK_STATUS) continue;
    if (text === `done ${body}` && stamp === `stamp-${id}`) continue;
    broken.push(`call ${id} got the response "${text}" with stamp ${stamp}`);
  }
  return broken;
}

function checkExecutions(record: SoakRecord): readonly string[] {
  const broken: string[] = [];
  const calls = new Map(record.calls.map((call) => [call.id, call]));
  const counts = new Map<string, number>();
  for (const { name, executed } of record.workers) {
    for (const { id, body } of executed) {
      counts.set(id, (counts.get(id) ?? 0) + 1);
      if (calls.get(id)?.body !== body) {
        broken.push(`${name} ran ${id} with the body "${body}"`);
      }
    }
  }
  for (const { id, kind, status } of record.calls) {
    const count = counts.get(id) ?? 0;
    const most = kind === "once" ? 1 : record.maximumAttempts;
    if (count > most) broken.push(`${id} (${kind}) ran ${count} times`);
    if (kind === "once" && count > 0 && NOT_RUN_STATUSES.has(status)) {
      broken.push(`${id} was answered ${status} and ran`);
    }
  }
  return broken;
}

/** The highest limit named within a span counts, since VMs learn of a lower one only from a response. */
function checkLimits(worker: SoakWorkerRecord): readonly string[] {
  const times = worker.executed.map((each) => each.atMs).sort((a, b) => a - b);
  for (const endMs of times) {
    const startMs = endMs - SPAN_MS;
    const limit = limitWithin(worker, startMs - CONTACT_MS, endMs);
    if (limit === null) continue;
    const count = times.filter((at) => at > startMs && at <= endMs).length;
    const allowed = 1.5 * limit * SPAN_MS / SECOND_MS + 5;
    if (count <= allowed) continue;
    return [`${worker.name} got ${count} of ${allowed} requests in 4 s`];
  }
  return [];
}

/** Returns the highest limit of a span, or null if the worker named none at some time in it. */
function limitWithin(
  worker: SoakWorkerRecord,
  startMs: Milliseconds,
  endMs: Milliseconds,
): number | null {
  let highest: number | null = null;
  for (const [at, { fromMs, perSecond }] of worker.limits.entries()) {
    const untilMs = worker.limits[at + 1]?.fromMs ?? Infinity;
    if (untilMs <= startMs || fromMs > endMs) continue;
    if (perSecond === null) return null;
    highest = Math.max(highest ?? 0, perSecond);
  }
  return highest;
}

/** A call that has crashed three workers may reach others three times more, from when all VMs may know of it. */
function checkCrashes(
  workers: readonly SoakWorkerRecord[],
): readonly string[] {
  const broken: string[] = [];
  const crashes = workers.flatMap((worker) => worker.crashes)
    .toSorted((a, b) => a.atMs - b.atMs);
  for (const body of new Set(crashes.flatMap((each) => each.bodies))) {
    const ofCall = crashes.filter((each) => each.bodies.includes(body));
    const third = ofCall[CRASHES_TO_BLOCK - 1];
    if (third === undefined) continue;
    const runs = workers.flatMap((worker) => worker.executed).filter((each) =>
      each.body === body && each.atMs > third.atMs + CONTACT_MS
    );
    if (runs.length <= MAXIMUM_FURTHER_RUNS) continue;
    broken.push(`"${body}" ran ${runs.length} times more`);
  }
  return broken;
}

/** Only calls under which workers crashed may be blocked. */
function checkBlocked({ calls, workers }: SoakRecord): readonly string[] {
  const crashed = new Set(
    workers.flatMap((worker) => worker.crashes.flatMap((each) => each.bodies)),
  );
  const blocked = calls.filter(({ text, body }) =>
    text.includes(BLOCKED_KIND) && !crashed.has(body)
  );
  return blocked.map(({ id, body }) => `${id} ("${body}") was blocked`);
}

/** No VM may answer a read with a configuration that is older than one acknowledged some time before. */
function checkConfigurations(
  { acknowledged, reads }: SoakConfigurations,
): readonly string[] {
  const broken: string[] = [];
  for (const { version, sentMs } of reads) {
    const known = acknowledged.filter(({ atMs }) =>
      atMs + CONFIGURATION_APPLY_MS < sentMs
    );
    const newest = Math.max(0, ...known.map((each) => each.version));
    if (version >= newest) continue;
    broken.push(`version ${version} was read after ${newest} was acknowledged`);
  }
  return broken;
}

function checkRecovery(calls: readonly SoakCall[]): readonly string[] {
  const late = calls.filter((each) => each.afterFaults);
  const served = late.filter((each) => each.status === OK_STATUS).length;
  if (late.length > 0 && served >= late.length * LEAST_SERVED_SHARE) return [];
  return [`${served} of ${late.length} calls were served after the faults`];
}
