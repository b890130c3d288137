/**
 * A fake plain service: job cards with counted executions, lookups, and a scorer.
 *
 * @module
 */
import type { Milliseconds, UpstreamAnnouncement } from "#core";
import type { FakeLoad } from "./announcer.ts";
import { type FakeCall, parseJsonObject, sendJson } from "./fake_server.ts";
import { hashFraction } from "./token_text.ts";
import {
  UpstreamServer,
  type UpstreamServerOptions,
} from "./upstream_server.ts";

/** A fault to inject into the next calls. */
export type ServiceFault =
  | "none"
  | "reset_before_running"
  | "reset_after_running"
  | "cut_answer"
  | "silent";

/** Options of `FakeService`. */
export interface FakeServiceOptions extends UpstreamServerOptions {
  /** Names under which it is announced. */
  readonly services: readonly string[];
  /** Duration of each call up to the capacity; it grows with the load above that. */
  readonly workMs: Milliseconds;
}

/** A fake service that saves job cards, answers lookups and scores texts. */
export class FakeService extends UpstreamServer {
  readonly #serviceOptions: FakeServiceOptions;
  readonly #executionCounts = new Map<string, number>();
  #runningCalls = 0;
  #totalCalls = 0;
  #fault: ServiceFault = "none";
  #remainingFaults = 0;

  constructor(options: FakeServiceOptions) {
    super(options);
    this.#serviceOptions = options;
  }

  /** Returns how often the card with this identifier was saved. */
  executionCount(card: string): number {
    return this.#executionCounts.get(card) ?? 0;
  }

  /** Returns the number of executions by card identifier. */
  executionCounts(): ReadonlyMap<string, number> {
    return this.#executionCounts;
  }

  /** Injects a fault into the next `count` calls. */
  injectFault(fault: ServiceFault, count: number): void {
    this.#fault = fault;
    this.#remainingFaults = count;
  }

  override currentAnnouncement(): UpstreamAnnouncement {
    return {
      id: this.options.id,
      incarnation: this.options.incarnation,
      zone: this.options.zone,
      address: this.address,
      role: "service",
      serves: [],
      services: this.#serviceOptions.services,
      capacity: this.options.capacity,
      enforcesFences: false,
      reportsVersions: false,
    };
  }

  protected override measureLoad(): FakeLoad {
    const waiting = Math.max(0, this.#runningCalls - this.options.capacity);
    return { running: this.#runningCalls, waiting, cacheUse: 0 };
  }

  protected override async handleCall(call: FakeCall): Promise<void> {
    if (call.path === "/fakes/record") return this.#sendRecord(call);
    if (call.path === "/fakes/faults") return this.#receiveFaults(call);
    const fault = this.#nextFault();
    if (fault === "reset_before_running") {
      call.response.destroy();
      return;
    }
    this.#runningCalls += 1;
    this.#totalCalls += 1;
    const result = this.#runCall(call);
    const overloadFactor = Math.max(
      1,
      this.#runningCalls / this.options.capacity,
    );
    if (this.#serviceOptions.workMs > 0) {
      await this.options.clock.sleep(
        this.#serviceOptions.workMs * overloadFactor,
      );
    }
    this.#runningCalls -= 1;
    if (fault === "silent") return;
    if (fault === "reset_after_running") {
      call.response.destroy();
      return;
    }
    if (fault === "cut_answer") return sendTruncatedResponse(call, result);
    sendJson(call.response, result.status, result.value);
  }

  #runCall(
    call: FakeCall,
  ): { readonly status: number; readonly value: unknown } {
    if (call.method === "POST" && call.path === "/cards") {
      return this.#saveCard(call);
    }
    if (call.method === "POST" && call.path === "/score") {
      return scoreText(call);
    }
    if (call.method === "GET" || call.method === "HEAD") {
      return {
        status: 200,
        value: { path: call.path, answeredBy: this.options.id },
      };
    }
    return { status: 404, value: { error: "not found" } };
  }

  #saveCard(
    call: FakeCall,
  ): { readonly status: number; readonly value: unknown } {
    const id = parseJsonObject(call.body)?.["id"];
    if (typeof id !== "string") {
      return { status: 400, value: { error: "id must be a string" } };
    }
    const executions = this.executionCount(id) + 1;
    this.#executionCounts.set(id, executions);
    return {
      status: 201,
      value: { id, executions, answeredBy: this.options.id },
    };
  }

  #sendRecord(call: FakeCall): void {
    sendJson(call.response, 200, {
      calls: this.#totalCalls,
      executions: Object.fromEntries(this.#executionCounts),
    });
  }

  #receiveFaults(call: FakeCall): void {
    const body = parseJsonObject(call.body) ?? {};
    this.injectFault(body["fault"] as ServiceFault, Number(body["count"] ?? 1));
    sendJson(call.response, 200, {});
  }

  #nextFault(): ServiceFault {
    if (this.#remainingFaults <= 0) return "none";
    this.#remainingFaults -= 1;
    return this.#fault;
  }
}

function scoreText(
  call: FakeCall,
): { readonly status: number; readonly value: unknown } {
  const text = parseJsonObject(call.body)?.["text"];
  if (typeof text !== "string") {
    return { status: 400, value: { error: "text must be a string" } };
  }
  return { status: 200, value: { score: hashFraction(text) } };
}

function sendTruncatedResponse(
  call: FakeCall,
  result: { readonly status: number; readonly value: unknown },
): void {
  const text = JSON.stringify(result.value);
  call.response.writeHead(result.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  call.response.write(text.slice(0, text.length / 2), () => {
    call.response.destroy();
  });
}
