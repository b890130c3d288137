/**
 * Decides which VM gets permits for which upstreams, and in which order. Performs no I/O.
 *
 * The permits issued for an upstream never exceed its rate and the depth of its bucket, whoever asks. Requests that wait
 * go first, by priority, then in order of arrival. Permits for requests that are only expected come from what is
 * left beyond half of a bucket, so that holding permits ahead costs no waiting request its turn.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type { PermitRequest } from "./permit_messages.ts";
import {
  type PermitDecision,
  type ServiceLimits,
  ServicePermits,
} from "./service_permits.ts";

/** Options of `PermitAllocator`. */
export interface PermitAllocatorOptions {
  /** Returns the limits of the upstreams of a service; the same object while none changes. */
  readonly limitsOf: (service: string) => ServiceLimits;
}

/** Issues permits for the upstreams of all services. */
export class PermitAllocator {
  readonly #limitsOf: PermitAllocatorOptions["limitsOf"];
  readonly #services = new Map<string, ServicePermits>();
  /** Whether permits of an earlier allocator may still be in use, so that buckets start empty. */
  #startsEmpty = true;

  constructor(options: PermitAllocatorOptions) {
    this.#limitsOf = options.limitsOf;
  }

  /** Number of requests that wait. */
  get queued(): number {
    let queued = 0;
    for (const service of this.#services.values()) queued += service.queued;
    return queued;
  }

  /** Declares that permits of an earlier allocator are used up: buckets of new limits start full. */
  endTakeover(): void {
    this.#startsEmpty = false;
  }

  /**
   * Decides about a request now or when permits become available; `settle` is called once, possibly at once. A request
   * whose turn will not come within its patience is rejected at once.
   */
  request(
    request: PermitRequest,
    options: {
      readonly nowMs: Milliseconds;
      readonly settle: (decision: PermitDecision) => void;
    },
  ): void {
    this.#service(request.service, options.nowMs).request(request, options);
  }

  /** Issues permits to the requests whose turn has come, and rejects those whose patience has ended. */
  advance(nowMs: Milliseconds): void {
    for (const name of this.#services.keys()) {
      this.#service(name, nowMs).advance(nowMs);
    }
  }

  /** Returns the time until `advance` can decide about a waiting request, Infinity without any. */
  nextDelayMs(nowMs: Milliseconds): Milliseconds {
    let delayMs = Infinity;
    for (const service of this.#services.values()) {
      delayMs = Math.min(delayMs, service.nextDelayMs(nowMs));
    }
    return delayMs;
  }

  /** Rejects all waiting requests, as when this VM no longer leads. */
  clear(): void {
    for (const service of this.#services.values()) service.clear();
    this.#services.clear();
    this.#startsEmpty = true;
  }

  /** Forgets the services without a limit. */
  prune(nowMs: Milliseconds): void {
    for (const name of this.#services.keys()) {
      if (this.#service(name, nowMs).isIdle) this.#services.delete(name);
    }
  }

  /** Returns the permits of a service with its newest limits. */
  #service(name: string, nowMs: Milliseconds): ServicePermits {
    const service = this.#services.get(name) ?? new ServicePermits();
    this.#services.set(name, service);
    const startsFull = !this.#startsEmpty;
    service.setLimits(this.#limitsOf(name), { nowMs, startsFull });
    return service;
  }
}
