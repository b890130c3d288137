/**
 * One run of an item at one engine: sends the request, or goes on after the last event that is known, and
 * gives each event out as it comes with the version that made it.
 *
 * @module
 */
import type { FleetUpstream } from "#core";
import {
  EventParser,
  type OpenAnswer,
  type StreamEvent,
  type UpstreamDialect,
  type UpstreamHttp,
} from "#requests";
import type { Batch, BatchItem } from "./batch_types.ts";

const OK_STATUS = 200;
const UNPROCESSABLE_STATUS = 422;
const MINIMUM_SERVER_ERROR_STATUS = 500;

/** One event of a text. */
export interface GeneratedEvent {
  readonly id: number;
  readonly data: string;
  readonly version: number;
}

/** How a run ended. */
export type RunOutcome =
  | { readonly kind: "complete" }
  /** The engine did not run it. */
  | { readonly kind: "refused"; readonly reason: string }
  /** The engine tried and failed. */
  | { readonly kind: "failed"; readonly status: number }
  /** The item can never be done. */
  | { readonly kind: "impossible" }
  /** The engine has a version that may not make this text. */
  | { readonly kind: "wrong_version"; readonly version: number }
  /** A kept connection was dead. */
  | { readonly kind: "stale"; readonly reason: string }
  /** The connection or the stream broke. */
  | { readonly kind: "broken"; readonly reason: string };

/** What a run needs. */
export interface ItemRunOptions {
  readonly http: UpstreamHttp;
  readonly dialect: UpstreamDialect;
  readonly upstream: FleetUpstream;
  readonly batch: Batch;
  readonly item: BatchItem;
  /** The last event that is known, or null to begin. */
  readonly afterEvent: number | null;
  /** Whether a version may make the next event. */
  readonly allowsVersion: (version: number) => boolean;
  readonly signal: AbortSignal;
  readonly onEvent: (event: GeneratedEvent) => void;
}

/** Runs an item until the engine has made its last event or something goes wrong. */
export async function runItem(options: ItemRunOptions): Promise<RunOutcome> {
  const { http, dialect, upstream, batch, item } = options;
  const opened = await http.open({
    address: upstream.address,
    method: "POST",
    target: item.target,
    headers: dialect.callHeaders(["Host", batch.host, ...item.headers], {
      requestId: item.id,
      upstream,
      leftMs: null,
      afterEvent: options.afterEvent,
    }),
    body: item.body,
    signal: options.signal,
    reuse: true,
  });
  if (opened.err) {
    const { reason, stale } = opened.val;
    return { kind: stale ? "stale" : "broken", reason };
  }
  const response = opened.val;
  const outcome = checkHead(response, options);
  if (outcome !== undefined) {
    await drainBody(response);
    return outcome;
  }
  return readEvents(response, options);
}

function checkHead(
  response: OpenAnswer,
  options: ItemRunOptions,
): RunOutcome | undefined {
  const { status } = response.head;
  const marks = options.dialect.answerMarks(response.head);
  if (marks.notRun) return { kind: "refused", reason: `status ${status}` };
  if (marks.requestId !== options.item.id) {
    response.abandon();
    return { kind: "broken", reason: `an answer to ${marks.requestId}` };
  }
  if (status === UNPROCESSABLE_STATUS) return { kind: "impossible" };
  if (status >= MINIMUM_SERVER_ERROR_STATUS) return { kind: "failed", status };
  if (status !== OK_STATUS) {
    return { kind: "broken", reason: `status ${status}` };
  }
  if (marks.version === null) {
    response.abandon();
    return { kind: "broken", reason: "the answer names no version" };
  }
  if (!options.allowsVersion(marks.version)) {
    response.abandon();
    return { kind: "wrong_version", version: marks.version };
  }
  return undefined;
}

/** Reads the rest of a short answer, so that its connection can be used again. */
async function drainBody(response: OpenAnswer): Promise<void> {
  try {
    for await (const _piece of response.pieces);
  } catch {
    // The connection is closed by then; the outcome of the run is known already.
    response.abandon();
  }
}

async function readEvents(
  response: OpenAnswer,
  options: ItemRunOptions,
): Promise<RunOutcome> {
  const parser = new EventParser();
  let version = options.dialect.answerMarks(response.head).version ?? 0;
  let last = options.afterEvent;
  try {
    for await (const piece of response.pieces) {
      for (const event of parser.push(piece)) {
        if (last !== null && event.id !== last + 1) {
          throw new Error(`event ${event.id} follows event ${last}`);
        }
        version = versionOf(event, version, options.dialect);
        if (!options.allowsVersion(version)) {
          response.abandon();
          return { kind: "wrong_version", version };
        }
        last = event.id;
        options.onEvent({ id: event.id, data: event.data, version });
      }
    }
    if (parser.midEvent) throw new Error("the stream ended within an event");
    if (last === null) throw new Error("the stream has no events");
    return { kind: "complete" };
  } catch (error) {
    response.abandon();
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: "broken", reason };
  }
}

function versionOf(
  event: StreamEvent,
  before: number,
  dialect: UpstreamDialect,
): number {
  return dialect.eventVersion(event.notes) ?? before;
}
