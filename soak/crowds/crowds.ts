/**
 * Crowds of misbehaving clients. Each client gets a fresh connection and its number, and resolves when it has sent all
 * that it sends; its connection stays open until the crowd is over.
 *
 * @module
 */
import { type Bytes, KIBIBYTE, MEBIBYTE } from "#core";
import { type CrowdClient, headOf } from "./crowd_client.ts";
import { type CrowdTarget, SITE_HOST } from "./crowd_site.ts";

const LINES = [`Host: ${SITE_HOST}`, "Request-Id: crowd"];
const CHUNKED = [...LINES, "Transfer-Encoding: chunked"];
const LARGEST_BODY_BYTES: Bytes = 33_554_432;
/** How far short of their end bodies stop. */
const MISSING_BYTES: Bytes = 100;
/** Fits into a head of 16 KB: 2,400 fields of six bytes. */
const SHORT_FIELDS = Array.from(
  { length: 2_400 },
  (_, at) => `${at.toString(36).padStart(3, "a")}:`,
);
const PIPELINED_REQUESTS = 5_000;
const FILL = Buffer.alloc(64 * KIBIBYTE, "x");

/** A number of clients that behave alike at one address. */
export interface Crowd {
  readonly name: string;
  readonly target: CrowdTarget;
  readonly clients: number;
  /** Whether the clients read the responses; true if absent. */
  readonly reads?: boolean;
  /** Whether connections are closed before the ordinary request; false if absent. */
  readonly leaves?: boolean;
  /** Entry of KNOWN-RED.txt on the memory that it costs; none if absent. */
  readonly knownRed?: string;
  readonly act: (client: CrowdClient, number: number) => Promise<void>;
}

async function sendFill(client: CrowdClient, bytes: Bytes): Promise<void> {
  for (let sent = 0; sent < bytes && client.isOpen; sent += FILL.length) {
    await client.send(FILL.subarray(0, Math.min(FILL.length, bytes - sent)));
  }
}

/** A body that announces its size and stops just short of its end. */
function unfinishedBody(path: string, bytes: Bytes): Crowd["act"] {
  return async (client) => {
    await client.send(headOf(`POST ${path}`, LINES, bytes));
    await sendFill(client, bytes - MISSING_BYTES);
  };
}

/** A body in pieces of 1,000 bytes that stops just short of its end. */
function bodyInPieces(path: string, pieces: number): Crowd["act"] {
  return async (client) => {
    const bytes = pieces * 1_000;
    await client.send(headOf(`POST ${path}`, LINES, bytes + MISSING_BYTES));
    await client.sendTimes(FILL.subarray(0, 1_000), pieces);
  };
}

/** A chunked body without its end; the chunks are sent in pieces of 64 KB or more. */
function unfinishedChunks(
  path: string,
  options: { readonly chunkBytes: Bytes; readonly chunks: number },
): Crowd["act"] {
  const { chunkBytes, chunks } = options;
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  const perPiece = Math.ceil((64 * KIBIBYTE) / chunk.length);
  const piece = Buffer.from(chunk.repeat(perPiece));
  return async (client) => {
    await client.send(headOf(`POST ${path}`, CHUNKED));
    await client.sendTimes(piece, Math.ceil(chunks / perPiece));
  };
}

/** A complete JSON body, made of an opening, an entry again and again, and a closing. */
function jsonBody(
  path: string,
  parts: {
    readonly bytes: Bytes;
    readonly opening: string;
    readonly entry: (at: number) => string;
    readonly closing: string;
  },
): Crowd["act"] {
  const { bytes, opening, entry, closing } = parts;
  const entries: string[] = [];
  let length = opening.length + closing.length;
  while (true) {
    const next = entry(entries.length);
    if (length + next.length + 1 > bytes) break;
    length += next.length + 1;
    entries.push(next);
  }
  const body = Buffer.from(opening + entries.join(",") + closing);
  return async (client) => {
    await client.send(headOf(`POST ${path}`, LINES, body.length));
    await client.send(body);
  };
}

/** A complete head of very many short fields, then a body without its end, so that the request stays in progress. */
function manyFields(path: string): Crowd["act"] {
  return async (client) => {
    const lines = [...LINES.slice(0, 1), ...SHORT_FIELDS];
    await client.send(headOf(`POST ${path}`, lines, MISSING_BYTES));
    await client.send("x");
  };
}

function pipelined(
  head: string,
  requests: number = PIPELINED_REQUESTS,
): Crowd["act"] {
  const all = Buffer.from(head.repeat(requests));
  return (client) => client.send(all);
}

/** A third each sends slowly, reads a large response slowly (not at all), or stops half-way. */
async function slowClient(client: CrowdClient, number: number): Promise<void> {
  const head = headOf("POST /cards/slow", LINES, 1_000);
  if (number % 3 === 0) {
    const characters = [...head].slice(0, 40);
    for (const character of characters) await client.send(character);
  } else if (number % 3 === 1) {
    await client.send(headOf("GET /cards/large", LINES));
  } else {
    await client.send(head.slice(0, number % 2 === 0 ? 30 : undefined));
    await client.send(number % 2 === 0 ? "" : "x".repeat(500));
    if (number % 4 === 0) client.destroy();
  }
}

