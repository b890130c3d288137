/**
 * Runs an item on one engine: sends the request, or resumes after the last known event, and reports each event
 * as it arrives together with the weight version that generated it.
 *
 * @module
 */
import { type Bytes, type FleetUpstream, KIBIBYTE } from "#core";
import {
  EventParser,
  reportNotices,
  type StreamEvent,
  type StreamingResponse,
  type UpstreamDialect,
  type UpstreamHttp,
  type UpstreamNotices,
} from "#requests";
import type { BatchHeader, BatchItem } from "./batch_types.ts";
import { rejectHead } from "./item_response.ts";

/** Largest body of a rejection that is read to the end. */
const MAXIMUM_DRAINED_BYTES: Bytes = 64 * KIBIBYTE;

/** One event of a generated text. */
export interface GeneratedEvent {
  readonly id: number;
  readonly data: string;
  readonly version: number;
}

/** How a run ended. */
export type RunOutcome =
  | { readonly kind: "complete" }
  /** The engine rejected the item without running it. */
  | { readonly kind: "refused"; readonly reason: string }
  /** The engine ran the item and failed, which counts as a failed attempt. */
  | { readonly kind: "failed"; readonly status: number }
  /** The engine responded with a status that says nothing of the item. */
  | { readonly kind: "error"; readonly status: number }
  /** The engine cannot process the item, and no retry will succeed. */
  | { readonly kind: "impossible" }
  /** The engine serves a version that may not generate this text. */
  | { readonly kind: "wrong_version"; readonly version: number }
  /** A reused connection was no longer usable. */
  | { readonly kind: "stale"; readonly reason: string }
  /** The connection or the stream broke, or the response was invalid. */
  | { readonly kind: "broken"; readonly reason: string };

/** Options of `runItem`. */
export interface ItemRunOptions {
  readonly http: UpstreamHttp;
  readonly dialect: UpstreamDialect;
  readonly upstream: FleetUpstream;
  readonly batch: BatchHeader;
  readonly item: BatchItem;
  /** Identifier of the last known event, or null to start from the beginning. */
  readonly afterEvent: number | null;
  /** Returns whether a version may generate the next event. */
  readonly allowsVersion: (version: number) => boolean;
  readonly signal: AbortSignal;
  readonly notices: UpstreamNotices;
  readonly onEvent: (event: GeneratedEvent) => void;
}

/** Runs an item until the engine has sent the last event or an error occurs. */
export async function runItem(options: ItemRunOptions): Promise<RunOutcome> {
  const { http, dialect, upstream, batch, item } = options;
  const opened = await http.open({
    address: upstream.address,
    method: "POST",
    target: item.target,
    headers: dialect.callHeaders(["Host", batch.host, ...item.headers], {
      requestId: item.id,
      upstream,
      remainingMs: null,
      lastEventId: options.afterEvent,
      ...(batch.tenant === undefined ? {} : { tenant: batch.tenant }),
    }),
    body: item.body,
    signal: options.signal,
    reuseConnection: true,
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
  response: StreamingResponse,
  options: ItemRunOptions,
): RunOutcome | undefined {
  const { head } = response;
  const metadata = options.dialect.readResponse(head);
  const { notices, upstream, item, allowsVersion } = options;
  reportNotices(notices, { upstream, requestId: item.id, metadata });
  const expected = { requestId: item.id, allowsVersion };
  const rejected = rejectHead(head.status, metadata, expected);
  if (rejected?.mustClose === true) response.closeConnection();
  return rejected?.outcome;
}

/** Reads the rest of a short response, so that its connection can be reused; a long one is not worth reading. */
async function drainBody(response: StreamingResponse): Promise<void> {
  let bytes = 0;
  try {
    for await (const piece of response.bodyChunks) {
      bytes += piece.length;
      if (bytes <= MAXIMUM_DRAINED_BYTES) continue;
      response.closeConnection();
      return;
    }
  } catch {
    // The connection is closed at this point, and the outcome of the run is already known.
    response.closeConnection();
  }
}

async function readEvents(
  response: StreamingResponse,
  options: ItemRunOptions,
): Promise<RunOutcome> {
  const parser = new EventParser();
  let version = options.dialect.readResponse(response.head).version ?? 0;
  let last = options.afterEvent;
  try {
    for await (const piece of response.bodyChunks) {
      for (const event of parser.push(piece)) {
        if (last !== null && event.id !== last + 1) {
          throw new Error(`event ${event.id} follows event ${last}`);
        }
        version = versionOf(event, version, options.dialect);
        if (!options.allowsVersion(version)) {
          response.closeConnection();
          return { kind: "wrong_version", version };
        }
        last = event.id;
        options.onEvent({ id: event.id, data: event.data, version });
      }
    }
    if (parser.hasPartialEvent) {
      throw new Error("the stream ended within an event");
    }
    if (last === null) throw new Error("the stream contained no events");
    return { kind: "complete" };
  } catch (error) {
    response.closeConnection();
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: "broken", reason };
  }
}

function versionOf(
  event: StreamEvent,
  before: number,
  dialect: UpstreamDialect,
): number {
  return dialect.readEventVersion(event.extraFields) ?? before;
}
