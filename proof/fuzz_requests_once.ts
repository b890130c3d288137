/**
 * Fuzz of service calls against an oracle that counts executions: no operation that may not be repeated is
 * executed twice, no `ran: "no"` is false, no answer is foreign or late, no call is left open.
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
  expectedAnswer,
  UPSTREAM_FAULTS,
} from "./fuzz_requests_faults.ts";
import {
  claimsControl,
  startEntry,
  WORLD_UPSTREAMS,
  type WorldEntry,
  type WorldParts,
} from "./fuzz_requests_world.ts";

const ENTRIES = 3;
const DEADLINE_MS: Milliseconds = 2_000;
const ANSWER_SLACK_MS: Milliseconds = 600;
const SETTLE_MS: Milliseconds = 60_000;
const MAXIMUM_ARRIVALS = 4;

/** One step of a run. */
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
      entry: fc.nat({ max: ENTRIES - 1 }),
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
      entry: fc.nat({ max: ENTRIES - 1 }),
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

/** Runs the fuzz. */
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
          machine: claimsControl(clock),
          oracle: new ExecutionOracle(),
          upstreamFaults: [...upstreamFaults],
          controlFaults: [...controlFaults],
        }, clock);
        await run.play(steps);
      },
    ),
    {
      seed: options.seed,
      numRuns: options.runs,
      includeErrorInReport: true,
    },
  );
}

/** One run: its entries, its clients and what they were told. */
class OnceRun {
  readonly #parts: WorldParts;
  readonly #clock: VirtualClock;
  readonly #entries: WorldEntry[] = [];
  readonly #generations: number[] = [];
  readonly #faults: string[] = [];
  readonly #leaving = new Set<string>();
  #operations = 0;
  #arrivals = 0;
  #open = 0;

  constructor(parts: WorldParts, clock: VirtualClock) {
    this.#parts = parts;
    this.#clock = clock;
    for (let index = 0; index < ENTRIES; index += 1) {
      this.#entries.push(startEntry(parts, `entry-${index}`));
      this.#generations.push(0);
    }
  }

  async play(steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      if (step.step === "advance") await this.#clock.advanceAsync(step.ms);
      else if (step.step === "kill") this.#restart(step.entry);
      else if (step.step === "leave") this.#leave(step);
      else this.#send(step);
    }
    await this.#clock.advanceAsync(SETTLE_MS);
    if (this.#open > 0) this.#fault(`${this.#open} calls have no answer`);
    for (const entry of this.#entries) {
      const { open } = entry.requests.status();
      if (open > 0) this.#fault(`${open} calls are left open`);
      entry.kill();
    }
    if (this.#faults.length > 0) throw new Error(this.#faults.join("; "));
  }

  #leave(step: Extract<Step, { step: "leave" }>): void {
    if (step.leaving) this.#leaving.add(step.upstream);
    else this.#leaving.delete(step.upstream);
    for (const entry of this.#entries) entry.setLeaving(this.#leaving);
  }

  #restart(index: number): void {
    this.#entries[index]?.kill();
    const entry = startEntry(this.#parts, `entry-${index}`);
    entry.setLeaving(this.#leaving);
    this.#entries[index] = entry;
    this.#generations[index] = (this.#generations[index] ?? 0) + 1;
  }

  #send(step: Extract<Step, { step: "send" }>): void {
    const { keyed, method } = step;
    const name = `operation-${this.#operations}`;
    this.#operations += 1;
    this.#open += 1;
    this.#client({ name, keyed, method }, step.entry)
      .catch((error) => this.#fault(String(error)))
      .finally(() => this.#open -= 1);
  }

  /** A client that sends again wherever that must be safe, each time at the next entry. */
  async #client(operation: Operation, first: number): Promise<void> {
    for (let arrival = 0; arrival < MAXIMUM_ARRIVALS; arrival += 1) {
      const index = (first + arrival) % ENTRIES;
      const result = await this.#arrive(operation, index);
      if (result?.ok === true) return;
      const maySendAgain = operation.keyed || result?.val.ran === "no";
      if (!maySendAgain) return;
      await this.#clock.sleep(100);
    }
  }

  /** One arrival; undefined if the entry was killed before it answered. */
  async #arrive(
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
      this.#fault(`${requestId} got no answer`);
      return undefined;
    }
    if (this.#clock.nowMs() > deadlineMs + ANSWER_SLACK_MS) {
      this.#fault(`${requestId} was answered after its deadline`);
    }
    this.#check(operation, { requestId, result });
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

  #check(
    operation: Operation,
    told: {
      readonly requestId: string;
      readonly result: Result<ServiceResponse, Failure>;
    },
  ): void {
    const { oracle } = this.#parts;
    const { requestId, result } = told;
    const count = oracle.count(operation.name);
    if (operation.method === "POST" && count > 1) {
      this.#fault(`${operation.name} was executed ${count} times`);
    }
    if (result.ok) {
      const text = new TextDecoder().decode(result.val.body);
      if (text !== expectedAnswer(operation.name)) {
        this.#fault(`${requestId} got the answer ${text}`);
      }
      return;
    }
    if (result.val.ran !== "no") return;
    if (operation.method === "POST" && count > 0) {
      this.#fault(`${operation.name} was called not run, but was`);
    }
    this.#clock.after(SETTLE_MS / 2, () => {
      if (oracle.countOfRequest(requestId) === 0) return;
      this.#fault(`${requestId} ran after it was called not run`);
    });
  }

  #fault(text: string): void {
    this.#faults.push(text);
  }
}
