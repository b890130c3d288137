/** A trainer as PROTOCOL.md describes it: it submits a batch job per step, reads about twice a second, and ends the job. */
import { ask, sleep } from "./client.mjs";

class Trainer {
  constructor({ site, host, prefix, model, note }) {
    Object.assign(this, { site, host, prefix, model, note });
    this.turn = 0;
  }

  #front() {
    this.turn += 1;
    return this.site.frontAddress(this.turn % this.site.fronts);
  }

  /** Submits until a 202; returns when it came. */
  async submit(job) {
    const body = JSON.stringify({
      step: job.step,
      model: this.model,
      min_version: job.minVersion,
      desired: job.desired,
      items: job.items.map(({ id, group, events }) => ({
        id,
        path: `${this.prefix}${id}`,
        headers: {
          Model: this.model,
          "Token-Counts": `200,${events * 20}`,
          "Length-Hint": String(events * 20),
          "Prompt-Prefix": `${group}:180,${id}:20`,
        },
        body: Buffer.from(`prompt of ${id}`).toString("base64"),
        tokens: 200 + events * 20,
        group,
      })),
    });
    while (true) {
      const reply = await ask(this.#front(), {
        method: "POST",
        path: `${this.prefix}${job.id}`,
        headers: {
          Host: this.host,
          "Request-Id": job.id,
          "Content-Type": "application/json",
        },
        body,
        timeoutMs: 2_000,
      });
      this.note(`submit ${job.id}: ${reply.status}`);
      if (reply.status === 202) return performance.now();
      await sleep(200);
    }
  }

  /** Reads until all items are listed or the time is up; returns the results by item. */
  async read(job, untilMs) {
    const results = new Map();
    let after = 0;
    while (performance.now() < untilMs && results.size < job.items.length) {
      const reply = await ask(this.#front(), {
        path: `/lots/${job.id}?after=${after}`,
        headers: { Host: this.host },
        timeoutMs: 2_500,
      });
      if (reply.status === 200) {
        const page = JSON.parse(reply.text);
        for (const each of page.results) {
          results.set(each.id, { ...each, atMs: performance.now() });
        }
        after = page.next;
      } else this.note(`read ${job.id}: ${reply.status}`);
      await sleep(400);
    }
    return results;
  }

  async end(job) {
    while (true) {
      const reply = await ask(this.#front(), {
        method: "DELETE",
        path: `/lots/${job.id}`,
        headers: { Host: this.host },
        timeoutMs: 2_000,
      });
      this.note(`end ${job.id}: ${reply.status}`);
      if (reply.status === 200) return;
      await sleep(200);
    }
  }
}

function jobOf(id, { step, minVersion, groups, size, events, desired }) {
  const items = [];
  for (let group = 0; group < groups; group += 1) {
    for (let at = 0; at < size; at += 1) {
      items.push({
        id: `${id}i${group}x${at}`,
        group: `${id}g${group}`,
        events,
      });
    }
  }
  return { id, step, minVersion, desired, items };
}

export { jobOf, Trainer };
