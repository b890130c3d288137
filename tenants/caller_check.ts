/**
 * Decides whether a call may run, by its API key.
 *
 * @module
 */
import {
  type CallerIdentity,
  type ClockReading,
  digestApiKey,
  fail,
  type Failure,
  type Milliseconds,
  type RoutingConfiguration,
} from "#core";
import type { ConfigurationLease } from "./configuration_lease.ts";
import { CachedKeyDirectory } from "./key_directory.ts";

/** Time in which a VM that reaches a control VM renews its lease. */
const RETRY_AFTER_MS: Milliseconds = 300;

/** Whether a call may run. */
export type CallerVerdict =
  | {
    readonly kind: "accepted";
    /** Null if the call has no valid key; undefined if the configuration has no tenants. */
    readonly caller: CallerIdentity | null | undefined;
    /** Whether it may still run, to be checked before each attempt. */
    readonly mayRun: () => boolean;
  }
  /** The key belongs to no tenant. */
  | { readonly kind: "rejected" }
  /** It is not certain which keys are valid. */
  | { readonly kind: "unsure"; readonly reason: string };

type Rejection = Exclude<CallerVerdict, { kind: "accepted" }>;

/** Options of `CallerCheck`. */
export interface CallerCheckOptions {
  /** Returns the active configuration. */
  readonly configuration: () => RoutingConfiguration | null;
  readonly lease: ConfigurationLease;
  readonly readClocks: () => ClockReading;
  /** Time within which a VM that reaches the control VMs has each new configuration. */
  readonly configurationApplyMs: Milliseconds;
}

/** Checks the API keys of calls. */
export class CallerCheck {
  readonly #options: CallerCheckOptions;
  readonly #directories = new CachedKeyDirectory();

  constructor(options: CallerCheckOptions) {
    this.#options = options;
  }

  /**
   * Decides about a call with a key, or null if it has none. On a public route a key that can't be trusted counts as
   * none.
   */
  check(
    key: string | null,
    { isPublic }: { readonly isPublic: boolean },
  ): CallerVerdict {
    const needsKeys = this.#options.configuration()?.tenants !== undefined;
    const digest = needsKeys && key !== null ? digestApiKey(key) : null;
    const verdict = this.#decide(digest);
    if (!isPublic) return verdict;
    const caller = verdict.kind === "accepted" ? verdict.caller : null;
    return { kind: "accepted", caller, mayRun: () => true };
  }

  /** Whether this VM can accept keys, or needs none. */
  canAcceptKeys(): boolean {
    const { configuration, lease, readClocks } = this.#options;
    const active = configuration();
    if (active?.tenants === undefined) return true;
    return lease.isValid(readClocks(), active.version);
  }

  /** Returns on what the decisions rest, for the log. */
  state(): {
    readonly version: number | null;
    readonly proofAgeMs: Milliseconds | null;
  } {
    const { configuration, lease, readClocks } = this.#options;
    const version = configuration()?.version ?? null;
    if (version === null) return { version, proofAgeMs: null };
    const ageMs = lease.ageMs(readClocks(), version);
    return { version, proofAgeMs: ageMs === null ? null : Math.round(ageMs) };
  }

  #decide(digest: string | null): CallerVerdict {
    const { configuration, lease, readClocks, configurationApplyMs } =
      this.#options;
    const active = configuration();
    if (active === null) {
      return { kind: "unsure", reason: "this VM has no configuration" };
    }
    const directory = this.#directories.of(active);
    if (directory === null) {
      return { kind: "accepted", caller: undefined, mayRun: () => true };
    }
    const now = readClocks();
    const caller = digest === null ? undefined : directory.find(digest);
    if (digest !== null && caller !== undefined) {
      if (lease.isValid(now, active.version)) {
        const mayRun = (): boolean => this.#mayStillRun(digest, caller);
        return { kind: "accepted", caller, mayRun };
      }
      const reason = "it is not known whether the key has been revoked";
      return { kind: "unsure", reason };
    }
    const limitMs = configurationApplyMs;
    if (lease.isNewest(now, active.version, { limitMs })) {
      return { kind: "rejected" };
    }
    const reason = "it is not known whether a newer configuration has the key";
    return { kind: "unsure", reason };
  }

  #mayStillRun(digest: string, { tenant }: CallerIdentity): boolean {
    const verdict = this.#decide(digest);
    if (verdict.kind !== "accepted") return false;
    return verdict.caller === undefined || verdict.caller?.tenant === tenant;
  }
}

/**
 * Returns the failure of a call that was not accepted.
 *
 * @example
 * ```ts
 * callerFailure({ kind: "rejected" }).kind; // "invalid_api_key"
 * ```
 */
export function callerFailure(verdict: Rejection): Failure {
  if (verdict.kind === "rejected") {
    return fail("invalid_api_key", "the call has no key of a tenant");
  }
  return fail("configuration_unconfirmed", verdict.reason, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}