/** All crowds. Those of pieces, chunks and fields are at a path with a route and at one without. */
export const CROWDS: readonly Crowd[] = [
  {
    name: "bodies in one piece that stop short of their end",
    target: "callers",
    clients: 28,
    act: (client, number) =>
      unfinishedBody(
        number % 4 === 3 ? "/nowhere/a" : "/cards/a",
        number < 4 ? LARGEST_BODY_BYTES : 6 * MEBIBYTE,
      )(client, number),
  },
  {
    name: "bodies in small pieces that stop short of their end",
    target: "callers",
    clients: 150,
    act: bodyInPieces("/cards/a", 400),
  },
  {
    name: "bodies in chunks that stop short of their end",
    target: "callers",
    clients: 60,
    act: unfinishedChunks("/cards/a", { chunkBytes: 1_000, chunks: 2_000 }),
  },
  {
    name: "bodies in chunks of one byte",
    target: "callers",
    clients: 60,
    act: unfinishedChunks("/cards/a", { chunkBytes: 1, chunks: 1_000_000 }),
  },
  {
    name: "bodies in chunks of one byte at a path without a route",
    target: "callers",
    clients: 60,
    act: unfinishedChunks("/nowhere/a", { chunkBytes: 1, chunks: 1_000_000 }),
  },
  {
    name: "bodies far over the limit",
    target: "callers",
    clients: 30,
    knownRed: "KNOWN-RED 54: at times some MB over the limit",
    act: (client, number) =>
      number % 2 === 0
        ? unfinishedBody("/cards/a", 2_000_000_000)(client, number)
        : unfinishedChunks("/cards/a", {
          chunkBytes: 60_000,
          chunks: 1_000,
        })(client, number),
  },
  {
    name: "batches of many short items",
    target: "callers",
    clients: 10,
    act: jsonBody("/tuning/a", {
      bytes: 6_000_000,
      opening: '{"items":[',
      entry: () => '{"a":1}',
      closing: "]}",
    }),
  },
  {
    name: "batches of many short fields with different names",
    target: "callers",
    clients: 10,
    act: jsonBody("/tuning/a", {
      bytes: 6_000_000,
      opening: '{"items":[{"id":"a","path":"/tuning/a","headers":{',
      entry: (at) => `"${at.toString(36)}":""`,
      closing: '},"body":""}]}',
    }),
  },
  {
    name: "heads of many short fields",
    target: "callers",
    clients: 600,
    act: manyFields("/cards/a"),
  },
  {
    name: "heads of many short fields at a path without a route",
    target: "callers",
    clients: 600,
    act: manyFields("/nowhere/a"),
  },
  {
    name: "pipelined requests without reading",
    target: "callers",
    clients: 60,
    reads: false,
    act: pipelined(headOf("GET /cards/a", LINES)),
  },
  {
    name: "pipelined requests without reading at a path without a route",
    target: "callers",
    clients: 60,
    reads: false,
    act: pipelined(headOf("GET /nowhere/a", LINES)),
  },
  {
    name: "slow senders, slow readers and clients that stop half-way",
    target: "callers",
    clients: 180,
    reads: false,
    act: slowClient,
  },
  {
    name: "more silent connections than descriptors",
    target: "callers",
    clients: 900,
    leaves: true,
    act: (client) => client.send("GET "),
  },
  {
    name: "pipelined requests without reading",
    target: "readiness",
    clients: 60,
    reads: false,
    act: pipelined(headOf("GET /readyz", LINES)),
  },
  {
    name: "heads of many short fields",
    target: "readiness",
    clients: 600,
    act: manyFields("/readyz"),
  },
  {
    name: "bodies that stop short of their end",
    target: "readiness",
    clients: 40,
    act: unfinishedBody("/readyz", 6 * MEBIBYTE),
  },
  {
    name: "bodies in chunks of one byte",
    target: "readiness",
    clients: 60,
    act: unfinishedChunks("/readyz", { chunkBytes: 1, chunks: 1_000_000 }),
  },
  {
    name: "bodies that stop short of their end",
    target: "metrics",
    clients: 8,
    leaves: true,
    act: unfinishedBody("/metrics", 6 * MEBIBYTE),
  },
  {
    name: "heads of many short fields",
    target: "metrics",
    clients: 8,
    leaves: true,
    act: manyFields("/metrics"),
  },
  {
    name: "pipelined requests without reading",
    target: "metrics",
    clients: 8,
    reads: false,
    leaves: true,
    act: pipelined(headOf("GET /metrics", LINES)),
  },
  {
    name: "configurations of many short entries",
    target: "control",
    clients: 10,
    act: jsonBody("/config/replace", {
      bytes: 4_000_000,
      opening: '{"version":9,"services":[],"routes":[',
      entry: () => '{"a":1}',
      closing: "]}",
    }),
  },
  {
    name: "pipelined requests without reading",
    target: "control",
    clients: 60,
    reads: false,
    act: pipelined(headOf("GET /healthz", LINES)),
  },
  {
    name: "heads of many short fields",
    target: "control",
    clients: 600,
    act: manyFields("/config/replace"),
  },
  {
    name: "bodies that stop short of their end",
    target: "control",
    clients: 28,
    act: unfinishedBody("/config/replace", 6 * MEBIBYTE),
  },
  {
    name: "bodies in chunks of one byte",
    target: "control",
    clients: 60,
    act: unfinishedChunks("/config/replace", {
      chunkBytes: 1,
      chunks: 1_000_000,
    }),
  },
];
