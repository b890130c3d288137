import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import type { CompletionCall, Failure } from "#core";
import type { EntryRequests } from "./entry_requests.ts";
import {
  callRoute,
  createEntry,
  listen,
  upstreamRecord,
} from "./test_entry.ts";

const TOKENS = 4;

type Fault =
  | "none"
  | "cut_after_two"
  | "foreign"
  | "answer_again"
  | "no_end_marker"
  | "hold_after_two";

interface EngineRequest {
  readonly request_id: string;
  readonly resume?: { readonly tokens: number };
}

/** A fake engine that writes raw bytes to its sockets; each request consumes one entry of `faults`. */
class FakeEngine {
  readonly server: Server;
  readonly requests: EngineRequest[] = [];
  closedEarly = 0;
  readonly #faults: Fault[];
  readonly #version: number;
  readonly #sockets = new Set<Socket>();

  constructor(version: number, faults: readonly Fault[] = []) {
    this.#version = version;
    this.#faults = [...faults];
    this.server = createServer((socket) => this.#accept(socket));
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.server.close();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    let isHeldOpen = false;
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      if (isHeldOpen) this.closedEarly += 1;
    });
    socket.on("data", (bytes) => {
      const body = bytes.toString().split("\r\n\r\n")[1] ?? "";
      if (body === "") return;
      const fault = this.#faults.shift() ?? "none";
      isHeldOpen = fault === "hold_after_two";
      this.#respond(socket, { request: JSON.parse(body), fault });
    });
  }

  #respond(
    socket: Socket,
    call: { readonly request: EngineRequest; readonly fault: Fault },
  ): void {
    const { request, fault } = call;
    this.requests.push(request);
    const id = fault === "foreign" ? "another" : request.request_id;
    const start = request.resume?.tokens ?? 0;
    const isTruncated = fault === "cut_after_two" || fault === "hold_after_two";
    const end = isTruncated ? 2 : TOKENS;
    let response = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" +
      "transfer-encoding: chunked\r\n\r\n";
    for (let tokens = start + 1; tokens <= end; tokens += 1) {
      response += httpChunk(this.#event(id, tokens));
    }
    socket.write(response);
    if (fault === "hold_after_two") return;
    if (fault === "cut_after_two") {
      socket.end();
      return;
    }
    const marker = fault === "no_end_marker" ? "" : "data: [DONE]\n\n";
    const last = (marker === "" ? "" : httpChunk(marker)) + "0\r\n\r\n";
    socket.write(last);
    if (fault === "answer_again") socket.write(response + last);
  }

  #event(id: string, tokens: number): string {
    const body = {
      id,
      model_version: this.#version,
      choices: [{
        text: id === "another" ? "foreign " : `${tokens} `,
        finish_reason: tokens === TOKENS ? "stop" : null,
      }],
      usage: { completion_tokens: tokens },
    };
    return `data: ${JSON.stringify(body)}\n\n`;
  }
}

function httpChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

async function withEngines(
  engines: readonly FakeEngine[],
  run: (entry: EntryRequests) => Promise<void>,
): Promise<void> {
  const records = [];
  for (const [index, engine] of engines.entries()) {
    await listen(engine.server);
    const role = "engine";
    records.push(upstreamRecord(`engine-${index}`, engine.server, { role }));
  }
  const entry = createEntry(records);
  entry.start();
  try {
    await run(entry);
    await entry.drain();
  } finally {
    entry.stop();
    for (const engine of engines) engine.close();
  }
}

function completion(requestId: string): CompletionCall {
  return {
    requestId,
    tenant: "tana",
    class: "drafting",
    trainer: null,
    model: "advice",
    prompt: "p",
    maximumTokens: TOKENS,
    seed: 1,
    prefixKey: "p",
    deadlineMs: Number.MAX_SAFE_INTEGER,
    minimumVersion: null,
    urgent: false,
    avoid: [],
  };
}

