/**
 * Runs the programs of a site, callers and workers, lets the faults of a seed happen, and returns what was seen.
 *
 * @module
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { type Milliseconds, SECOND_MS, SeededRandom } from "#core";
import { delay, waitUntil } from "../proof/managed_process.ts";
import { NodeCluster } from "../proof/node_cluster.ts";
import { SoakAdvisers } from "./soak_advisers.ts";
import {
  ADVICE_MODEL,
  ADVICE_SERVICE,
  CALL_TIMEOUT_MS,
  configurationText,
  ENGINE_SERVICE,
  HOST,
  MAXIMUM_ATTEMPTS,
  MODEL,
  SERVICE,
} from "./soak_configuration.ts";
import { exchange } from "./soak_exchange.ts";
import { drawFaults, type SoakFault, type SoakSize } from "./soak_faults.ts";
import { SoakOperator } from "./soak_operator.ts";
import type { SoakCall, SoakRecord } from "./soak_oracle.ts";
import { SoakPublisher } from "./soak_publisher.ts";
import { SoakTrainer } from "./soak_trainer.ts";
import { CRASHING_BODY_PREFIX, SoakWorker } from "./soak_worker.ts";

const SITE = { block: "127.8", network: 11 };
const ENGINES = 3;
const CLOCK_MODULE = join(
  dirname(fileURLToPath(import.meta.url)),
  "shifted_clock.js",
);
/** Time after the recovery within which engines load the newest version. */
const LOAD_MS: Milliseconds = 5 * SECOND_MS;
/** Time after the recovery within which all batches are completed. */
const BATCH_COMPLETION_MS: Milliseconds = 10 * SECOND_MS;
const ZONES = [0, 1, 2];
const START_TIMEOUT_MS: Milliseconds = 60_000;
const HEARTBEAT_INTERVAL_MS: Milliseconds = 300;
const CALL_INTERVAL_MS: Milliseconds = 70;
const CRASHING_CALL_INTERVAL_MS: Milliseconds = SECOND_MS;
/** Time after the last fault in which the site recovers. */
const RECOVERY_MS: Milliseconds = 12 * SECOND_MS;
const CALLS_AFTER_FAULTS = 20;

const FIRST_VERSION = 3;
/** Version from which on there is no spare route for batches; the batch that used it has been completed by then. */
const FIRST_VERSION_WITHOUT_SPARE = FIRST_VERSION + 4;

/** Runs one seed and returns what callers and workers saw. */
export async function runSoak(
  seed: number,
  size: SoakSize,
): Promise<SoakRecord> {
  const site = new SoakSite(seed, size);
  try {
    await site.start();
    return await site.run(drawFaults(new SeededRandom(seed), size));
  } finally {
    await site.close();
  }
}

/** The processes, workers and callers of one run. */
class SoakSite {
  readonly #size: SoakSize;
  readonly #cluster: NodeCluster;
  readonly #operator: SoakOperator;
  readonly #workers: readonly SoakWorker[];
  readonly #engines: readonly SoakWorker[];
  readonly #trainer: SoakTrainer;
  readonly #publisher: SoakPublisher;
  readonly #advisers: SoakAdvisers;
  readonly #calls: SoakCall[] = [];
  readonly #pending = new Set<Promise<void>>();
  #heartbeats: NodeJS.Timeout | undefined;
  #sent = 0;
  #afterFaults = false;

