import assert from "node:assert/strict";
import { test } from "node:test";
import type { OwnCall } from "./upstream_dialect.ts";
import { UnlimitedPermits } from "#quotas";
import {
  type Behaviour,
  readAll,
  send,
  STREAM,
  streamUntil,
  withUpstreams,
} from "./forwarder_test_support.ts";
import { TestDialect } from "./test_dialect.ts";

const IDENTITY_TARGET = "/who";

/** Upstreams tell their start, which is 1 for those that are known. */
class TellingDialect extends TestDialect {
  override identityCall(): OwnCall {
    return { method: "GET", target: IDENTITY_TARGET, headers: ["Host", "u"] };
  }

  override readBornMs(body: Uint8Array): number | null {
    const text = new TextDecoder().decode(body);
    return text === "" ? null : Number(text);
  }
}

const SITE = {
  limits: [],
  permits: new UnlimitedPermits(),
  dialect: new TellingDialect(),
};

/** Tells its start, and streams. */
function telling(bornMs: number | null, stream: Behaviour): Behaviour {
  return (request, response) => {
    if (request.url !== IDENTITY_TARGET) return stream(request, response);
    response.end(bornMs === null ? "" : String(bornMs));
  };
}

test("a stream neither begins nor goes on at an upstream that has started again under its identifier", async () => {
  const behaviours = [
    telling(2, streamUntil(-1)),
    telling(1, streamUntil(2)),
    telling(2, streamUntil(-1)),
    telling(1, streamUntil(-1)),
  ];
  await withUpstreams(behaviours, async (setup) => {
    const response = await send(setup, STREAM);
    assert.ok("status" in response);
    const text = await readAll(response);
    assert.equal([...text.matchAll(/id: \d/g)].length, 4);
    // The first and the third were asked only.
    assert.deepEqual(setup.reached, [1, 2, 1, 2]);
  }, SITE);
});

test("an upstream that is another one now is rejected as not run", async () => {
  await withUpstreams([telling(2, streamUntil(-1))], async (setup) => {
    const failure = await send(setup, STREAM);
    assert.ok("kind" in failure);
    assert.equal(failure.ran, "no");
    assert.deepEqual(setup.reached, [1]);
  }, SITE);
});

test("streams one after the other use one connection, whose upstream is asked once", async () => {
  const sockets = new Set<unknown>();
  const counted: Behaviour = (request, response) => {
    sockets.add(request.socket);
    telling(1, streamUntil(-1))(request, response);
  };
  await withUpstreams([counted], async (setup) => {
    for (let sent = 0; sent < 3; sent += 1) {
      const response = await send(setup, STREAM);
      assert.ok("status" in response);
      await readAll(response);
    }
    assert.equal(sockets.size, 1);
    assert.deepEqual(setup.reached, [4]);
  }, SITE);
});

test("a connection that no stream uses is closed soon, since upstreams accept few from all VMs together", async () => {
  const open = new Set<unknown>();
  const counted: Behaviour = (request, response) => {
    const { socket } = request;
    open.add(socket);
    socket.once("close", () => open.delete(socket));
    telling(1, streamUntil(-1))(request, response);
  };
  await withUpstreams([counted], async (setup) => {
    const response = await send(setup, STREAM);
    assert.ok("status" in response);
    await readAll(response);
    assert.equal(open.size, 1);
    setup.clock.advance(1_000);
    while (open.size > 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }, SITE);
});

test("a connection that was closed is not replaced by one to whoever is at the address now", async () => {
  let bornMs = 1;
  let streams = 0;
  const changing: Behaviour = (request, response) => {
    // As a process that ends after its first stream, and another one that starts.
    if (request.url !== IDENTITY_TARGET) {
      bornMs = 2;
      streams += 1;
    }
    response.setHeader("Connection", bornMs === 2 ? "close" : "keep-alive");
    telling(bornMs, streamUntil(-1))(request, response);
  };
  await withUpstreams([changing], async (setup) => {
    const response = await send(setup, STREAM);
    assert.ok("status" in response);
    await readAll(response);
    const failure = await send(setup, STREAM);
    assert.ok("kind" in failure);
    assert.equal(failure.ran, "no");
    assert.equal(streams, 1);
  }, SITE);
});

test("streams of an upstream that doesn't tell its start go on at others while it accepts connections", async () => {
  const behaviours = [
    telling(null, streamUntil(2)),
    telling(null, streamUntil(-1)),
  ];
  await withUpstreams(behaviours, async (setup) => {
    const response = await send(setup, STREAM);
    assert.ok("status" in response);
    const text = await readAll(response);
    assert.equal([...text.matchAll(/id: \d/g)].length, 4);
  }, SITE);
});

test("a stream is served, though not to be taken up, by an upstream that closes each connection", async () => {
  const closing: Behaviour = (request, response) => {
    response.setHeader("Connection", "close");
    telling(1, streamUntil(-1))(request, response);
  };
  await withUpstreams([closing], async (setup) => {
    const response = await send(setup, STREAM);
    assert.ok("status" in response);
    const text = await readAll(response);
    assert.equal([...text.matchAll(/id: \d/g)].length, 4);
  }, SITE);
});
