import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { isFailure, type UpstreamRecord } from "#core";
import {
  callForResult,
  createClaimsControl,
  createEntry,
  listen,
  readBody,
  upstreamRecord,
} from "./test_entry.ts";

const FAULTS = [
  "none",
  "refused",
  "reset_before_execution",
  "reset_after_execution",
  "half_head",
  "short_body",
  "unmarked_end",
  "doubled_answer",
  "too_large",
  "frozen",
] as const;

type Fault = typeof FAULTS[number];

/** A fake service on raw sockets that counts its executions; only its first connection is faulty. */
class FakeService {
  readonly server: Server;
  executions = 0;
  connections = 0;
  readonly #fault: Fault;
  readonly #sockets = new Set<Socket>();

  constructor(fault: Fault) {
    this.#fault = fault;
    this.server = createServer((socket) => this.#accept(socket));
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.server.close();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    this.connections += 1;
    const fault = this.connections === 1 ? this.#fault : "none";
    socket.on("error", () => socket.destroy());
    let received = "";
    socket.on("data", (bytes) => {
      received += bytes.toString();
      if (!received.endsWith("card")) return;
      received = "";
      this.#respond(socket, fault);
    });
  }

  #respond(socket: Socket, fault: Fault): void {
    if (fault === "frozen") return;
    if (fault === "reset_before_execution") {
      socket.resetAndDestroy();
      return;
    }
    this.executions += 1;
    const body = `card ${this.executions}`;
    const head = "HTTP/1.1 201 Created\r\ncontent-type: text/plain\r\n";
    const whole = `${head}content-length: ${body.length}\r\n\r\n${body}`;
    switch (fault) {
      case "reset_after_execution":
        socket.resetAndDestroy();
        return;
      case "half_head":
        socket.end("HTTP/1.1 201 Cre");
        return;
      case "short_body":
        socket.end(`${head}content-length: 500\r\n\r\n${body}`);
        return;
      case "unmarked_end":
        socket.end(`${head}connection: close\r\n\r\n${body}`);
        return;
      case "doubled_answer":
        socket.write(whole + whole.replace("card", "CARD"));
        return;
      case "too_large":
        socket.write(`${head}content-length: 70000\r\n\r\n`);
        socket.write("x".repeat(70_000));
        return;
      default:
        socket.write(whole);
    }
  }
}

const SAVE_DEADLINE_MS = 3_000;

interface Session {
  readonly first: string;
  readonly second: string;
  readonly executions: number;
}

/** Saves a job card with an idempotency key through one entry, then repeats the request through another. */
async function runKeyedSession(fault: Fault): Promise<Session> {
  const service = new FakeService(fault);
  await listen(service.server);
  const upstream = upstreamRecord("cards-1", service.server, {
    role: "service",
  });
  const closed = { ...upstream, address: { ...upstream.address, port: 1 } };
  const control = createClaimsControl();
  const first = createEntry([fault === "refused" ? closed : upstream], control);
  const second = createEntry([upstream], control);
  first.start();
  second.start();
  try {
    const firstOutcome = await save(first, "key-1");
    const secondOutcome = await save(second, "key-1");
    await Promise.all([first.drain(), second.drain()]);
    return {
      first: firstOutcome,
      second: secondOutcome,
      executions: service.executions,
    };
  } finally {
    first.stop();
    second.stop();
    service.close();
  }
}

async function save(
  entry: ReturnType<typeof createEntry>,
  key: string,
): Promise<string> {
  const response = await callForResult(entry, {
    route: "services",
    path: "/services/cards/save",
    target: "",
    rawHeaders: [],
    parameters: { service: "cards", path: "save" },
    headers: {
      "cicadafield-tenant": "tana",
      "cicadafield-deadline-ms": String(SAVE_DEADLINE_MS),
      "idempotency-key": key,
    },
    body: Buffer.from("card"),
  });
  if (isFailure(response)) return `${response.kind}, ran ${response.ran}`;
  return `${response.status} ${await readBody(response)}, ran ${
    response.headers["cicadafield-ran"]
  }`;
}

const SAVED = "201 card 1, ran yes";
const OUTCOME_UNKNOWN = "outcome_unknown, ran unknown";

