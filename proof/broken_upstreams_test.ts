import assert from "node:assert/strict";
import { test } from "node:test";
import { MEBIBYTE, type RouteRule } from "#core";
import {
  callThrough,
  chunkOf,
  eventsOf,
  responseBytes,
  type Script,
} from "./scripted_upstream.ts";

const BODY = "hello world!";
const STREAM: Partial<RouteRule> = { kind: "stream", resumable: true };
const CHUNKED = ["Transfer-Encoding: chunked"];
const EVENTS = ["Content-Type: text/event-stream", ...CHUNKED];
const WITHOUT_LENGTH = ["Content-Type: text/event-stream", "Connection: close"];
const ENDS = ["close", "reset", "reset_at_once"] as const;

/** Two events of a stream, and then the end of the connection. */
const BROKEN_STREAM: Script = {
  bytes: responseBytes({ headers: EVENTS, body: chunkOf(eventsOf(1, 2)) }),
  end: "close",
};
const REST_OF_STREAM: Script = {
  bytes: responseBytes({
    headers: EVENTS,
    body: chunkOf(eventsOf(3, 4)) + "0\r\n\r\n",
  }),
  end: "close",
};

/** Responses of a second upstream that are not the rest of a stream. */
const ERRORS: Readonly<Record<string, string>> = {
  "an error with text": responseBytes({
    status: "500 Internal Server Error",
    headers: ["Content-Length: 5"],
    body: "sorry",
  }),
  "an error without a body": responseBytes({
    status: "500 Internal Server Error",
    headers: ["Content-Length: 0"],
    body: "",
  }),
  "an error that looks like an event": responseBytes({
    status: "500 Internal Server Error",
    headers: EVENTS,
    body: chunkOf("id: 3\ndata: sorry\n\n") + "0\r\n\r\n",
  }),
  "an error that ends with an empty line": responseBytes({
    status: "502 Bad Gateway",
    headers: ["Content-Length: 7"],
    body: "sorry\n\n",
  }),
  "an error without a length": responseBytes({
    status: "503 Service Unavailable",
    headers: ["Connection: close"],
    body: "id: 3\ndata: sorry\n\n",
  }),
  "a rejection of the client": responseBytes({
    status: "404 Not Found",
    headers: ["Content-Length: 0"],
    body: "",
  }),
  "a success without a stamp": responseBytes({
    headers: EVENTS,
    stamp: false,
    body: chunkOf("id: 3\ndata: sorry\n\n") + "0\r\n\r\n",
  }),
};

for (const [name, bytes] of Object.entries(ERRORS)) {
  test(`${name} of the next upstream gets neither into a stream that broke off, nor ends it as complete`, async () => {
    const error: Script = { bytes, end: "close" };
    const last = await callThrough([BROKEN_STREAM, error], STREAM);
    assert.equal(last.status, 200);
    assert.equal(last.body, eventsOf(1, 2));
    assert.equal(last.isComplete, false);
    const scripts = [BROKEN_STREAM, error, REST_OF_STREAM];
    const resumed = await callThrough(scripts, STREAM);
    assert.equal(resumed.body, eventsOf(1, 4));
    assert.equal(resumed.isComplete, true);
  });
}

test("a head of the next upstream that is cut at any byte neither gets into a stream nor ends it", async () => {
  const head = responseBytes({ headers: WITHOUT_LENGTH, body: "" });
  for (const end of ENDS) {
    for (let cut = 0; cut <= head.length; cut += 1) {
      const bytes = head.slice(0, cut);
      const received = await callThrough(
        [BROKEN_STREAM, { bytes, end }],
        STREAM,
      );
      const where = `${end} after byte ${cut} of ${head.length}`;
      assert.equal(received.body, eventsOf(1, 2), where);
      // A response without a length that ends cleanly after its head is the rest of a stream without further events.
      const isRest = end === "close" && cut === head.length;
      assert.equal(received.isComplete, isRest, where);
    }
  }
});

