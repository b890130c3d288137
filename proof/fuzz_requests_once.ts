/**
 * Fuzz model of service calls against an oracle that counts executions. An operation that is not idempotent must be
 * executed at most once, a failure with `ran: "no"` must be true, every call must receive its own response in time,
 * and no call may stay open.
 *
 * @module
 */
import fc from "fast-check";
import {
  type Failure,
  type Milliseconds,
  type Result,
  SeededRandom,
  type ServiceResponse,
  VirtualClock,
} from "#core";
import { MemoryNetwork } from "#wire";
import type { FuzzOptions } from "./fuzz.ts";
import {
  CONTROL_FAULTS,
  ExecutionOracle,
  expectedResponseText,
  UPSTREAM_FAULTS,
} from "./fuzz_requests_faults.ts";
import {
  createClaimsControl,
  type SharedWorld,
  startEntry,
  WORLD_UPSTREAMS,
  type WorldEntry,
} from "./fuzz_requests_world.ts";

const ENTRY_COUNT = 3;
const DEADLINE_MS: Milliseconds = 2_000;
const RESPONSE_SLACK_MS: Milliseconds = 600;
const SETTLE_MS: Milliseconds = 60_000;
const MAXIMUM_ARRIVALS = 4;

/** One step of a run of the model. */
type Step =
  | {
    readonly step: "send";
    readonly keyed: boolean;
    readonly method: "GET" | "POST";
    readonly entry: number;
  }
  | { readonly step: "advance"; readonly ms: Milliseconds }
  | { readonly step: "kill"; readonly entry: number }
  | {
    readonly step: "leave";
    readonly upstream: typeof WORLD_UPSTREAMS[number];
    readonly leaving: boolean;
  };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      step: fc.constant("send" as const),
      keyed: fc.boolean(),
      method: fc.constantFrom("GET" as const, "POST" as const, "POST" as const),
      entry: fc.nat({ max: ENTRY_COUNT - 1 }),
    }, { noNullPrototype: true }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      step: fc.constant("advance" as const),
      ms: fc.oneof(
        fc.integer({ min: 1, max: 20 }),
        fc.integer({ min: 1, max: 1_500 }),
      ),
    }, { noNullPrototype: true }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      step: fc.constant("kill" as const),
      entry: fc.nat({ max: ENTRY_COUNT - 1 }),
    }, { noNullPrototype: true }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      step: fc.constant("leave" as const),
      upstream: fc.constantFrom(...WORLD_UPSTREAMS),
      leaving: fc.boolean(),
    }, { noNullPrototype: true }),
  },
);

interface Operation {
  readonly name: string;
  readonly keyed: boolean;
  readonly method: "GET" | "POST";
}

/** Runs the fuzz model; on a failed check throws an error with the seed and the shrunk steps. */
export async function fuzz(options: FuzzOptions): Promise<void> {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { maxLength: 16 }),
      fc.array(fc.constantFrom(...UPSTREAM_FAULTS), { maxLength: 16 }),
      fc.array(fc.constantFrom(...CONTROL_FAULTS), { maxLength: 16 }),
      async (steps, upstreamFaults, controlFaults) => {
        const clock = new VirtualClock(1_000);
        const random = new SeededRandom(options.seed);
        const run = new OnceRun({
          clock,
          random,
          network: new MemoryNetwork({ clock, random }),
          control: createClaimsControl(clock),
          oracle: new ExecutionOracle(),
          upstreamFaults: [...upstreamFaults],
          controlFaults: [...controlFaults],
        }, clock);
        await run.run(steps);
      },
    ),
    {
      seed: options.seed,
      numRuns: options.runs,
      includeErrorInReport: true,
    },
  );
}

/** One run of the model: starts entries and clients, and checks the results that clients receive. */
class OnceRun {
  readonly #shared: SharedWorld;
  readonly #clock: VirtualClock;
  readonly #entries: WorldEntry[] = [];
  readonly #generations: number[] = [];
  readonly #violations: string[] = [];
  readonly #leaving = new Set<string>();
  #operations = 0;
  #arrivals = 0;
  #openCalls = 0;

  constructor(shared: SharedWorld, clock: VirtualClock) {
    this.#shared = shared;
    this.#clock = clock;
    for (let index = 0; index < ENTRY_COUNT; index += 1) {
      this.#entries.push(startEntry(shared, `entry-${index}`));
      this.#generations.push(0);
    }
  }

  async run(steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      if (step.step === "advance") await this.#clock.advanceAsync(step.ms);
      else if (step.step === "kill") this.#restartEntry(step.entry);
      else if (step.step === "leave") this.#setUpstreamLeaving(step);
      else this.#startClient(step);
    }
    await this.#clock.advanceAsync(SETTLE_MS);
    if (this.#openCalls > 0) {
      this.#recordViolation(`${this.#openCalls} calls received no response`);
    }
    for (const entry of this.#entries) {
      const { open } = entry.requests.status();
      if (open > 0) this.#recordViolation(`${open} calls are left open`);
      entry.kill();
    }
    if (this.#violations.length > 0) {
      throw new Error(this.#violations.join("; "));
    }
  }

