/**
 * Requests scores of samples from the trainer's scoring service, with retries and limited concurrency.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  type Clock,
  type EventLog,
  type Milliseconds,
  type RandomSource,
  type ServicePort,
  type TrainerEntry,
} from "#core";
import { z } from "zod";
import { SAMPLES_EVENTS } from "./events.ts";
import { retryDelayMs } from "./retry_delay.ts";

const MAXIMUM_CONCURRENT_CALLS = 64;
const CALL_TIMEOUT_MS: Milliseconds = 30_000;
const HTTP_OK = 200;

const scoreSchema = z.object({ score: z.number().finite() });

/** Options of `ScoringClient`. */
export interface ScoringClientOptions {
  readonly services: ServicePort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** A request to score one sample. */
export interface ScoreRequest {
  readonly requestId: string;
  readonly trainer: TrainerEntry;
  readonly prompt: string;
  readonly text: string;
  readonly signal: AbortSignal;
}

/** Calls the scoring services of trainers. */
export class ScoringClient {
  readonly #options: ScoringClientOptions;
  readonly #slotWaiters: (() => void)[] = [];
  #runningCalls = 0;

  constructor(options: ScoringClientOptions) {
    this.#options = options;
  }

  /** Returns the score, or null if the signal is aborted; retries failed calls until then. */
  async score(request: ScoreRequest): Promise<number | null> {
    for (let attempt = 0; !request.signal.aborted; attempt += 1) {
      await this.#acquireSlot();
      const score = await this.#call(request);
      this.#releaseSlot();
      if (typeof score === "number") return score;
      this.#options.events.emit(SAMPLES_EVENTS.scoringFailed, {
        requestId: request.requestId,
        reason: score.reason,
      });
      const delayMs = retryDelayMs(attempt, this.#options.random);
      await this.#options.clock.sleep(delayMs);
    }
    return null;
  }

  async #call(
    request: ScoreRequest,
  ): Promise<number | { readonly reason: string }> {
    const { trainer, prompt, text } = request;
    const body = JSON.stringify({ trainer: trainer.name, prompt, text });
    const response = await this.#options.services.call({
      requestId: request.requestId,
      tenant: trainer.tenant,
      class: trainer.class,
      service: trainer.scorer,
      method: "POST",
      path: "/score",
      headers: { "content-type": "application/json" },
      body: Buffer.from(body),
      idempotent: true,
      idempotencyKey: null,
      deadlineMs: this.#options.clock.nowMs() + CALL_TIMEOUT_MS,
    });
    if (response.err) return { reason: response.val.message };
    if (response.val.status !== HTTP_OK) {
      return { reason: `status ${response.val.status}` };
    }
    return parseScore(response.val.body);
  }

  async #acquireSlot(): Promise<void> {
    if (this.#runningCalls < MAXIMUM_CONCURRENT_CALLS) {
      this.#runningCalls += 1;
      return;
    }
    await new Promise<void>((resolve) => this.#slotWaiters.push(resolve));
  }

  #releaseSlot(): void {
    const next = this.#slotWaiters.shift();
    if (next === undefined) this.#runningCalls -= 1;
    else next();
  }
}

function parseScore(body: Uint8Array): number | { readonly reason: string } {
  try {
    const parsed = scoreSchema.safeParse(
      JSON.parse(Buffer.from(body).toString("utf8")),
    );
    return parsed.success
      ? parsed.data.score
      : { reason: "response has no finite score" };
  } catch {
    return { reason: "response is not valid JSON" };
  }
}
