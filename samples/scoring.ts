/**
 * Scores of samples by the trainer's scoring service, with retries and a limit on calls at once.
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

const MAXIMUM_CALLS = 64;
const CALL_LIMIT_MS: Milliseconds = 30_000;
const HTTP_OK = 200;

const scoreSchema = z.object({ score: z.number().finite() });

/** What scoring is built from. */
export interface ScoringOptions {
  readonly services: ServicePort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** One sample to be scored. */
export interface ScoreRequest {
  readonly requestId: string;
  readonly trainer: TrainerEntry;
  readonly prompt: string;
  readonly text: string;
  readonly signal: AbortSignal;
}

/** Asks scorers. */
export class Scoring {
  readonly #options: ScoringOptions;
  readonly #waiting: (() => void)[] = [];
  #running = 0;

  constructor(options: ScoringOptions) {
    this.#options = options;
  }

  /** Gives the score, or null if the signal ends the wait. */
  async score(request: ScoreRequest): Promise<number | null> {
    for (let attempt = 0; !request.signal.aborted; attempt += 1) {
      await this.#enter();
      const score = await this.#call(request);
      this.#leave();
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
    const answer = await this.#options.services.call({
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
      deadlineMs: this.#options.clock.nowMs() + CALL_LIMIT_MS,
    });
    if (answer.err) return { reason: answer.val.message };
    if (answer.val.status !== HTTP_OK) {
      return { reason: `status ${answer.val.status}` };
    }
    return readScore(answer.val.body);
  }

  async #enter(): Promise<void> {
    if (this.#running < MAXIMUM_CALLS) {
      this.#running += 1;
      return;
    }
    await new Promise<void>((resolve) => this.#waiting.push(resolve));
  }

  #leave(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
  }
}

function readScore(body: Uint8Array): number | { readonly reason: string } {
  try {
    const parsed = scoreSchema.safeParse(
      JSON.parse(Buffer.from(body).toString("utf8")),
    );
    return parsed.success ? parsed.data.score : { reason: "no finite score" };
  } catch {
    return { reason: "the answer is not JSON" };
  }
}
