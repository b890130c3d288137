import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "#core";
import { startKeepalive } from "./connection_keepalive.ts";

interface KeepaliveFixture {
  readonly clock: VirtualClock;
  readonly socket: { bytesRead: number; connecting: boolean };
  readonly counts: { pings: number; silent: number };
}

function startFixture(): KeepaliveFixture {
  const clock = new VirtualClock();
  const socket = { bytesRead: 0, connecting: false };
  const counts = { pings: 0, silent: 0 };
  startKeepalive(socket, {
    clock,
    ping: () => counts.pings += 1,
    onUnresponsive: () => counts.silent += 1,
  });
  return { clock, socket, counts };
}

test("a connection whose peer answers pings stays open, and one whose peer does not is reported", () => {
  const { clock, socket, counts } = startFixture();
  clock.advance(600);
  assert.deepEqual(counts, { pings: 1, silent: 0 });
  socket.bytesRead += 10;
  clock.advance(600);
  assert.deepEqual(counts, { pings: 1, silent: 0 });
  clock.advance(600);
  assert.deepEqual(counts, { pings: 2, silent: 0 });
  clock.advance(600);
  assert.deepEqual(counts, { pings: 2, silent: 1 });
});

test("a connection that receives data is not pinged", () => {
  const { clock, socket, counts } = startFixture();
  for (let turn = 0; turn < 10; turn += 1) {
    socket.bytesRead += 1;
    clock.advance(600);
  }
  assert.deepEqual(counts, { pings: 0, silent: 0 });
});

test("a connection that is still being established is not reported as unresponsive", () => {
  const { clock, socket, counts } = startFixture();
  socket.connecting = true;
  clock.advance(6_000);
  assert.deepEqual(counts, { pings: 0, silent: 0 });
});
