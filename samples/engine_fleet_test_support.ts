/**
 * Fake engines in virtual time whose completion text states which version generated each token.
 *
 * @module
 */
import {
  type Address,
  type CompletionCall,
  type CompletionOptions,
  CompletionPort,
  type CompletionResult,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  type UpstreamRecord,
  type VersionRun,
  type VirtualClock,
} from "#core";
import { type EngineState, EngineStatePort } from "./engine_state.ts";
import { ENGINE } from "./entry_test_support.ts";

const TOKEN_INTERVAL_MS = 10;
const TOKENS_PER_COMPLETION = 12;
const TOKENS_PER_CHUNK = 3;

/** A fake engine. */
export class FleetEngine {
  readonly record: UpstreamRecord;
  incarnation = 1;
  fence = 0;
  /** Version that generates tokens. */
  version = 3;
  /** Version in the reported state, which lags behind `version` during a load. */
  reportedVersion = 3;
  state: "serving" | "loading" | "failed" = "serving";
  readonly #clock: VirtualClock;

  constructor(
    clock: VirtualClock,
    options: { readonly id: string; readonly reportsVersions: boolean },
  ) {
    this.#clock = clock;
    this.record = {
      ...ENGINE,
      ...options,
      address: { host: options.id, port: 1 },
    };
  }

  /** Loads the next version without interrupting streams. */
  swap(loadMs: number): void {
    if (this.state === "loading") return;
    const { incarnation } = this;
    this.fence += 1;
    this.state = "loading";
    this.#clock.after(loadMs, () => {
      if (this.incarnation !== incarnation) return;
      this.version += 1;
      this.reportedVersion = this.version;
      this.state = "serving";
    });
  }

  /** Generates tokens with the next version for half of `loadMs`, then fails and returns to the old version. */
  failSwap(loadMs: number): void {
    if (this.state === "loading") return;
    const { incarnation } = this;
    this.fence += 1;
    this.state = "loading";
    this.#clock.after(loadMs / 2, () => {
      if (this.incarnation === incarnation) this.version += 1;
    });
    this.#clock.after(loadMs, () => {
      if (this.incarnation !== incarnation) return;
      this.version -= 1;
      this.state = "serving";
    });
  }

  /** Restarts under the same identifier, with the next version. */
  restart(): void {
    this.incarnation += 1;
    this.fence = 0;
    this.version += 1;
    this.reportedVersion = this.version;
    this.state = "serving";
  }
}

/** A completion port over all fake engines; an interrupted stream resumes on another engine. */
export class EngineFleet extends CompletionPort {
  readonly engines: readonly FleetEngine[];
  readonly #clock: VirtualClock;
  #nextEngine = 0;

  constructor(clock: VirtualClock, engines: readonly FleetEngine[]) {
    super();
    this.#clock = clock;
    this.engines = engines;
  }

  override async complete(
    call: CompletionCall,
    options: CompletionOptions = {},
  ): Promise<Result<CompletionResult, Failure>> {
    const stream = new FleetStream(options);
    let engine = this.#pickEngine(call);
    let { incarnation } = engine;
    while (stream.tokens < TOKENS_PER_COMPLETION) {
      await this.#clock.sleep(TOKEN_INTERVAL_MS);
      if (options.signal?.aborted) return Err(fail("cancelled", "aborted"));
      if (engine.incarnation !== incarnation) {
        stream.sendChunk(engine);
        engine = this.#pickEngine(call);
        incarnation = engine.incarnation;
      }
      stream.appendToken(engine);
    }
    stream.sendChunk(engine);
    return Ok(stream.toAnswer(engine));
  }

  #pickEngine(call: CompletionCall): FleetEngine {
    const free = this.engines.filter((engine) =>
      !call.avoid.includes(engine.record.id)
    );
    this.#nextEngine += 1;
    const engine = free[this.#nextEngine % free.length] ?? this.engines[0];
    if (engine === undefined) throw new Error("the fleet has no engines");
    return engine;
  }
}

/** Reads the state of the fake engines, with a delay before and after. */
export class FleetStateReader extends EngineStatePort {
  readonly #clock: VirtualClock;
  readonly #engines: readonly FleetEngine[];

  constructor(clock: VirtualClock, engines: readonly FleetEngine[]) {
    super();
    this.#clock = clock;
    this.#engines = engines;
  }

  override async readState(
    address: Address,
  ): Promise<Result<EngineState, Failure>> {
    await this.#clock.sleep(TOKEN_INTERVAL_MS / 2);
    const engine = this.#engines.find((candidate) =>
      candidate.record.id === address.host
    );
    if (engine === undefined) return Err(fail("not_found", "no such engine"));
    const { incarnation, fence, reportedVersion: version, state } = engine;
    const result = {
      id: address.host,
      incarnation,
      fence,
      models: [{ model: "advice", version, state }],
    };
    await this.#clock.sleep(TOKEN_INTERVAL_MS / 2);
    return Ok(result);
  }
}

/** A completion in progress: its text, version runs and pending chunk. */
class FleetStream {
  readonly #options: CompletionOptions;
  #text = "";
  #runs: VersionRun[] | null = [];
  #pending = { version: 0, tokens: 0 };
  tokens = 0;

  constructor(options: CompletionOptions) {
    this.#options = options;
  }

  appendToken(engine: FleetEngine): void {
    const { version } = engine;
    const full = this.#pending.tokens === TOKENS_PER_CHUNK;
    if (full || this.#pending.version !== version) this.sendChunk(engine);
    this.#pending = { version, tokens: this.#pending.tokens + 1 };
    this.#text += `${version} `;
    this.tokens += 1;
  }

  sendChunk(engine: FleetEngine): void {
    const { version, tokens } = this.#pending;
    this.#pending = { version, tokens: 0 };
    if (tokens === 0) return;
    const reportsVersions = engine.record.reportsVersions;
    this.#runs = reportsVersions
      ? appendRun(this.#runs, { version, tokens })
      : null;
    this.#options.onChunk?.({
      text: "",
      tokens,
      version: reportsVersions ? version : null,
      upstream: engine.record.id,
    });
  }

  toAnswer(engine: FleetEngine): CompletionResult {
    return {
      text: this.#text,
      tokens: this.tokens,
      runs: this.#runs,
      upstream: engine.record.id,
      finishReason: "stop",
    };
  }
}

function appendRun(
  runs: VersionRun[] | null,
  run: VersionRun,
): VersionRun[] | null {
  if (runs === null) return null;
  const last = runs.at(-1);
  if (last?.version !== run.version) return [...runs, run];
  return [
    ...runs.slice(0, -1),
    { version: run.version, tokens: last.tokens + run.tokens },
  ];
}

/** Returns the version runs stated by a completion's text. */
export function actualRuns(text: string): readonly VersionRun[] {
  let runs: VersionRun[] = [];
  for (const word of text.trim().split(" ")) {
    runs = appendRun(runs, { version: Number(word), tokens: 1 }) ?? [];
  }
  return runs;
}
