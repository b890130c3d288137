import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "#core";
import { OfflineShare } from "./offline_share.ts";

const UPSTREAM = { incarnation: "u:1", perSecond: 2 };
const SPAN_MS = 4_000;

function createOffline(senders: number, random: SeededRandom): OfflineShare {
  const share = new OfflineShare({ random });
  share.recordReply(senders);
  share.recordFailure(0);
  return share;
}

test("a VM without contact to control uses nothing during a change of leader, then its share", () => {
  const share = createOffline(1, new SeededRandom(1));
  assert.equal(share.available(UPSTREAM, 500), 0);
  assert.equal(share.available(UPSTREAM, 1_000), 2);
  share.recordReply(1);
  assert.equal(share.available(UPSTREAM, 1_100), 0);
});

test("all VMs that lose control at the same time send together no more than the limit allows", () => {
  for (const senders of [6, 58, 165]) {
    for (let seed = 1; seed <= 5; seed += 1) {
      const random = new SeededRandom(seed);
      const shares = Array.from(
        { length: senders },
        () => createOffline(senders, random),
      );
      const sentMs: number[] = [];
      for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
        for (const share of shares) {
          if (share.use(UPSTREAM, nowMs)) sentMs.push(nowMs);
        }
      }
      for (const startMs of sentMs) {
        const within = sentMs.filter((at) =>
          at >= startMs && at < startMs + SPAN_MS
        );
        const allowed = 1.5 * UPSTREAM.perSecond * SPAN_MS / 1_000 + 5;
        assert.ok(within.length <= allowed, `${senders}: ${within.length}`);
      }
    }
  }
});
