import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type BrokenAttempt,
  type CallContent,
  type CallStanding,
  CallWatch,
  CrashGuard,
  type IsolationOutcome,
} from "#crashes";
import { UnlimitedPermits } from "#quotas";
import {
  type Behaviour,
  type ForwarderSetup,
  reset,
  respond,
  send,
  withUpstreams,
} from "./forwarder_test_support.ts";

/** A guard whose answers the test sets. */
class ScriptedGuard extends CrashGuard {
  standing: CallStanding = "clear";
  /** Standing of a call after an attempt that broke. */
  standingAfterBreak: CallStanding = "clear";
  outcome: IsolationOutcome = { kind: "rejected", reason: "none is free" };
  readonly broken: BrokenAttempt[] = [];
  answered = 0;

  override watch(content: CallContent): CallWatch {
    return new ScriptedWatch(content, this);
  }
}

class ScriptedWatch extends CallWatch {
  readonly #guard: ScriptedGuard;

  constructor(content: CallContent, guard: ScriptedGuard) {
    super(content);
    this.#guard = guard;
  }

  override get standing(): CallStanding {
    return this.#guard.standing;
  }

  override mayHedge(): boolean {
    return this.#guard.standing === "clear";
  }

  override isolate(): Promise<IsolationOutcome> {
    return Promise.resolve(this.#guard.outcome);
  }

  override recordBroken(attempt: BrokenAttempt): Promise<void> {
    this.#guard.broken.push(attempt);
    this.#guard.standing = this.#guard.standingAfterBreak;
    return Promise.resolve();
  }

  override recordAnswered(): void {
    this.#guard.answered += 1;
  }
}

/** Responds with one event, which is a complete response to a call of any kind. */
const respondWithEvent: Behaviour = (request, response) => {
  response.setHeader("X-Id", String(request.headers["x-id"]));
  response.setHeader("X-Stamp", "s");
  response.end("id: 0\ndata: x\n\n");
};

function withGuard(
  behaviours: readonly Behaviour[],
  run: (setup: ForwarderSetup, guard: ScriptedGuard) => Promise<void>,
): Promise<void> {
  const crashGuard = new ScriptedGuard();
  const permits = new UnlimitedPermits();
  const options = { limits: [], permits, crashGuard };
  return withUpstreams(behaviours, (setup) => run(setup, crashGuard), options);
}

for (const kind of ["idempotent", "once", "stream"] as const) {
  test(`a blocked call of kind ${kind} reaches no upstream and is rejected as not run`, async () => {
    await withGuard([respond, respond], async (setup, guard) => {
      guard.standing = "blocked";
      const response = await send(setup, { kind });
      assert.ok("kind" in response);
      assert.equal(response.kind, "call_blocked");
      assert.equal(response.ran, "no");
      assert.deepEqual(setup.reached, [0, 0]);
    });
  });

  test(`a suspect of kind ${kind} is sent to the upstream that is named for it only, and its run is released`, async () => {
    await withGuard([respond, respondWithEvent], async (setup, guard) => {
      guard.standing = "suspect";
      let released = 0;
      const upstream = setup.upstreams[1];
      assert.ok(upstream !== undefined);
      const release = (): void => {
        released += 1;
      };
      guard.outcome = { kind: "granted", upstream, release };
      const response = await send(setup, { kind });
      assert.ok("status" in response);
      if (kind === "stream") {
        for await (const _ of response.body as AsyncIterable<unknown>);
      }
      assert.deepEqual(setup.reached, [0, 1]);
      assert.equal(released, 1);
      assert.equal(guard.answered, 1);
    });
  });
}

test("a call under which an upstream crashed is not sent on while there is none for a suspect, and is not said to have not run", async () => {
  await withGuard([reset, respond], async (setup, guard) => {
    guard.standingAfterBreak = "suspect";
    const response = await send(setup);
    assert.ok("kind" in response);
    assert.equal(response.kind, "upstream_failed");
    assert.deepEqual(setup.reached, [1, 0]);
    assert.equal(guard.broken.length, 1);
  });
});