test("a stream without a length that ends before its first event is not complete", async () => {
  const bytes = responseBytes({ headers: WITHOUT_LENGTH, body: "" });
  for (const end of ENDS) {
    const received = await callThrough([{ bytes, end }], STREAM);
    assert.equal(received.body, "");
    assert.equal(received.isComplete, false);
  }
});

test("a stream without a length that is reset or ends within an event is not complete", async () => {
  const whole = eventsOf(1, 3);
  for (let cut = 1; cut <= whole.length; cut += 1) {
    for (const end of ENDS) {
      const isBetweenEvents = whole.slice(0, cut).endsWith("\n\n");
      if (end === "close" && isBetweenEvents) continue;
      const body = whole.slice(0, cut);
      const bytes = responseBytes({ headers: WITHOUT_LENGTH, body });
      const received = await callThrough([{ bytes, end }], STREAM);
      const where = `${end} after byte ${cut}`;
      assert.equal(received.isComplete, false, where);
      assert.ok(whole.startsWith(received.body), where);
      assert.match(received.body, /^(id: \d+\ndata: d\d+\n\n)*$/, where);
    }
  }
});

const RESPONSES: Readonly<Record<string, string>> = {
  "with a length": responseBytes({
    headers: [`Content-Length: ${BODY.length}`],
    body: BODY,
  }),
  "in chunks": responseBytes({
    headers: CHUNKED,
    body: chunkOf(BODY) + "0\r\n\r\n",
  }),
  "without a length": responseBytes({
    headers: ["Connection: close"],
    body: BODY,
  }),
};

for (const [name, whole] of Object.entries(RESPONSES)) {
  for (const kind of ["idempotent", "once"] as const) {
    test(`a response ${name} that is cut at any byte never reaches the caller of a call of kind ${kind} as a success`, async () => {
      const bodyAt = whole.indexOf("\r\n\r\n") + 4;
      for (const end of ENDS) {
        for (let cut = 0; cut < whole.length; cut += 1) {
          // A clean end is the end of a response without a length.
          const endsCleanly = name === "without a length" && end === "close" &&
            cut >= bodyAt;
          if (endsCleanly) continue;
          const bytes = whole.slice(0, cut);
          const received = await callThrough([{ bytes, end }], { kind });
          const where = `${end} after byte ${cut} of ${whole.length}`;
          assert.ok(received.status >= 500, where);
          assert.equal(received.isComplete, true, where);
          assert.doesNotMatch(received.headers, /x-stamp/i, where);
        }
      }
    });
  }
}

const LONG_UPLOAD_BYTES = 4 * MEBIBYTE;
const EARLY_RESPONSES = 20;

for (const kind of ["idempotent", "once"] as const) {
  // Guards against a part of an early response to a long upload that reaches a caller as the whole.
  test(`a long upload of kind ${kind} whose upstream responds at once without a length and resets is answered with a failure`, async () => {
    const bytes = responseBytes({
      headers: ["Connection: close"],
      body: BODY,
    });
    const script: Script = { bytes, end: "reset_at_once" };
    for (let run = 0; run < EARLY_RESPONSES; run += 1) {
      const received = await callThrough([script], { kind }, LONG_UPLOAD_BYTES);
      assert.ok(received.status >= 500, `run ${run}: ${received.status}`);
      assert.doesNotMatch(received.headers, /x-stamp/i);
    }
  });
}

// Guards against an early rejection of a long upload that is lost together with the rest of the upload.
test("an early error without a length, after which the upstream reads on, reaches the caller of a long upload", async () => {
  const bytes = responseBytes({
    status: "413 Payload Too Large",
    headers: ["Connection: close"],
    body: BODY,
  });
  const script: Script = { bytes, end: "close" };
  for (let run = 0; run < EARLY_RESPONSES; run += 1) {
    const received = await callThrough(
      [script],
      { kind: "once" },
      LONG_UPLOAD_BYTES,
    );
    assert.equal(received.status, 413);
    assert.equal(received.body, BODY);
  }
});
