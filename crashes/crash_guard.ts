/**
 * Whether and where a call may run, by the upstreams that crashed under it, as the senders of calls see it.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import { type CallContent, digestOf } from "./call_digest.ts";

/** A call that may run anywhere, one that must run apart from other suspects, or one that must not run any more. */
export type CallStanding = "clear" | "suspect" | "blocked";

/** An upstream for a suspect, or why there is none now. */
export type IsolationOutcome =
  | {
    readonly kind: "granted";
    readonly upstream: FleetUpstream;
    /** To be called when the run has ended, or does not take place. */
    readonly release: () => void;
  }
  | { readonly kind: "rejected"; readonly reason: string };

/** What a suspect needs. */
export interface IsolationDemand {
  readonly service: string;
  /** Upstreams that it was sent to. */
  readonly tried: ReadonlySet<string>;
  readonly patienceMs: Milliseconds;
}

/** An attempt that ended without a complete response though it may have run. */
export interface BrokenAttempt {
  readonly upstream: FleetUpstream;
  /** Whether this VM ended it, so that its end is no sign of a crash. */
  readonly cancelled: boolean;
}

/** An attempt with a complete response. */
export interface AnsweredAttempt {
  readonly upstream: FleetUpstream;
  readonly sentMs: Milliseconds;
  /** Whether the upstream ran the call without a failure of its own. */
  readonly succeeded: boolean;
}

/** One call, from its arrival to its end. */
export abstract class CallWatch {
  readonly #content: CallContent;
  #digest: string | undefined;

  constructor(content: CallContent) {
    this.#content = content;
  }

  /** Digest of what the call has in common with its repetitions; computed when it is first needed. */
  get digest(): string {
    this.#digest ??= digestOf(this.#content);
    return this.#digest;
  }

  get bodyBytes(): number {
    return this.#content.body.length;
  }

  abstract get standing(): CallStanding;
  /** Whether a second attempt may run beside the first one, at another upstream of the service. */
  abstract mayHedge(service: string): boolean;
  /** Waits for an upstream at which no other suspect runs. */
  abstract isolate(demand: IsolationDemand): Promise<IsolationOutcome>;
  /** Resolves when it is known, as far as that is possible at once, whether the upstream crashed. */
  abstract recordBroken(attempt: BrokenAttempt): Promise<void>;
  abstract recordAnswered(attempt: AnsweredAttempt): void;
}

/** Watches calls. */
export abstract class CrashGuard {
  /** Starts to watch a call. */
  abstract watch(content: CallContent): CallWatch;
}

/** Calls that are never the cause of a crash, as the system itself makes them. */
export class TrustedCalls extends CrashGuard {
  override watch(content: CallContent): CallWatch {
    return new TrustedCall(content);
  }
}

class TrustedCall extends CallWatch {
  override get standing(): CallStanding {
    return "clear";
  }

  override mayHedge(): boolean {
    return true;
  }

  override isolate(): Promise<IsolationOutcome> {
    const reason = "the call is no suspect";
    return Promise.resolve({ kind: "rejected", reason });
  }

  override recordBroken(): Promise<void> {
    return Promise.resolve();
  }

  override recordAnswered(): void {}
}
