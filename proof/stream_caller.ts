/**
 * A caller of streams: it takes a stream that broke off up again, as often as its tries and its time allow.
 *
 * @module
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Address, Milliseconds } from "#core";
import { delay } from "./managed_process.ts";

const DEADLINE_MS: Milliseconds = 8_000;
const RETRY_INTERVAL_MS: Milliseconds = 100;
/** Attempts that get a response; those at a VM that is down don't count. */
const MAXIMUM_TRIES = 6;
const EVENTS = 30;
const OK_STATUS = 200;

/** One attempt of a caller. */
export interface StreamAttempt {
  readonly id: string;
  /** Whether it took up a stream of which the caller had events. */
  readonly isTakeUp: boolean;
  /** Status of the response; 0 without one. */
  readonly status: number;
  /** Software versions that its events name, in their order, each once. */
  readonly versions: readonly string[];
  readonly events: number;
}

/** What a caller got of one stream. */
export interface StreamRecord {
  readonly attempts: readonly StreamAttempt[];
  readonly isComplete: boolean;
  /** Whether each event came once and in order. */
  readonly isInOrder: boolean;
}

interface Progress {
  /** Attempt that brought the first event. */
  origin: string | null;
  lastEventId: number;
  isInOrder: boolean;
}

/** Where streams are requested. */
export interface StreamTarget {
  readonly host: string;
  readonly path: string;
  readonly model: string;
  /** Returns the address of an entry VM for a try. */
  readonly entryOf: (attempt: number) => Address;
}

/** Requests one stream and takes it up until it is complete. */
export async function requestStream(
  name: string,
  target: StreamTarget,
): Promise<StreamRecord> {
  const progress: Progress = { origin: null, lastEventId: -1, isInOrder: true };
  const attempts: StreamAttempt[] = [];
  const untilMs = performance.now() + DEADLINE_MS;
  for (let sent = 0; performance.now() < untilMs; sent += 1) {
    const attempt = await sendAttempt(`${name}-${sent}`, {
      target,
      to: target.entryOf(sent),
      progress,
      leftMs: untilMs - performance.now(),
    });
    attempts.push(attempt);
    if (progress.lastEventId === EVENTS - 1) break;
    const answered = attempts.filter((each) => each.status !== 0);
    if (answered.length >= MAXIMUM_TRIES) break;
    if (attempt.status !== OK_STATUS) await delay(RETRY_INTERVAL_MS);
  }
  const { lastEventId, isInOrder } = progress;
  return { attempts, isComplete: lastEventId === EVENTS - 1, isInOrder };
}

function sendAttempt(id: string, options: {
  readonly target: StreamTarget;
  readonly to: Address;
  readonly progress: Progress;
  readonly leftMs: Milliseconds;
}): Promise<StreamAttempt> {
  const { target, to, progress, leftMs } = options;
  const isTakeUp = progress.origin !== null;
  return new Promise((resolve) => {
    const reader = new EventReader(id, progress);
    let status = 0;
    const settle = (): void => {
      const { versions, events } = reader;
      resolve({ id, isTakeUp, status, versions: [...versions], events });
    };
    const outgoing: ClientRequest = request({
      host: to.host,
      port: to.port,
      method: "POST",
      path: target.path,
      agent: false,
      headers: {
        Host: target.host,
        "Request-Id": id,
        "Deadline-Ms": String(Math.max(1, Math.floor(leftMs))),
        Model: target.model,
        "Token-Counts": `10,${EVENTS}`,
        ...(progress.origin === null ? {} : {
          Resumes: progress.origin,
          "Last-Event-Id": String(progress.lastEventId),
        }),
      },
    }, (response: IncomingMessage) => {
      status = response.statusCode ?? 0;
      response.on("data", (chunk) => {
        if (status === OK_STATUS) reader.push(String(chunk));
      });
      response.on("error", settle);
      response.on("close", settle);
    });
    const timer = setTimeout(() => outgoing.destroy(), leftMs);
    outgoing.on("error", settle);
    outgoing.on("close", () => {
      clearTimeout(timer);
      settle();
    });
    outgoing.end("advice");
  });
}

/** Reads the events of one response. */
class EventReader {
  readonly versions = new Set<string>();
  events = 0;
  readonly #id: string;
  readonly #progress: Progress;
  #unread = "";

  constructor(id: string, progress: Progress) {
    this.#id = id;
    this.#progress = progress;
  }

  push(text: string): void {
    const parts = (this.#unread + text).split("\n\n");
    this.#unread = parts.pop() ?? "";
    for (const part of parts) this.#readEvent(part);
  }

  #readEvent(event: string): void {
    const eventId = Number(/^id: (\d+)$/m.exec(event)?.[1]);
    const version = /^data: (.+)$/m.exec(event)?.[1] ?? "";
    const progress = this.#progress;
    if (eventId !== progress.lastEventId + 1) progress.isInOrder = false;
    progress.lastEventId = eventId;
    progress.origin ??= this.#id;
    this.versions.add(version);
    this.events += 1;
  }
}
