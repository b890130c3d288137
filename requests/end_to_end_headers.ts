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
  const connectionOptions = listedInConnection(raw);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? "";
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || connectionOptions.has(lower)) continue;
    forwarded.push(name, raw[index + 1] ?? "");
  }
  return forwarded;
}

/** Converts a list of alternating names and values to a record; values of the same name are joined. */
export function headerRecord(
  raw: readonly string[],
): Readonly<Record<string, string>> {
  const record: Record<string, string> = {};
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? "";
    const value = raw[index + 1] ?? "";
    const previous = record[name];
    record[name] = previous === undefined ? value : `${previous}, ${value}`;
  }
  return record;
}

function listedInConnection(raw: readonly string[]): ReadonlySet<string> {
  const connectionOptions = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if ((raw[index] ?? "").toLowerCase() !== "connection") continue;
    for (const name of (raw[index + 1] ?? "").split(",")) {
      connectionOptions.add(name.trim().toLowerCase());
    }
  }
  return connectionOptions;
}
