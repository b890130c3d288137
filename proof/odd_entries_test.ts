import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type ControlPort,
  type HttpRequest,
  MemoryEventLog,
  Ok,
  SeededRandom,
  VirtualClock,
} from "#core";
import type { FleetFollower } from "#membership";
import { controlRoutes } from "#platform";
import { MemoryNetwork } from "#wire";
import {
  HEARTBEAT_MS,
  SimulatedControls,
  startEntry,
} from "./simulated_vms.ts";

const SOUND_WORKERS = 40;
/** How often each odd entry is written, to another control VM each time. */
const REPETITIONS = 12;

const SOUND = {
  service: "models",
  address: "10.128.0.9:8080",
  zone: "z-a",
  version: "v1",
  slots: 12,
  state: "ready",
  cold_left_ms: 0,
  models: [{ name: "m0", version: 4, adapters: [] }],
  seq: 4,
  born: 1_700_000_000_000,
};

function nested(levels: number): string {
  return `{"service":${"[".repeat(levels)}${"]".repeat(levels)}}`;
}

function text(change: Record<string, unknown>): string {
  return JSON.stringify({ ...SOUND, ...change });
}

const MANY_MODELS = Array.from(
  { length: 50_000 },
  (_, at) => ({ name: `m${at}`, version: 1 }),
);

/** Entries of another writer: none of them names a worker to use. */
const ODD_BODIES: Readonly<Record<string, string | Uint8Array>> = {
  "deeply nested": nested(500_000),
  "nested below the limit of size": nested(100_000),
  "nested in a sound entry": text({}).replace(
    '"cold_left_ms":0',
    `"cold_left_ms":0,"service":${"[".repeat(50_000)}${"]".repeat(50_000)}`,
  ),
  "a number too large": text({}).replace('"seq":4', '"seq":1e308'),
  "an infinite number": text({}).replace('"slots":12', '"slots":1e999'),
  "a start far away": text({ born: Number.MAX_SAFE_INTEGER }),
  "a start before time": text({ born: -1 }),
  "too many slots": text({ slots: Number.MAX_SAFE_INTEGER }),
  "port 0": text({ address: "10.0.0.9:0" }),
  "a port out of range": text({ address: "10.0.0.9:65536" }),
  "a port far out of range": text({ address: "10.0.0.9:99999999999" }),
  "host of dots": text({ address: "...:8080" }),
  "host of one number": text({ address: "1:8080" }),
  "host out of range": text({ address: "999.1.1.1:8080" }),
  "host that is nobody": text({ address: "0.0.0.0:8080" }),
  "host that is a group": text({ address: "255.255.255.255:8080" }),
  "no address": text({ address: undefined }),
  "a long zone": text({ zone: "z".repeat(1_000_000) }),
  "a zone above the limit": text({ zone: "z".repeat(129) }),
  "half a character": text({}).replace('"z-a"', '"\\ud800"'),
  "a line feed in the service": text({ service: "models\nx" }),
  "no service": text({ service: "" }),
  "too many models": text({ models: MANY_MODELS }),
  "a model without a name": text({ models: [{ name: "", version: 1 }] }),
  "a model version too large": text({
    models: [{ name: "m", version: Number.MAX_SAFE_INTEGER }],
  }),
  "no version of its software": text({ version: undefined }),
  "an empty version": text({ version: "" }),
  "no time until it is warm": text({ cold_left_ms: undefined }),
  "a time until it is warm that is none": text({ cold_left_ms: "soon" }),
  "a stage that is none": text({ stage: 7 }),
  "another state": text({ state: "resting" }),
  "a list": "[]",
  "a prototype": '{"__proto__":{"service":"models"}}',
  "no JSON": "{",
  "no UTF-8": new Uint8Array([0xff, 0xfe, 0x7b, 0x7d]),
  "nothing": "",
};

/** Three control VMs that workers call, and an entry VM that follows one of them. */
class Site {
  readonly clock = new VirtualClock();
  readonly follower: FleetFollower;
  readonly #controls: SimulatedControls;

  constructor(
    options: { readonly services?: () => readonly string[] } = {},
  ) {
    const { clock } = this;
    const random = new SeededRandom(1);
    const network = new MemoryNetwork({ clock, random });
    this.#controls = new SimulatedControls({ clock, network, ...options });
    const entry = startEntry({
      index: 0,
      clock,
      network,
      random,
      events: new MemoryEventLog(),
      probe: () => Promise.resolve("open"),
    });
    this.follower = entry.follower;
  }