  #setUpstreamLeaving(step: Extract<Step, { step: "leave" }>): void {
    if (step.leaving) this.#leaving.add(step.upstream);
    else this.#leaving.delete(step.upstream);
    for (const entry of this.#entries) entry.setLeaving(this.#leaving);
  }

  #restartEntry(index: number): void {
    this.#entries[index]?.kill();
    const entry = startEntry(this.#shared, `entry-${index}`);
    entry.setLeaving(this.#leaving);
    this.#entries[index] = entry;
    this.#generations[index] = (this.#generations[index] ?? 0) + 1;
  }

  #startClient(step: Extract<Step, { step: "send" }>): void {
    const { keyed, method } = step;
    const name = `operation-${this.#operations}`;
    this.#operations += 1;
    this.#openCalls += 1;
    this.#runClient({ name, keyed, method }, step.entry)
      .catch((error) => this.#recordViolation(String(error)))
      .finally(() => this.#openCalls -= 1);
  }

  /** Sends an operation and repeats it wherever that is safe, each time at the next entry. */
  async #runClient(operation: Operation, first: number): Promise<void> {
    for (let arrival = 0; arrival < MAXIMUM_ARRIVALS; arrival += 1) {
      const index = (first + arrival) % ENTRY_COUNT;
      const result = await this.#sendArrival(operation, index);
      if (result?.ok === true) return;
      const maySendAgain = operation.keyed || result?.val.ran === "no";
      if (!maySendAgain) return;
      await this.#clock.sleep(100);
    }
  }

  /** Sends an operation to one entry; returns undefined if the entry was killed before it responded. */
  async #sendArrival(
    operation: Operation,
    index: number,
  ): Promise<Result<ServiceResponse, Failure> | undefined> {
    const entry = this.#entries[index];
    if (entry === undefined) return undefined;
    const generation = this.#generations[index];
    const requestId = `request-${this.#arrivals}`;
    this.#arrivals += 1;
    const sentAtMs = this.#clock.nowMs();
    const deadlineMs = sentAtMs + DEADLINE_MS;
    const isGone = (): boolean => this.#generations[index] !== generation;
    const result = await Promise.race([
      this.#callEntry(entry, { operation, requestId, deadlineMs }),
      this.#clock.sleep(DEADLINE_MS * 4).then(() => undefined),
    ]);
    if (isGone()) return undefined;
    if (result === undefined) {
      this.#recordViolation(`${requestId} received no response`);
      return undefined;
    }
    if (this.#clock.nowMs() > deadlineMs + RESPONSE_SLACK_MS) {
      this.#recordViolation(
        `${requestId} received its response after its deadline`,
      );
    }
    this.#checkResult(operation, { requestId, result });
    return result;
  }

  #callEntry(
    entry: WorldEntry,
    call: {
      readonly operation: Operation;
      readonly requestId: string;
      readonly deadlineMs: Milliseconds;
    },
  ): Promise<Result<ServiceResponse, Failure>> {
    const { operation, requestId, deadlineMs } = call;
    return entry.requests.services.call({
      requestId,
      tenant: "tana",
      class: "cards",
      service: "cards",
      method: operation.method,
      path: "/save",
      headers: {},
      body: new TextEncoder().encode(operation.name),
      idempotent: operation.method === "GET",
      idempotencyKey: operation.keyed ? operation.name : null,
      deadlineMs,
    });
  }

  #checkResult(
    operation: Operation,
    received: {
      readonly requestId: string;
      readonly result: Result<ServiceResponse, Failure>;
    },
  ): void {
    const { oracle } = this.#shared;
    const { requestId, result } = received;
    const count = oracle.executionsOf(operation.name);
    if (operation.method === "POST" && count > 1) {
      this.#recordViolation(`${operation.name} was executed ${count} times`);
    }
    if (result.ok) {
      const text = new TextDecoder().decode(result.val.body);
      if (text !== expectedResponseText(operation.name)) {
        this.#recordViolation(`${requestId} received the response ${text}`);
      }
      return;
    }
    if (result.val.ran !== "no") return;
    if (operation.method === "POST" && count > 0) {
      this.#recordViolation(
        `${operation.name} was reported as not run, but was executed`,
      );
    }
    this.#clock.after(SETTLE_MS / 2, () => {
      if (oracle.executionsOfRequest(requestId) === 0) return;
      this.#recordViolation(
        `${requestId} was executed after it was reported as not run`,
      );
    });
  }

  #recordViolation(text: string): void {
    this.#violations.push(text);
  }
}
