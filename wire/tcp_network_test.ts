import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { type Address, MemoryEventLog, Ok, SystemClock } from "#core";
import { TcpNetwork } from "./tcp_network.ts";

function network(
  name: string,
  options: { cluster: string; addresses: ReadonlyMap<string, Address> },
): TcpNetwork {
  return new TcpNetwork({
    cluster: options.cluster,
    self: name,
    listen: options.addresses.get(name) ?? { host: "127.0.0.1", port: 0 },
    clock: new SystemClock(),
    events: new MemoryEventLog(),
    resolve: (vm) => options.addresses.get(vm),
  });
}

test("a request receives its peer's reply, and a peer of another cluster receives none", async () => {
  const addresses = new Map([
    ["a", { host: "127.8.0.1", port: 17_101 }],
    ["b", { host: "127.8.0.2", port: 17_101 }],
    ["c", { host: "127.8.0.3", port: 17_101 }],
  ]);
  const a = network("a", { cluster: "one", addresses });
  const b = network("b", { cluster: "one", addresses });
  const c = network("c", { cluster: "two", addresses });
  b.onRequest("control", (from, body) => Promise.resolve(Ok({ from, body })));
  await Promise.all([a.listen(), b.listen(), c.listen()]);
  try {
    const options = { to: "b", channel: "control", timeoutMs: 5_000 } as const;
    const reply = await a.request(options, { n: 7 });
    assert.deepEqual(reply.val, { from: "a", body: { n: 7 } });
    const foreign = await c.request(options, {});
    assert.equal(foreign.ok, false);
  } finally {
    for (const each of [a, b, c]) each.close();
  }
});

test("data that a peer does not read counts as unsent", async () => {
  const silent = createServer((socket) => socket.pause());
  await new Promise<void>((resolve) =>
    silent.listen({ host: "127.8.0.4", port: 17_101 }, resolve)
  );
  const addresses = new Map([
    ["d", { host: "127.8.0.5", port: 17_101 }],
    ["silent", { host: "127.8.0.4", port: 17_101 }],
  ]);
  const d = network("d", { cluster: "one", addresses });
  try {
    assert.deepEqual(d.unsent(), { connections: 0, bytes: 0 });
    const body = Buffer.alloc(4_000_000);
    d.notify({ to: "silent", channel: "control" }, body);
    const { connections, bytes } = d.unsent();
    assert.equal(connections, 1);
    assert.ok(bytes >= body.length);
  } finally {
    d.close();
    silent.close();
  }
});
