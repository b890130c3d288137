/**
 * The record of a golden session: what was asked, what was answered, what was seen.
 *
 * @module
 */
import type { JsonAnswer } from "#fakes";
import { Normaliser } from "./normalise.ts";

const SHOWN_HEADERS: readonly string[] = ["cicadafield-ran"];

/** Collects the lines of a session. */
export class Transcript {
  readonly #normaliser = new Normaliser();
  readonly #lines: string[] = [];

  /** Begins a part of the session. */
  startSection(title: string): void {
    if (this.#lines.length > 0) this.#lines.push("");
    this.#lines.push(`== ${title}`);
  }

  /** Records something that was seen. */
  addObservation(text: string): void {
    this.#lines.push(this.#normaliser.normaliseText(text));
  }

  /** Records a call and its answer, the body as JSON if it is. */
  addCall(call: string, answer: JsonAnswer): void {
    this.#lines.push(this.#normaliser.normaliseText(`> ${call}`));
    this.#lines.push(`< ${answer.status}`);
    for (const name of SHOWN_HEADERS) {
      const value = answer.headers[name];
      if (value !== undefined) this.#lines.push(`< ${name}: ${value}`);
    }
    if (answer.headers["retry-after"] !== undefined) {
      this.#lines.push("< retry-after: <seconds>");
    }
    this.#lines.push(...this.#normalisedBody(answer.text).split("\n"));
  }

  /** The whole record. */
  text(): string {
    return this.#lines.join("\n") + "\n";
  }

  #normalisedBody(text: string): string {
    try {
      const value = this.#normaliser.normaliseJson(JSON.parse(text));
      return JSON.stringify(value, null, 2);
    } catch {
      return this.#normaliser.normaliseText(text.trim());
    }
  }
}
