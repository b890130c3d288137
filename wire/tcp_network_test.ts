import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import { test } from "node:test";
import {
  type Address,
  type Failure,
  loopbackHost,
  MEBIBYTE,
  MemoryEventLog,
  Ok,
  SystemClock,
} from "#core";
import { encodeFrame, FrameDecoder, MAXIMUM_FRAME_BYTES } from "./frame.ts";
import { TcpNetwork } from "./tcp_network.ts";

const MAXIMUM_WAITS = 1_000;

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
    ["a", { host: loopbackHost(1), port: 17_101 }],
    ["b", { host: loopbackHost(2), port: 17_101 }],
    ["c", { host: loopbackHost(3), port: 17_101 }],
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
    silent.listen({ host: loopbackHost(4), port: 17_101 }, resolve)
  );
  const addresses = new Map([
    ["d", { host: loopbackHost(5), port: 17_101 }],
    ["silent", { host: loopbackHost(4), port: 17_101 }],
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

test("a message that exceeds a frame fails alone, instead of closing the connection with all other requests on it", async () => {
  const addresses = new Map([
    ["a", { host: loopbackHost(4), port: 17_101 }],
    ["b", { host: loopbackHost(5), port: 17_101 }],
  ]);
  const a = network("a", { cluster: "one", addresses });
  const b = network("b", { cluster: "one", addresses });
  const oversized = "x".repeat(MAXIMUM_FRAME_BYTES);
  let answer: (body: unknown) => void = () => {};
  const slow = new Promise<unknown>((resolve) => {
    answer = resolve;
  });
  b.onRequest("control", async () => Ok(await slow));
  b.onRequest("batches", () => Promise.resolve(Ok(oversized)));
  await Promise.all([a.listen(), b.listen()]);
  try {
    const options = { to: "b", timeoutMs: 5_000 } as const;
    const pending = a.request({ ...options, channel: "control" }, {});
    const tooLarge = await a.request(
      { ...options, channel: "control" },
      oversized,
    );
    const failure = tooLarge.val as Failure;
    assert.equal(failure.kind, "body_too_large");
    assert.equal(failure.ran, "no");
    const replied = await a.request({ ...options, channel: "batches" }, {});
    assert.equal((replied.val as Failure).kind, "answer_too_large");
    answer("done");
    assert.equal((await pending).val, "done");
  } finally {
    for (const each of [a, b]) each.close();
  }
});

test("peers that don't read their replies don't fill the memory of the process", async () => {
  const requests = 140;
  const reply = "x".repeat(MEBIBYTE);
  const server: Address = { host: loopbackHost(6), port: 17_101 };
  const a = network("a", {
    cluster: "one",
    addresses: new Map([["a", server]]),
  });
  let replies = 0;
  a.onRequest("batches", () => {
    replies += 1;
    return Promise.resolve(Ok(reply));
  });
  await a.listen();
  const peers = Array.from({ length: 10 }, (_, number) => {
    const socket = connect({ ...server, localAddress: loopbackHost(7) });
    socket.on("error", () => socket.destroy());
    socket.pause();
    socket.write(
      encodeFrame({ kind: "greeting", cluster: "one", vm: `peer${number}` }),
    );
    return socket;
  });
  try {
    for (let sent = 0; sent < requests / peers.length; sent += 1) {
      for (const peer of peers) {
        const envelope = { channel: "batches", correlation: sent, body: {} };
        peer.write(encodeFrame({ kind: "request", ...envelope }));
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    for (let wait = 0; wait < MAXIMUM_WAITS && replies < requests; wait += 1) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    assert.ok(replies > requests / 2, `${replies} requests were handled`);
    assert.ok(
      a.unsent().bytes <= 32 * MEBIBYTE,
      `${a.unsent().bytes} bytes wait to be sent`,
    );
  } finally {
    for (const peer of peers) peer.destroy();
    a.close();
  }
});

test("replies are deflated for a peer whose greeting says that it reads that, and only for such a peer", async () => {
  const host = loopbackHost(8);
  const addresses = new Map([["page", { host, port: 17_101 }]]);
  const server = network("page", { cluster: "one", addresses });
  const page = { text: "some words of a text ".repeat(1_000) };
  server.onRequest("batches", () => Promise.resolve(Ok(page)));
  await server.listen();
  try {
    const sizes: number[] = [];
    for (const inflates of [true, undefined]) {
      const socket = connect({ host, port: 17_101 });
      const greeting = { kind: "greeting", cluster: "one", vm: "peer" };
      const hello = inflates === undefined
        ? greeting
        : { ...greeting, inflates };
      socket.write(encodeFrame(hello));
      socket.write(encodeFrame({
        kind: "request",
        channel: "batches",
        correlation: 1,
        body: {},
      }));
      const decoder = new FrameDecoder();
      let bytes = 0;
      const reply = await new Promise((resolve) => {
        socket.on("data", (chunk) => {
          bytes += chunk.length;
          const [body] = decoder.push(chunk).unwrap();
          if (body !== undefined) resolve(body);
        });
      });
      assert.deepEqual(reply, { kind: "reply", correlation: 1, body: page });
      sizes.push(bytes);
      socket.destroy();
    }
    const [deflated = 0, plain = 0] = sizes;
    assert.ok(plain > page.text.length);
    assert.ok(deflated < plain / 10, `${deflated} and ${plain} bytes`);
  } finally {
    server.close();
  }
});
