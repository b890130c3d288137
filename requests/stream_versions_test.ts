import assert from "node:assert/strict";
import { test } from "node:test";
import type { Failure, HttpResponse } from "#core";
import { UnlimitedPermits } from "#quotas";
import { type OriginAnswer, type StreamOrigin, StreamOrigins } from "#streams";
import {
  type Behaviour,
  createCall,
  type ForwarderSetup,
  readAll,
  ROUTE,
  send,
  STREAM,
  streamUntil,
  withUpstreams,
} from "./forwarder_test_support.ts";

/** Streams that began at known versions. */
class KnownOrigins extends StreamOrigins {
  readonly noted: (StreamOrigin & { readonly attempt: string })[] = [];
  readonly #versions: Readonly<Record<string, string>>;

  constructor(versions: Readonly<Record<string, string>> = {}) {
    super();
    this.#versions = versions;
  }

  override note(attempt: string, origin: StreamOrigin): void {
    this.noted.push({ attempt, ...origin });
  }

  override find(attempt: string): Promise<OriginAnswer> {
    const softwareVersion = this.#versions[attempt];
    if (softwareVersion === undefined) {
      const reason = "nobody was told";
      return Promise.resolve({
        kind: "unknown",
        reason,
        mayBecomeKnown: false,
      });
    }
    const origin = { service: "cards", softwareVersion };
    return Promise.resolve({ kind: "known", origin, source: "c", ageMs: 5 });
  }
}

/** Takes up a stream of which the caller has events 0 and 1. */
function takeUp(
  setup: ForwarderSetup,
  attempt: string | null,
): Promise<HttpResponse | Failure> {
  const headers = {
    ...(attempt === null ? {} : { "x-resumes": attempt }),
    "x-after": "1",
  };
  return setup.forwarder.forward({
    call: { ...createCall(), headers },
    route: { ...ROUTE, ...STREAM },
    requestId: "r2",
    deadlineMs: setup.clock.nowMs() + 2_000,
  });
}

const UNLIMITED = { limits: [], permits: new UnlimitedPermits() };

test("a stream that breaks off goes on at the software version that began it, never at another", async () => {
  const behaviours = [streamUntil(2), streamUntil(-1), streamUntil(-1)];
  const softwareVersions = ["v1", "v2", "v1"];
  const site = { ...UNLIMITED, softwareVersions };
  await withUpstreams(behaviours, async (setup) => {
    const response = await send(setup, STREAM);
    assert.ok("status" in response);
    const text = await readAll(response);
    assert.equal([...text.matchAll(/id: \d/g)].length, 4);
    assert.deepEqual(setup.reached, [1, 0, 1]);
    const [passedOn] = setup.events.records();
    assert.equal(passedOn?.event.code, 1510);
    assert.equal(passedOn?.fields["softwareVersion"], "v1");
    assert.equal(passedOn?.fields["next"], "u2:1");
  }, site);
});

test("a stream breaks off at once if no other upstream has the version that began it, or if that is not known", async () => {
  for (const first of ["v1", null]) {
    const behaviours = [streamUntil(2), streamUntil(-1)];
    const softwareVersions = [first, first === null ? null : "v2"];
    const site = { ...UNLIMITED, softwareVersions };
    await withUpstreams(behaviours, async (setup) => {
      const response = await send(setup, STREAM);
      assert.ok("status" in response);
      await assert.rejects(readAll(response));
      assert.deepEqual(setup.reached, [1, 0]);
    }, site);
  }
});

test("a stream that broke off before its first event may begin at any software version", async () => {
  const site = { ...UNLIMITED, softwareVersions: ["v1", "v2"] };
  await withUpstreams([streamUntil(0), streamUntil(-1)], async (setup) => {
    const response = await send(setup, STREAM);
    assert.ok("status" in response);
    const text = await readAll(response);
    assert.equal([...text.matchAll(/id: \d/g)].length, 4);
  }, site);
});

test("the origin of a stream is told before its first event, once, and again when it is taken up", async () => {
  const origins = new KnownOrigins({ a1: "v1" });
  const site = { ...UNLIMITED, origins };
  await withUpstreams([streamUntil(-1)], async (setup) => {
    const begun = await send(setup, STREAM);
    assert.ok("status" in begun);
    const events = (begun.body as AsyncIterable<string>)
      [Symbol.asyncIterator]();
    await events.next();
    const first = { attempt: "r1", service: "cards", softwareVersion: "v1" };
    assert.deepEqual(origins.noted, [first]);
    while ((await events.next()).done !== true);
    const goesOn = await takeUp(setup, "a1");
    assert.ok("status" in goesOn);
    const text = await readAll(goesOn);
    assert.deepEqual([...text.matchAll(/id: (\d)/g)].map((each) => each[1]), [
      "2",
      "3",
    ]);
    assert.deepEqual(origins.noted, [first, { ...first, attempt: "a1" }]);
  }, site);
});

test("a stream is taken up at the version that began it only, and rejected as not run without an upstream of it", async () => {
  const origins = new KnownOrigins({ a1: "v1", a2: "v2", a3: "v3" });
  const softwareVersions = ["v1", "v2"];
  const site = { ...UNLIMITED, origins, softwareVersions };
  await withUpstreams([streamUntil(-1), streamUntil(-1)], async (setup) => {
    for (
      const [attempt, reached] of [["a1", [1, 0]], ["a2", [1, 1]]] as const
    ) {
      const response = await takeUp(setup, attempt);
      assert.ok("status" in response);
      await readAll(response);
      assert.deepEqual(setup.reached, reached);
    }
    const failure = await takeUp(setup, "a3");
    assert.ok("kind" in failure);
    assert.equal(failure.kind, "no_upstream");
    assert.equal(failure.ran, "no");
    assert.equal(failure.retryAfterMs, undefined);
    assert.deepEqual(setup.reached, [1, 1]);
  }, site);
});

test("a stream of unknown origin is not taken up, though one version only is known", async () => {
  const site = { ...UNLIMITED, origins: new KnownOrigins() };
  await withUpstreams([streamUntil(-1)], async (setup) => {
    for (const attempt of ["a1", null]) {
      const failure = await takeUp(setup, attempt);
      assert.ok("kind" in failure);
      assert.equal(failure.kind, "stream_origin_unknown");
      assert.equal(failure.ran, "no");
    }
    assert.deepEqual(setup.reached, [0]);
    const logged = setup.events.records().filter(({ event }) =>
      event.code === 1509
    );
    assert.deepEqual(logged.map((each) => each.fields["outcome"]), [
      "refused",
      "refused",
    ]);
  }, site);
});

test("streams that run at the same time are spread over the upstreams of a service", async () => {
  const starting: Behaviour = (request, response) => {
    response.setHeader("X-Id", String(request.headers["x-id"]));
    response.setHeader("X-Stamp", "s");
    response.write("id: 0\ndata: 0\n\n");
  };
  await withUpstreams([starting, starting, starting], async (setup) => {
    const abort = new AbortController();
    for (let sent = 0; sent < 9; sent += 1) {
      const response = await send(setup, STREAM, abort.signal);
      assert.ok("status" in response);
    }
    for (const reached of setup.reached) assert.ok(reached >= 2);
    abort.abort();
  }, UNLIMITED);
});
