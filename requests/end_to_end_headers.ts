/**
 * Filters the headers of a message: end-to-end headers are forwarded, hop-by-hop headers are not.
 *
 * Source: RFC 9110, section 7.6.1.
 *
 * @module
 */

const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Removes hop-by-hop headers from a list of alternating names and values. */
export function endToEndHeaders(raw: readonly string[]): readonly string[] {
  const named = namedByConnection(raw);
  const kept: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at] ?? "";
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || named.has(lower)) continue;
    kept.push(name, raw[at + 1] ?? "");
  }
  return kept;
}

/** Converts a list of alternating names and values to a record; values of the same name are joined. */
export function headerRecord(
  raw: readonly string[],
): Readonly<Record<string, string>> {
  const record: Record<string, string> = {};
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at] ?? "";
    const value = raw[at + 1] ?? "";
    const before = record[name];
    record[name] = before === undefined ? value : `${before}, ${value}`;
  }
  return record;
}

function namedByConnection(raw: readonly string[]): ReadonlySet<string> {
  const named = new Set<string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if ((raw[at] ?? "").toLowerCase() !== "connection") continue;
    for (const name of (raw[at + 1] ?? "").split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  return named;
}