  /** Sends a call of a worker to a control VM; returns the status. */
  async call(
    at: number,
    name: "heartbeat" | "leave",
    call: { readonly id: string; readonly body: string | Uint8Array },
  ): Promise<number> {
    const routes = controlRoutes({
      clock: this.clock,
      events: new MemoryEventLog(),
      control: {} as ControlPort,
      acceptHeartbeat: (upstream) =>
        Promise.resolve(this.#controls.recordHeartbeat(at, upstream)),
      acceptLeave: (id, bornMs) =>
        Promise.resolve(this.#controls.deregister(at, id, bornMs)),
      startRetirement: () => Promise.resolve(Ok(null)),
      retirementState: () => Ok(""),
      isLeader: () => true,
      leaderAddress: () => null,
    });
    const route = routes.find((each) => each.name === name);
    if (route === undefined) throw new Error(`no route ${name}`);
    const body = typeof call.body === "string"
      ? Buffer.from(call.body)
      : call.body;
    const request = { parameters: { id: call.id }, body };
    const response = await route.handle(request as unknown as HttpRequest);
    assert.ok("status" in response);
    return response.status;
  }
}

function soundHeartbeat(worker: number, sequence: number): string {
  return text({ address: `10.128.1.${worker + 1}:8080`, seq: sequence });
}

test("hundreds of odd entries are rejected, and all VMs know the sound workers beside them and no other", async () => {
  const site = new Site();
  const odd = Object.entries(ODD_BODIES);
  for (let round = 0; round < REPETITIONS; round += 1) {
    for (let worker = 0; worker < SOUND_WORKERS; worker += 1) {
      const body = soundHeartbeat(worker, round + 1);
      const call = { id: `w${worker}`, body };
      assert.equal(await site.call(worker, "heartbeat", call), 200);
    }
    for (const [at, [what, body]] of odd.entries()) {
      // Also under the identifiers of sound workers.
      const id = at % 2 === 0 ? `odd${at}` : `w${at}`;
      const status = await site.call(at + round, "heartbeat", { id, body });
      assert.ok(status >= 400 && status < 500, `${what}: ${status}`);
    }
    for (const id of ["", "x".repeat(200), "w\n1", "wö"]) {
      const body = text({});
      assert.equal(await site.call(round, "heartbeat", { id, body }), 400);
    }
    await site.clock.advanceAsync(HEARTBEAT_MS);
  }
  const known = site.follower.upstreams.map((each) => each.id).sort();
  const sound = Array.from({ length: SOUND_WORKERS }, (_, at) => `w${at}`);
  assert.deepEqual(known, sound.sort());
});

/** Entries of services that no configuration names, for a worker with this identifier and address. */
function foreignEntries(
  worker: { readonly id: string; readonly address: string },
): readonly { readonly id: string; readonly body: string }[] {
  const hour = 3_600_000;
  const foreign = { address: worker.address, service: "elsewhere" };
  const entry = (id: string, change: Record<string, unknown>) => ({
    id,
    body: text({ ...foreign, ...change }),
  });
  return [
    entry("agent", { born: SOUND.born + 1 }),
    entry("agent-ahead", { born: SOUND.born + hour }),
    entry("agent-leaving", { born: SOUND.born + 1, state: "draining" }),
    entry(worker.id, { seq: 1_000 }),
    entry(worker.id, { seq: 1_000, service: "elsewhere-2" }),
    entry(worker.id, { born: SOUND.born + hour }),
    entry(worker.id, { seq: 1_001, state: "draining" }),
    entry(worker.id, { born: SOUND.born + 2 * hour, address: "10.9.9.9:80" }),
  ];
}

// Guards against another writer's entry that hides the worker whose identifier or address it names.
test("entries of services that are not named here take no worker out of use, whatever they name", async () => {
  const site = new Site({ services: () => ["models"] });
  const worker = { id: "w0", address: "10.128.1.1:8080" };
  const entries = foreignEntries(worker);
  for (let round = 1; round <= 20; round += 1) {
    const sound = { id: "w0", body: soundHeartbeat(0, round) };
    assert.equal(await site.call(round, "heartbeat", sound), 200);
    const entry = entries[round % entries.length];
    // The last rounds show that nothing of them stays.
    if (entry !== undefined && round < 16) {
      await site.call(round + 1, "heartbeat", entry);
    }
    await site.clock.advanceAsync(HEARTBEAT_MS);
    const known = site.follower.upstreams.filter((each) =>
      each.service === "models"
    );
    assert.deepEqual(known.map(({ id, phase }) => [id, phase]), [[
      "w0",
      "ready",
    ]], `round ${round}`);
  }
});

// Guards against workers that are dropped since they report before the configuration that names their service.
test("a worker is used once a configuration names its service, and no later than another one's entry for its address", async () => {
  const services = ["models"];
  const site = new Site({ services: () => services });
  const body = (sequence: number): string =>
    text({ service: "cards", seq: sequence });
  for (let round = 1; round <= 12; round += 1) {
    if (round === 8) services.push("cards");
    const foreign = { service: "elsewhere", born: SOUND.born + round };
    const other = { id: "agent", body: text(foreign) };
    await site.call(round, "heartbeat", other);
    await site.call(round, "heartbeat", { id: "w0", body: body(round) });
    await site.clock.advanceAsync(HEARTBEAT_MS);
    const used = site.follower.upstreams.filter(({ service, phase }) =>
      service === "cards" && phase === "ready"
    );
    if (round >= 8) assert.equal(used.length, 1, `round ${round}`);
  }
});

test("an odd leave call doesn't take a worker out of service", async () => {
  const site = new Site();
  // Until the control VMs have run long enough to know all workers.
  for (let sequence = 1; sequence <= 6; sequence += 1) {
    const heartbeat = { id: "w0", body: soundHeartbeat(0, sequence) };
    assert.equal(await site.call(0, "heartbeat", heartbeat), 200);
    await site.clock.advanceAsync(HEARTBEAT_MS);
  }
  const bodies = ["{", '{"born":"x"}', '{"born":1e308}', nested(500_000), "[]"];
  for (const body of bodies) {
    const status = await site.call(0, "leave", { id: "w0", body });
    assert.ok(status >= 400 && status < 500, body.slice(0, 40));
  }
  await site.clock.advanceAsync(HEARTBEAT_MS);
  assert.equal(site.follower.upstreams.length, 1);
  assert.equal(await site.call(0, "leave", { id: "w0", body: "" }), 200);
  await site.clock.advanceAsync(HEARTBEAT_MS);
  assert.equal(site.follower.upstreams.length, 0);
});
