/**
 * Replaces the values of a transcript that differ between runs: times, identifiers, digests, keys and the selected
 * upstream.
 *
 * @module
 */

/** Replaces varying values by placeholders, numbered for each kind in order of first occurrence. */
export class Normaliser {
  readonly #placeholders = new Map<string, string>();
  readonly #counts = new Map<string, number>();

  /** Replaces the values in a text that match the pattern of a varying value. */
  normaliseText(text: string): string {
    return text
      .replaceAll(
        /\b[0-9a-f]{64}\b/g,
        (value) => this.#placeholder("digest", value),
      )
      .replaceAll(
        /\b[0-9a-f]{32}\b/g,
        (value) => this.#placeholder("identifier", value),
      )
      .replaceAll(
        /\b[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}\b/g,
        (value) => this.#placeholder("identifier", value),
      )
      .replaceAll(/[A-Za-z0-9+/]{86}==/g, "<signature>")
      .replaceAll(
        /[A-Za-z0-9+/]{43}=/g,
        (value) => this.#placeholder("key", value),
      )
      .replaceAll(/\b(engine|service)-[a-z]+(-[a-z])?\b/g, "<upstream>")
      .replaceAll(/\b127\.\d+\.\d+\.\d+(:\d+)?\b/g, "<address>")
      .replaceAll(/\b1[0-9]{12}\b/g, "<time>")
      .replaceAll(/\b\d+(\.\d+)? ?ms\b/g, "<duration>");
  }

  /** Replaces varying values in a JSON value, numbers by the names of their fields and texts by their patterns. */
  normaliseJson(value: unknown, name = ""): unknown {
    if (typeof value === "string") return this.normaliseText(value);
    if (typeof value === "number") return normaliseNumber(name, value);
    if (Array.isArray(value)) {
      return value.map((each) => this.normaliseJson(each, name));
    }
    if (typeof value !== "object" || value === null) return value;
    const fields: Record<string, unknown> = {};
    for (const [field, each] of Object.entries(value)) {
      fields[field] = this.normaliseJson(each, field);
    }
    return fields;
  }

  #placeholder(kind: string, value: string): string {
    const known = this.#placeholders.get(value);
    if (known !== undefined) return known;
    const count = (this.#counts.get(kind) ?? 0) + 1;
    this.#counts.set(kind, count);
    const placeholder = `<${kind} ${count}>`;
    this.#placeholders.set(value, placeholder);
    return placeholder;
  }
}

const VARYING_NUMBER_FIELDS =
  /AtMs$|^(index|retryAfterMs|incarnation|sequence)$/;

function normaliseNumber(name: string, value: number): number | string {
  return VARYING_NUMBER_FIELDS.test(name) ? `<${name}>` : value;
}