  constructor(seed: number, size: SoakSize) {
    this.#size = size;
    const { programs, advisers = 0 } = size;
    this.#cluster = new NodeCluster({
      ...SITE,
      preload: CLOCK_MODULE,
      ...(programs === undefined ? {} : { programs }),
    });
    this.#operator = new SoakOperator({
      controls: ZONES.map((zone) => this.#cluster.controlAddress(zone)),
      firstVersion: FIRST_VERSION,
      configuration: textOfVersion,
    });
    this.#workers = Array.from(
      { length: size.workers },
      (_, at) =>
        new SoakWorker({
          name: `w${at}`,
          service: SERVICE,
          zone: `z${at % ZONES.length + 1}`,
          address: this.#cluster.fakeAddress(at),
          failsSome: at === 0,
          resetsSome: at === 1,
        }),
    );
    this.#engines = Array.from(
      { length: ENGINES },
      (_, at) =>
        new SoakWorker({
          name: `e${at}`,
          service: ENGINE_SERVICE,
          zone: `z${at % ZONES.length + 1}`,
          address: this.#cluster.fakeAddress(size.workers + at),
          models: [MODEL],
          failsSome: at === 0,
          resetsSome: at === 1,
        }),
    );
    this.#publisher = new SoakPublisher({
      controls: ZONES.map((zone) => this.#cluster.controlAddress(zone)),
      model: MODEL,
    });
    this.#advisers = new SoakAdvisers({
      cluster: this.#cluster,
      random: new SeededRandom(seed),
      count: advisers,
      firstAddress: size.workers + ENGINES,
      host: HOST,
      service: ADVICE_SERVICE,
      model: ADVICE_MODEL,
      zones: ZONES.length,
    });
    this.#trainer = new SoakTrainer({
      entries: ZONES.map((zone) => this.#cluster.callerAddress(zone)),
      host: HOST,
      model: MODEL,
      minimumVersion: () => Math.max(1, this.#publisher.published - 1),
    });
  }

  /** Starts everything and waits until each entry VM serves calls. */
  async start(): Promise<void> {
    await this.#cluster.start();
    const own = [...this.#workers, ...this.#engines];
    for (const worker of own) await worker.start();
    await this.#advisers.start();
    const workers = [...own, ...this.#advisers.workers];
    let turn = 0;
    this.#heartbeats = setInterval(() => {
      for (const worker of workers) {
        turn += 1;
        const control = this.#cluster.controlAddress(turn % ZONES.length);
        worker.sendHeartbeat(control);
      }
    }, HEARTBEAT_INTERVAL_MS);
    await waitUntil(
      "the configuration is acknowledged",
      START_TIMEOUT_MS,
      async () => {
        const reply = await exchange(this.#cluster.controlAddress(1), {
          method: "POST",
          path: "/config/replace",
          headers: {},
          body: textOfVersion(FIRST_VERSION),
        });
        return reply.status === 200;
      },
    );
    for (const zone of ZONES) {
      await this.#cluster.vm("entry", zone).waitUntilReady(START_TIMEOUT_MS);
    }
    await waitUntil("calls are served", START_TIMEOUT_MS, async () => {
      await this.#call();
      return this.#calls.at(-1)?.status === 200;
    });
  }

  /** Sends calls while the faults happen, and some after the site has recovered. */
  async run(faults: readonly SoakFault[]): Promise<SoakRecord> {
    this.#operator.start();
    this.#trainer.start();
    if (this.#hasAdvisers) {
      this.#advisers.startCallers();
      this.#publisher.start();
    }
    const callers = setInterval(() => this.#startCall(), CALL_INTERVAL_MS);
    try {
      await this.#cause(faults);
      for (const worker of this.#workers) worker.recover();
      await delay(RECOVERY_MS);
    } finally {
      clearInterval(callers);
      await this.#operator.stop();
      await this.#advisers.stopCallers();
      await this.#publisher.stop();
      await this.#trainer.stop(BATCH_COMPLETION_MS);
    }
    await Promise.all(this.#pending);
    this.#afterFaults = true;
    if (this.#hasAdvisers) {
      await this.#advisers.requestLate();
      await this.#untilLoaded();
    }
    for (let call = 0; call < CALLS_AFTER_FAULTS; call += 1) await this.#call();
    return {
      batches: this.#trainer.record,
      calls: this.#calls,
      workers: this.#workers.map((each) => each.record),
      configurations: this.#operator.record,
      maximumAttempts: MAXIMUM_ATTEMPTS,
      streams: this.#advisers.streams,
      lateStreams: this.#advisers.lateStreams,
      publications: {
        published: this.#publisher.published,
        engines: this.#engines.map((each) => each.engineRecord(MODEL)),
      },
    };
  }

  get #hasAdvisers(): boolean {
    return (this.#size.advisers ?? 0) > 0;
  }

  /** Waits until all engines serve the newest version, or for as long as loading may take. */
  async #untilLoaded(): Promise<void> {
    const untilMs = performance.now() + LOAD_MS;
    while (performance.now() < untilMs) {
      const versions = this.#engines.map((each) =>
        each.engineRecord(MODEL).version
      );
      if (Math.min(...versions) === this.#publisher.published) return;
      await delay(HEARTBEAT_INTERVAL_MS);
    }
  }

  async close(): Promise<void> {
    clearInterval(this.#heartbeats);
    for (const worker of this.#workers) worker.stop();
    for (const engine of this.#engines) engine.stop();
    this.#advisers.close();
    await this.#cluster.close();
  }

  async #cause(faults: readonly SoakFault[]): Promise<void> {
    const startMs = performance.now();
    const ends: Promise<void>[] = [];
    for (const fault of faults) {
      await delay(Math.max(0, startMs + fault.atMs - performance.now()));
      ends.push(this.#causeOne(fault));
    }
    await delay(
      Math.max(0, startMs + this.#size.durationMs - performance.now()),
    );
    await Promise.all(ends);
  }

  async #causeOne(fault: SoakFault): Promise<void> {
    if (fault.kind === "limit") {
      this.#workers[fault.worker]?.setLimit(fault.perSecond);
      return;
    }
    if (fault.kind === "crashing_call") return this.#repeatCrashing(fault);
    if (
      fault.kind === "link" || fault.kind === "clock" ||
      fault.kind === "software"
    ) {
      return this.#advisers.cause(fault);
    }
    if (fault.kind === "departure") {
      const controls = ZONES.map((zone) => this.#cluster.controlAddress(zone));
      await this.#workers[fault.worker]?.depart(controls, fault);
      return;
    }
    if (fault.kind === "core_kill") return this.#killCore(fault.forMs);
    const vm = this.#cluster.vm(fault.role, fault.zone);
    if (fault.kind === "pause") {
      vm.pause();
      await delay(fault.forMs);
      vm.resume();
      return;
    }
    if (fault.kind === "kill") await vm.kill();
    else await vm.stop();
    await delay(fault.forMs);
    vm.restart();
  }

  async #killCore(forMs: Milliseconds): Promise<void> {
    const core = ZONES.flatMap((zone) => [
      this.#cluster.vm("control", zone),
      this.#cluster.vm("store", zone),
    ]);
    await Promise.all(core.map((vm) => vm.kill()));
    await delay(forMs);
    for (const vm of core) vm.restart();
  }

  async #repeatCrashing(
    fault: SoakFault & { readonly kind: "crashing_call" },
  ): Promise<void> {
    const untilMs = performance.now() + fault.forMs;
    while (performance.now() < untilMs) {
      this.#startCall({
        body: `${CRASHING_BODY_PREFIX} ${fault.call}`,
        kind: fault.call % 2 === 0 ? "idempotent" : "once",
      });
      await delay(CRASHING_CALL_INTERVAL_MS);
    }
  }

  #startCall(content?: CallContent): void {
    const call = this.#call(content);
    this.#pending.add(call);
    void call.finally(() => this.#pending.delete(call));
  }

  /** Sends a call with this content, or one like no other, of each kind in turn. */
  async #call(content?: CallContent): Promise<void> {
    this.#sent += 1;
    const id = `call-${this.#sent}`;
    const {
      body = `card ${this.#sent}`,
      kind = this.#sent % 2 === 0 ? "idempotent" : "once",
    } = content ?? {};
    const route = kind === "once" ? "non_idempotent" : "idempotent";
    const afterFaults = this.#afterFaults;
    const to = this.#cluster.callerAddress(this.#sent % ZONES.length);
    const reply = await exchange(to, {
      method: "POST",
      path: `/${route}/save`,
      headers: {
        Host: HOST,
        "Request-Id": id,
        "Deadline-Ms": String(CALL_TIMEOUT_MS),
      },
      body,
    });
    this.#calls.push({ id, kind, body, afterFaults, ...reply });
  }
}

function textOfVersion(version: number): string {
  const hasSpareRoute = version < FIRST_VERSION_WITHOUT_SPARE;
  return configurationText(version, { hasSpareRoute });
}

/** What a call has in common with its repetitions. */
type CallContent = Pick<SoakCall, "body" | "kind">;
