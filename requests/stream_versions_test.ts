import assert from "node:assert/strict";
import { test } from "node:test";
import { UnlimitedPermits } from "#quotas";
import {
  readAll,
  send,
  streamUntil,
  withUpstreams,
} from "./forwarder_test_support.ts";

const STREAM = {
  kind: "stream",
  resumable: true,
  maximumAttempts: 3,
} as const;
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
