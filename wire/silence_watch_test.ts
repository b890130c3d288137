import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "#core";
import { watchSilence } from "./silence_watch.ts";

interface Watched {
  readonly clock: VirtualClock;
  readonly socket: { bytesRead: number; connecting: boolean };
  readonly counts: { pings: number; silent: number };
}

function watched(): Watched {
  const clock = new VirtualClock();
  const socket = { bytesRead: 0, connecting: false };
  const counts = { pings: 0, silent: 0 };
  watchSilence(socket, {
    clock,
    ping: () => counts.pings += 1,
    onSilent: () => counts.silent += 1,
  });
  return { clock, socket, counts };
}

test("a connection that answers pings stays, and one that does not is reported", () => {
  const { clock, socket, counts } = watched();
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

test("a connection on which something arrives is not pinged", () => {
  const { clock, socket, counts } = watched();
  for (let turn = 0; turn < 10; turn += 1) {
    socket.bytesRead += 1;
    clock.advance(600);
  }
  assert.deepEqual(counts, { pings: 0, silent: 0 });
});

test("a connection that is being made is not taken for silent", () => {
  const { clock, socket, counts } = watched();
  socket.connecting = true;
  clock.advance(6_000);
  assert.deepEqual(counts, { pings: 0, silent: 0 });
});
