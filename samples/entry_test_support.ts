/**
 * Entries that share one ledger, in virtual time, for tests.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import {
  type AcceptedBundle,
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  type CompletionCall,
  type CompletionOptions,
  CompletionPort,
  type CompletionResult,
  EMPTY_BOARD,
  Err,
  fail,
  type Failure,
  type HttpRequest,
  type HttpResponse,
  isFailure,
  LocalControl,
  MemoryEventLog,
  Metrics,
  Ok,
  type Result,
  SeededRandom,
  type ServiceCall,
  ServicePort,
  type ServiceResponse,
  type TrainerEntry,
  type UpstreamRecord,
  VirtualClock,
} from "#core";
import type { EngineStatePort } from "./engine_state.ts";
import { EntrySamples } from "./entry_samples.ts";
import { LedgerMachine } from "./ledger_machine.ts";
import type { DeliveredSample } from "./sample_page.ts";

/** The trainer of all tests. */
export const TRAINER: TrainerEntry = {
  name: "tuner",
  tenant: "tana",
  class: "drafting",
  model: "advice",
  scorer: "scorer",
  weight: 1,
  maximumStaleness: 2,
};

/** Completes each request after a delay, with a single version. */
export class FakeCompletions extends CompletionPort {
  version = 3;
  calls = 0;
  onCall: () => void = () => {};
  /** Number of first completions that name no versions. */
  unversionedAnswers = 0;
  readonly #clock: VirtualClock;
  readonly #delayMs: number;

  constructor(clock: VirtualClock, delayMs = 50) {
    super();
    this.#clock = clock;
    this.#delayMs = delayMs;
  }

  override async complete(
    call: CompletionCall,
    options: CompletionOptions = {},
  ): Promise<Result<CompletionResult, Failure>> {
    this.calls += 1;
    this.onCall();
    const version = this.version;
    await this.#clock.sleep(this.#delayMs);
    if (options.signal?.aborted) return Err(fail("cancelled", "aborted"));
    const versioned = this.unversionedAnswers === 0;
    if (!versioned) this.unversionedAnswers -= 1;
    return Ok({
      text: `text of ${call.prompt} by ${call.seed}`,
      tokens: 4,
      runs: versioned ? [{ version, tokens: 4 }] : null,
      upstream: "e1",
      finishReason: "stop",
    });
  }
}

/** Returns the length of the text as its score. */
export class FakeScorer extends ServicePort {
  failures = 0;

  override call(call: ServiceCall): Promise<Result<ServiceResponse, Failure>> {
    if (this.failures > 0) {
      this.failures -= 1;
      return Promise.resolve(Err(fail("upstream_failed", "no response")));
    }
    const { text } = JSON.parse(Buffer.from(call.body).toString()) as {
      readonly text: string;
    };
    return Promise.resolve(Ok({
      status: 200,
      headers: {},
      body: Buffer.from(JSON.stringify({ score: text.length })),
      upstream: "s1",
    }));
  }
}

/** An engine in the availability zone of all entries. */
export const ENGINE = {
  id: "e1",
  zone: "a",
  role: "engine",
  leaving: false,
  capacity: 16,
  expiresAtMs: Number.MAX_SAFE_INTEGER,
} as UpstreamRecord;

/** Options of `makeTestCluster`. */
export interface TestClusterOptions {
  readonly clock?: VirtualClock;
  readonly entries?: number;
  readonly engines?: readonly UpstreamRecord[];
  readonly completions?: (clock: VirtualClock) => CompletionPort;
  readonly engineStates?: EngineStatePort;
}

/** Entries that share one ledger, in one process and virtual time. */
export interface TestCluster {
  readonly clock: VirtualClock;
  readonly scorer: FakeScorer;
  readonly ledger: LedgerMachine;
  readonly entries: readonly EntrySamples[];
  call(
    entry: number,
    request: string,
    body?: unknown,
  ): Promise<HttpResponse | Failure>;
}

/** Creates a cluster without starting its entries. */
export function makeTestCluster(options: TestClusterOptions = {}): TestCluster {
  const clock = options.clock ?? new VirtualClock(1_000);
  const ledger = new LedgerMachine({
    findTrainer: (name) => name === TRAINER.name ? TRAINER : null,
  });
  const control = new LocalControl([ledger], clock);
  const completions = options.completions?.(clock) ??
    new FakeCompletions(clock);
  const scorer = new FakeScorer();
  const entries: EntrySamples[] = [];
  for (let number = 1; number <= (options.entries ?? 1); number += 1) {
    entries.push(
      new EntrySamples({
        vm: `entry-${number}`,
        zone: "a",
        board: makeBoard(options.engines ?? [ENGINE]),
        control,
        completions,
        services: scorer,
        clock,
        random: new SeededRandom(number),
        events: new MemoryEventLog(),
        metrics: new Metrics(),
        ...(options.engineStates === undefined
          ? {}
          : { engineStates: options.engineStates }),
      }),
    );
  }
  return {
    clock,
    scorer,
    ledger,
    entries,
    call: (entry, request, body) => callRoute(entries[entry]!, request, body),
  };
}

/** Creates a blackboard with the trainer and these engines. */
export function makeBoard(
  engines: readonly UpstreamRecord[],
): Blackboard<BoardSections> {
  const board = new Blackboard<BoardSections>(EMPTY_BOARD, BOARD_WRITERS);
  const bundle = {
    signed: { bundle: { vms: [], trainers: [TRAINER] } },
  } as unknown as AcceptedBundle;
  board.write("bundles", "bundle", bundle);
  board.write(
    "registry",
    "upstreams",
    new Map(engines.map((engine) => [engine.id, engine])),
  );
  return board;
}

function callRoute(
  entry: EntrySamples,
  request: string,
  body?: unknown,
): Promise<HttpResponse | Failure> {
  const [method = "", target = ""] = request.split(" ");
  const url = new URL(target, "http://entry");
  for (const route of entry.routes()) {
    if (route.method !== method) continue;
    const names: string[] = [];
    const pattern = route.pattern.replaceAll(/:(\w+)/g, (_, name: string) => {
      names.push(name);
      return "([^/]+)";
    });
    const match = new RegExp(`^${pattern}$`).exec(url.pathname);
    if (match === null) continue;
    const parameters: Record<string, string> = {};
    for (const [index, name] of names.entries()) {
      parameters[name] = match[index + 1] ?? "";
    }
    const call: HttpRequest = {
      method,
      path: url.pathname,
      target,
      rawHeaders: [],
      parameters,
      query: url.searchParams,
      headers: {},
      body: Buffer.from(
        typeof body === "string" ? body : JSON.stringify(body ?? null),
      ),
      signal: new AbortController().signal,
    };
    return route.handle(call);
  }
  throw new Error(`no route for ${request}`);
}

/** Creates the request body of a step. */
export function makeStep(groups: number, groupSize = 2): unknown {
  return {
    groups: Array.from(
      { length: groups },
      (_, group) => ({ group, prompt: `p${group}` }),
    ),
    groupSize,
    bound: 1,
    deadlineMs: 60_000,
    maximumTokens: 64,
  };
}

/** Parses a page of samples; throws if the request failed. */
export function parsePage(answer: HttpResponse | Failure): {
  readonly cursor: string;
  readonly samples: readonly DeliveredSample[];
} {
  assert.ok(!isFailure(answer), JSON.stringify(answer));
  return JSON.parse(answer.body as string);
}