const EXPECTED_SESSIONS: Readonly<Record<Fault, Session>> = {
  none: { first: SAVED, second: SAVED, executions: 1 },
  refused: { first: "upstream_refused, ran no", second: SAVED, executions: 1 },
  reset_before_execution: {
    first: "upstream_failed, ran unknown",
    second: OUTCOME_UNKNOWN,
    executions: 0,
  },
  reset_after_execution: {
    first: "upstream_failed, ran unknown",
    second: OUTCOME_UNKNOWN,
    executions: 1,
  },
  half_head: {
    first: "upstream_failed, ran unknown",
    second: OUTCOME_UNKNOWN,
    executions: 1,
  },
  short_body: {
    first: "short_answer, ran unknown",
    second: OUTCOME_UNKNOWN,
    executions: 1,
  },
  unmarked_end: {
    first: "short_answer, ran unknown",
    second: OUTCOME_UNKNOWN,
    executions: 1,
  },
  doubled_answer: { first: SAVED, second: SAVED, executions: 1 },
  too_large: {
    first: "answer_too_large, ran yes",
    second: OUTCOME_UNKNOWN,
    executions: 1,
  },
  frozen: {
    first: "deadline_passed, ran unknown",
    second: OUTCOME_UNKNOWN,
    executions: 0,
  },
};

for (const fault of FAULTS) {
  test(`a job card saved twice under one key has the expected outcomes with fault ${fault}`, async () => {
    assert.deepEqual(await runKeyedSession(fault), EXPECTED_SESSIONS[fault]);
  });
}

test("a non-repeatable call never uses a connection that served another", async () => {
  const service = new FakeService("none");
  await listen(service.server);
  const upstream = upstreamRecord("cards-1", service.server, {
    role: "service",
  });
  const entry = createEntry([upstream]);
  entry.start();
  try {
    assert.equal(await save(entry, "key-1"), "201 card 1, ran yes");
    assert.equal(await save(entry, "key-2"), "201 card 2, ran yes");
    assert.equal(service.connections, 2);
  } finally {
    entry.stop();
    service.close();
  }
});

test("an idempotency key reused with another body is rejected as a conflict without running", async () => {
  const service = new FakeService("none");
  await listen(service.server);
  const upstream = upstreamRecord("cards-1", service.server, {
    role: "service",
  });
  const entry = createEntry([upstream]);
  entry.start();
  try {
    await save(entry, "key-1");
    const other = await callForResult(entry, {
      route: "services",
      path: "/services/cards/save",
      target: "",
      rawHeaders: [],
      parameters: { service: "cards", path: "save" },
      headers: { "cicadafield-tenant": "tana", "idempotency-key": "key-1" },
      body: Buffer.from("another card"),
    });
    assert(isFailure(other));
    assert.equal(other.kind, "conflict");
    assert.equal(other.ran, "no");
    assert.equal(service.executions, 1);
  } finally {
    entry.stop();
    service.close();
  }
});

test("missing or contradictory headers are rejected before anything runs", async () => {
  const upstreams: readonly UpstreamRecord[] = [];
  const entry = createEntry(upstreams);
  const tenant = { "cicadafield-tenant": "tana" };
  const cases: readonly (readonly [Record<string, string>, string])[] = [
    [{}, "missing_header"],
    [{ "cicadafield-tenant": "nobody" }, "unknown_tenant"],
    [{ ...tenant, "cicadafield-class": "x" }, "unknown_class"],
    [{ ...tenant, "cicadafield-deadline-ms": "1, 2" }, "conflicting_headers"],
    [{ ...tenant, "cicadafield-deadline-ms": "-5" }, "malformed_request"],
    [{ ...tenant, "idempotency-key": "" }, "malformed_request"],
    [tenant, "no_upstream"],
  ];
  for (const [headers, kind] of cases) {
    const response = await callForResult(entry, {
      route: "services",
      path: "/services/cards/save",
      target: "",
      rawHeaders: [],
      parameters: { service: "cards", path: "save" },
      headers,
    });
    assert(isFailure(response));
    assert.equal(response.kind, kind);
    assert.equal(response.ran, "no");
  }
});
