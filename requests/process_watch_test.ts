import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { type FleetUpstream, type Milliseconds, VirtualClock } from "#core";
import { ProcessWatch } from "./process_watch.ts";

const TICK_MS: Milliseconds = 100;

/** A process that accepts connections at an address. */
class Process {
  readonly sockets: Socket[] = [];
  readonly #server: Server = createServer((socket) => {
    this.sockets.push(socket);
    // The other side resets what it closes.
    socket.on("error", () => {});
  });

  start(port = 0): Promise<void> {
    return new Promise((resolve) =>
      this.#server.listen({ host: "127.0.0.1", port }, resolve)
    );
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async end(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

function upstreamAt(port: number, bornMs = 1): FleetUpstream {
  return {
    id: "u",
    bornMs,
    sequence: 1,
    service: "cards",
    zone: "here",
    address: { host: "127.0.0.1", port },
    slots: 4,
    phase: "ready",
    serves: [],
  };
}

/** Lets time pass for the watch and for its connections. */
async function pass(clock: VirtualClock, ms: Milliseconds): Promise<void> {
  for (let at = 0; at < ms; at += TICK_MS) {
    clock.advance(TICK_MS);
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

async function withWatch(
  use: (world: {
    readonly clock: VirtualClock;
    readonly watch: ProcessWatch;
    readonly first: Process;
    readonly setOutOfDate: (value: boolean) => void;
  }) => Promise<void>,
): Promise<void> {
  const clock = new VirtualClock();
  let isOutOfDate = false;
  const watch = new ProcessWatch({ clock, isOutOfDate: () => isOutOfDate });
  const first = new Process();
  await first.start();
  try {
    await pass(clock, 500);
    await use({
      clock,
      watch,
      first,
      setOutOfDate: (value) => {
        isOutOfDate = value;
      },
    });
  } finally {
    watch.close();
    await first.end();
  }
}

// Guards against a worker that starts again at once under its identifier and is taken for the one of the last heartbeat.
test("an upstream whose process ended is not believed until its heartbeats must be those of the new one", async () => {
  await withWatch(async ({ clock, watch, first }) => {
    const { port } = first;
    const upstream = upstreamAt(port);
    watch.attend(upstream);
    assert.equal(await watch.isUnchanged(upstream), true);
    await pass(clock, 3_000);
    await first.end();
    const second = new Process();
    await second.start(port);
    try {
      assert.equal(await watch.isUnchanged(upstream), false);
      await pass(clock, 5_000);
      assert.equal(await watch.isUnchanged(upstream), false);
      const newer = upstreamAt(port, 2);
      watch.attend(newer);
      assert.equal(await watch.isUnchanged(newer), true);
      assert.equal(await watch.isUnchanged(upstream), false);
    } finally {
      await second.end();
    }
  });
});

test("an upstream that closes idle connections one after the other stays known", async () => {
  await withWatch(async ({ clock, watch, first }) => {
    const upstream = upstreamAt(first.port);
    watch.attend(upstream);
    for (let at = 0; at < 6; at += 1) {
      await pass(clock, 2_000);
      first.sockets.at(-2)?.end();
      await pass(clock, TICK_MS);
      assert.equal(await watch.isUnchanged(upstream), true, `close ${at}`);
    }
    assert.ok(first.sockets.length >= 4);
  });
});

test("an upstream whose connections were all closed is believed again after its heartbeats went on for some seconds", async () => {
  await withWatch(async ({ clock, watch, first }) => {
    const upstream = upstreamAt(first.port);
    watch.attend(upstream);
    await pass(clock, 2_000);
    for (const socket of first.sockets) socket.destroy();
    await pass(clock, 7_000);
    assert.equal(await watch.isUnchanged(upstream), false);
    assert.equal(watch.mayHaveChanged(upstream), true);
    await pass(clock, 2_000);
    assert.equal(await watch.isUnchanged(upstream), true);
  });
});

// Guards against a VM that stood still, or was cut off, and believes what it hears late.
test("a VM out of step does not believe the first connection to an incarnation that it hears of", async () => {
  for (const outOfStep of ["standstill", "cut off"]) {
    await withWatch(async ({ clock, watch, first, setOutOfDate }) => {
      const upstream = upstreamAt(first.port);
      if (outOfStep === "standstill") clock.standStill(1_200);
      else setOutOfDate(true);
      watch.attend(upstream);
      assert.equal(await watch.isUnchanged(upstream), false, outOfStep);
      setOutOfDate(false);
      await pass(clock, 9_000);
      assert.equal(await watch.isUnchanged(upstream), true, outOfStep);
    });
  }
});
