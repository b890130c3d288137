/** A link between the system and a worker: passes the bytes on as they come, or as a link does that loses packets. */
import { connect, createServer } from "node:net";
import { sleep } from "./client.mjs";

/** Longest segment while the link is lossy, and how long the repetition of a lost one takes. */
const SEGMENT_BYTES = 100;
const REPEAT_MS = 200;

class Link {
  constructor({ from, to }) {
    this.from = from;
    this.to = to;
    /** Share of the packets that are lost; null while the link is sound. */
    this.loss = null;
    this.server = createServer({ pauseOnConnect: true }, (socket) => {
      this.#pass(socket);
    });
  }

  start() {
    const { host, port } = this.from;
    return new Promise((resolve) =>
      this.server.listen({ host, port }, () => resolve())
    );
  }

  #pass(near) {
    const far = connect({ ...this.to, noDelay: true });
    near.setNoDelay(true);
    far.on("connect", () => near.resume());
    near.on("data", (bytes) => far.write(bytes));
    near.on("end", () => far.end());
    near.on("error", () => far.destroy());
    near.on("close", () => far.destroy());
    far.on("error", () => near.destroy());
    let sending = Promise.resolve();
    far.on("data", (bytes) => {
      sending = sending.then(() => this.#deliver(near, bytes));
    });
    far.on("end", () => {
      sending = sending.then(() => near.end());
    });
  }

  async #deliver(socket, bytes) {
    if (this.loss === null) {
      socket.write(bytes);
      return;
    }
    for (let at = 0; at < bytes.length && !socket.destroyed;) {
      const length = 1 + Math.floor(Math.random() * SEGMENT_BYTES);
      if (Math.random() < this.loss) await sleep(REPEAT_MS);
      socket.write(bytes.subarray(at, at + length));
      at += length;
      // The receiver reads what has come before the next segment does.
      await sleep(1);
    }
  }
}

export { Link };