test("a broken stream is resumed after the received tokens and reports each model version", async () => {
  const engines = [
    new FakeEngine(4, ["cut_after_two"]),
    new FakeEngine(5, ["cut_after_two"]),
  ];
  await withEngines(engines, async (entry) => {
    const call = { ...completion("r"), deadlineMs: performance.now() + 20_000 };
    const result = await entry.completions.complete(call);
    const response = result.unwrap();
    assert.equal(response.text, "1 2 3 4 ");
    assert.equal(response.tokens, 4);
    const generatedTokens = response.runs?.reduce(
      (sum, run) => sum + run.tokens,
      0,
    );
    assert.equal(generatedTokens, 4);
    const resumed = engines.flatMap((engine) => engine.requests)
      .map((each) => each.resume?.tokens ?? 0);
    assert.equal(resumed.filter((tokens) => tokens === 0).length, 1);
    assert.ok(resumed.every((tokens) => tokens === 0 || tokens === 2));
  });
});

test("a call that resumes a partial completion forwards it to the engine and returns the complete text", async () => {
  const engine = new FakeEngine(4, []);
  await withEngines([engine], async (entry) => {
    const call = { ...completion("r"), deadlineMs: performance.now() + 20_000 };
    const runs = [{ version: 1, tokens: 2 }];
    const resume = { text: "1 2 ", tokens: 2, runs };
    const result = await entry.completions.complete(call, { resume });
    const response = result.unwrap();
    assert.equal(response.text, "1 2 3 4 ");
    assert.equal(response.tokens, 4);
    assert.deepEqual(response.runs?.[0], { version: 1, tokens: 2 });
    assert.deepEqual(engine.requests.map((each) => each.resume?.tokens), [2]);
  });
});

for (const fault of ["foreign", "answer_again", "no_end_marker"] as const) {
  test(`engine fault ${fault} never returns a wrong response to a caller`, async () => {
    const engine = new FakeEngine(4, [fault, fault]);
    await withEngines([engine], async (entry) => {
      for (const name of ["a", "b", "c"]) {
        const deadlineMs = performance.now() + 20_000;
        const call = { ...completion(name), deadlineMs };
        const result = await entry.completions.complete(call);
        if (result.ok) assert.equal(result.val.text, "1 2 3 4 ");
        else assert.notEqual(result.val.ran, "no");
      }
      const isFaulty = fault !== "answer_again";
      assert.ok(!isFaulty || engine.requests.length > 3);
    });
  });
}

test("a caller that disconnects cancels its stream at the engine", async () => {
  const engine = new FakeEngine(4, ["hold_after_two"]);
  await withEngines([engine], async (entry) => {
    const abort = new AbortController();
    const deadlineMs = performance.now() + 20_000;
    const result = await entry.completions.complete(
      { ...completion("r"), deadlineMs },
      { signal: abort.signal, onChunk: () => abort.abort() },
    );
    assert.equal(result.ok, false);
    assert.equal((result.val as Failure).kind, "cancelled");
    while (engine.closedEarly === 0) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  });
});

test("a stream that fails midway ends with an error event and an aborted response", async () => {
  const faults: readonly Fault[] = Array(5).fill("cut_after_two");
  await withEngines([new FakeEngine(4, faults)], async (entry) => {
    const response = await callRoute(entry, {
      route: "completions",
      body: Buffer.from(JSON.stringify({
        model: "advice",
        prompt: "p",
        max_tokens: TOKENS,
        stream: true,
      })),
      headers: {
        "cicadafield-tenant": "tana",
        "cicadafield-deadline-ms": "3000",
      },
    });
    let text = "";
    await assert.rejects(async () => {
      assert(typeof response.body === "object");
      for await (const chunk of response.body as AsyncIterable<string>) {
        text += chunk;
      }
    });
    assert.match(text, /event: error\ndata: .*"ran":"unknown"/);
    assert.doesNotMatch(text, /\[DONE\]/);
  });
});
