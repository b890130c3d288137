/**
 * HTTP routes for trainers: submit steps, read progress, fetch samples and publish versions.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  type Clock,
  type EventLog,
  fail,
  type Failure,
  type HttpRequest,
  type HttpResponse,
  type HttpRoute,
  jsonResponse,
  type Milliseconds,
} from "#core";
import type { z } from "zod";
import { formatCursor } from "./cursor.ts";
import { SAMPLES_EVENTS } from "./events.ts";
import { isRetryable, type LedgerClient } from "./ledger_client.ts";
import { MAXIMUM_PAGE_SAMPLES, stepRequestSchema } from "./ledger_types.ts";
import { pageResponse } from "./sample_page.ts";

const POLL_INTERVAL_MS: Milliseconds = 100;
const MAXIMUM_WAIT_MS: Milliseconds = 60_000;
const DEFAULT_PAGE_SAMPLES = 256;
const WHOLE_NUMBER = /^(0|[1-9][0-9]{0,14})$/;

/** Options of `SampleRoutes`. */
export interface SampleRouteOptions {
  readonly ledger: LedgerClient;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Whether the entry is draining; long polls then return immediately. */
  readonly isDraining: () => boolean;
}

/** Serves the requests of trainers. */
export class SampleRoutes {
  readonly #options: SampleRouteOptions;

  constructor(options: SampleRouteOptions) {
    this.#options = options;
  }

  /** Returns the routes. */
  routes(): readonly HttpRoute[] {
    const step = "/v1/trainers/:trainer/steps/:step";
    return [
      {
        method: "PUT",
        pattern: step,
        name: "put_step",
        handle: (call) => this.#putStep(call),
      },
      {
        method: "GET",
        pattern: step,
        name: "get_step",
        handle: (call) => this.#getStep(call),
      },
      {
        method: "GET",
        pattern: "/v1/trainers/:trainer/samples",
        name: "get_samples",
        handle: (call) => this.#getSamples(call),
      },
      {
        method: "PUT",
        pattern: "/v1/trainers/:trainer/versions/:version",
        name: "put_version",
        handle: (call) => this.#putVersion(call),
      },
    ];
  }

  async #putStep(call: HttpRequest): Promise<HttpResponse | Failure> {
    const trainer = trainerOf(call);
    const step = parseWholeNumber(call.parameters["step"]);
    if (step === undefined) return invalidNumber("step");
    const body = parseJson(call.body);
    if (body === undefined) {
      return fail("malformed_request", "the body is not JSON");
    }
    const parsed = stepRequestSchema.safeParse(body);
    if (!parsed.success) return invalidStep(parsed.error);
    const reply = await this.#options.ledger.submit({
      kind: "submit",
      trainer,
      step,
      ...parsed.data,
    });
    if (reply.err) return reply.val;
    this.#options.events.emit(SAMPLES_EVENTS.stepAccepted, { trainer, step });
    return jsonResponse(200, reply.val);
  }

  async #getStep(call: HttpRequest): Promise<HttpResponse | Failure> {
    const step = parseWholeNumber(call.parameters["step"]);
    if (step === undefined) return invalidNumber("step");
    const result = await this.#options.ledger.query<"step">({
      kind: "step",
      trainer: trainerOf(call),
      step,
    });
    return result.ok ? jsonResponse(200, result.val.progress) : result.val;
  }

  async #putVersion(call: HttpRequest): Promise<HttpResponse | Failure> {
    const trainer = trainerOf(call);
    const version = parseWholeNumber(call.parameters["version"]);
    if (version === undefined) return invalidNumber("version");
    const reply = await this.#options.ledger.publish(trainer, version);
    if (reply.err) return reply.val;
    this.#options.events.emit(SAMPLES_EVENTS.versionPublished, {
      trainer,
      version,
    });
    return jsonResponse(200, { trainer, version: reply.val });
  }

  async #getSamples(call: HttpRequest): Promise<HttpResponse | Failure> {
    const trainer = trainerOf(call);
    const after = call.query.get("after") ?? "";
    const limit = parseQueryNumber(call, "limit", DEFAULT_PAGE_SAMPLES);
    if (limit === undefined || limit < 1 || limit > MAXIMUM_PAGE_SAMPLES) {
      return invalidNumber("limit");
    }
    const waitMs = parseQueryNumber(call, "wait_ms", 0);
    if (waitMs === undefined) return invalidNumber("wait_ms");
    const { clock, ledger } = this.#options;
    const untilMs = clock.nowMs() + Math.min(waitMs, MAXIMUM_WAIT_MS);
    const ready = await this.#waitUntilReady({ trainer, after, call, untilMs });
    if (typeof ready !== "boolean") return ready;
    if (!ready) return emptyPageResponse(trainer, after);
    const page = await ledger.deliver({
      kind: "deliver",
      trainer,
      after,
      limit,
    });
    return page.ok ? pageResponse(trainer, page.val) : page.val;
  }

  async #waitUntilReady(wait: {
    readonly trainer: string;
    readonly after: string;
    readonly call: HttpRequest;
    readonly untilMs: Milliseconds;
  }): Promise<boolean | Failure> {
    const { clock, ledger, isDraining } = this.#options;
    const { trainer, after } = wait;
    for (;;) {
      const result = await ledger.query<"ready">({
        kind: "ready",
        trainer,
        after,
      });
      if (result.ok && result.val.ready) return true;
      if (result.err && !isRetryable(result.val)) return result.val;
      const finished = clock.nowMs() >= wait.untilMs || isDraining() ||
        wait.call.signal.aborted;
      if (finished) return result.ok ? false : result.val;
      await clock.sleep(POLL_INTERVAL_MS);
    }
  }
}

function emptyPageResponse(trainer: string, after: string): HttpResponse {
  const cursor = after === "" ? formatCursor(trainer, 0) : after;
  return pageResponse(trainer, { kind: "page", cursor, groups: [] });
}

function trainerOf(call: HttpRequest): string {
  return call.parameters["trainer"] ?? "";
}

function parseWholeNumber(text: string | undefined): number | undefined {
  if (text === undefined || !WHOLE_NUMBER.test(text)) return undefined;
  return Number(text);
}

function parseQueryNumber(
  call: HttpRequest,
  name: string,
  fallback: number,
): number | undefined {
  const text = call.query.get(name);
  return text === null ? fallback : parseWholeNumber(text);
}

function invalidNumber(field: string): Failure {
  const message = `${field}: must be a whole number within its range`;
  return fail("malformed_request", message, { field });
}

function invalidStep(error: z.ZodError): Failure {
  const issue = error.issues[0];
  const field = issue?.path.join(".") ?? "";
  const message = `${field}: ${issue?.message ?? "is invalid"}`;
  return fail("invalid_step", message, { field });
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8")) as unknown;
  } catch {
    return undefined;
  }
}
