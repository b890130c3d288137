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
  part(title: string): void {
    if (this.#lines.length > 0) this.#lines.push("");
    this.#lines.push(`== ${title}`);
  }

  /** Records something that was seen. */
  saw(text: string): void {
    this.#lines.push(this.#normaliser.text(text));
  }

  /** Records a call and its answer, the body as JSON if it is. */
  answered(call: string, answer: JsonAnswer): void {
    this.#lines.push(this.#normaliser.text(`> ${call}`));
    this.#lines.push(`< ${answer.status}`);
    for (const name of SHOWN_HEADERS) {
      const value = answer.headers[name];
      if (value !== undefined) this.#lines.push(`< ${name}: ${value}`);
    }
    if (answer.headers["retry-after"] !== undefined) {
      this.#lines.push("< retry-after: <seconds>");
    }
    this.#lines.push(...this.#body(answer.text).split("\n"));
  }

  /** The whole record. */
  text(): string {
    return this.#lines.join("\n") + "\n";
  }

  #body(text: string): string {
    try {
      const value = this.#normaliser.json(JSON.parse(text));
      return JSON.stringify(value, null, 2);
    } catch {
      return this.#normaliser.text(text.trim());
    }
  }
}
