/**
 * The transcript of a golden session: its calls, their responses and other observations.
 *
 * @module
 */
import type { JsonResponse } from "#fakes";
import { Normaliser } from "./normalise.ts";

const SHOWN_HEADERS: readonly string[] = ["cicadafield-ran"];

/** Collects the normalised lines of a session. */
export class Transcript {
  readonly #normaliser = new Normaliser();
  readonly #lines: string[] = [];

  /** Starts a section of the transcript. */
  startSection(title: string): void {
    if (this.#lines.length > 0) this.#lines.push("");
    this.#lines.push(`== ${title}`);
  }

  /** Adds a line with an observation. */
  addObservation(text: string): void {
    this.#lines.push(this.#normaliser.normaliseText(text));
  }

  /** Adds a call and its response, whose body is formatted if it is JSON. */
  addCall(call: string, response: JsonResponse): void {
    this.#lines.push(this.#normaliser.normaliseText(`> ${call}`));
    this.#lines.push(`< ${response.status}`);
    for (const name of SHOWN_HEADERS) {
      const value = response.headers[name];
      if (value !== undefined) this.#lines.push(`< ${name}: ${value}`);
    }
    if (response.headers["retry-after"] !== undefined) {
      this.#lines.push("< retry-after: <seconds>");
    }
    this.#lines.push(...this.#normalisedBody(response.text).split("\n"));
  }

  /** Returns the complete transcript. */
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
