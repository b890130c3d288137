/**
 * Claims an idempotency key before dispatch and stores the response after it.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  type Bundle,
  type Clock,
  type ControlPort,
  Err,
  type ErrorKind,
  type EventLog,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type RandomSource,
  type Result,
  type ServiceCall,
  type ServiceResponse,
} from "#core";
import {
  type ClaimCommand,
  type ClaimReply,
  MAXIMUM_STORED_ANSWER_BYTES,
} from "./claims.ts";
import { REQUEST_EVENTS } from "./events.ts";

/** Retry delay returned to a caller whose key has an open outcome. */
export const OPEN_CLAIM_RETRY_MS: Milliseconds = 1_000;
/** Maximum delay of a response until it is stored; storing continues in the background. */
export const MAXIMUM_STORE_WAIT_MS: Milliseconds = 500;
/** Maximum delay of a rejection until its claim is withdrawn; withdrawal continues in the background. */
export const MAXIMUM_WITHDRAW_WAIT_MS: Milliseconds = 30;

/** Maximum wait for the result of a claim. */
export const MAXIMUM_CLAIM_WAIT_MS: Milliseconds = 2_000;

const CLAIM_WAIT_FRACTION = 0.5;
/** Failure kinds that the state machine returns after the key lookup; all others say nothing about the key. */
const CLAIM_REJECTION_KINDS: ReadonlySet<ErrorKind> = new Set([
  "conflict",
  "too_many_requests",
  "malformed_request",
]);
const MAXIMUM_PROPOSE_ATTEMPTS = 5;
const INITIAL_PROPOSE_RETRY_MS: Milliseconds = 200;

/** A claim that gives this entry the right to run a request. */
export interface GrantedClaim {
  readonly key: string;
  readonly token: string;
}

/** Result of a claim: the right to run, or the stored response of the earlier run. */
export type ClaimOutcome =
  | { readonly outcome: "granted"; readonly claim: GrantedClaim }
  | { readonly outcome: "answered"; readonly answer: ServiceResponse };

/** Options of `ClaimClient`. */
export interface ClaimClientOptions {
  readonly control: ControlPort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** Claims keys and stores responses through the control port. */
export class ClaimClient {
  readonly #options: ClaimClientOptions;
  #pending = 0;

  constructor(options: ClaimClientOptions) {
    this.#options = options;
  }

  /** Number of store and withdraw commands in progress. */
  get pending(): number {
    return this.#pending;
  }

  /** Claims the key of a call. A failure means that this entry has not dispatched the call. */
  async claim(
    call: ServiceCall & { readonly idempotencyKey: string },
    limits: Bundle["limits"],
  ): Promise<Result<ClaimOutcome, Failure>> {
    const claim: GrantedClaim = {
      key: JSON.stringify([call.tenant, call.service, call.idempotencyKey]),
      token: this.#options.random.identifier(),
    };
    const leftMs = call.deadlineMs - this.#options.clock.nowMs();
    const reply = await Promise.race([
      this.#propose({
        operation: "claim",
        ...claim,
        fingerprint: fingerprintOf(call),
        retentionMs: limits.claimRetentionMs,
        maximumStored: limits.claimsStored,
      }),
      this.#timeout(
        Math.min(MAXIMUM_CLAIM_WAIT_MS, leftMs * CLAIM_WAIT_FRACTION),
      ),
    ]);
    if (reply.ok) return readReply(reply.val as ClaimReply, claim);
    if (CLAIM_REJECTION_KINDS.has(reply.val.kind)) return Err(reply.val);
    if (reply.val.ran !== "no") await this.withdraw(claim);
    return Err(claimNotConfirmed(reply.val));
  }

  /** Stores the response; resolves once stored, or after `MAXIMUM_STORE_WAIT_MS` while storing continues. */
  async store(claim: GrantedClaim, answer: ServiceResponse): Promise<void> {
    const isStorable = answer.body.length <= MAXIMUM_STORED_ANSWER_BYTES;
    const stored = this.#proposeTracked({
      operation: "store",
      ...claim,
      answer: isStorable ? { ...answer } : null,
    });
    await this.#waitAtMost(MAXIMUM_STORE_WAIT_MS, stored);
  }

  /**
   * Withdraws a claim whose request was not sent; resolves once done, or after `MAXIMUM_WITHDRAW_WAIT_MS`
   * while the withdrawal continues, so that the rejection is not delayed.
   */
  async withdraw(claim: GrantedClaim): Promise<void> {
    const withdrawn = this.#proposeTracked({ operation: "withdraw", ...claim });
    await this.#waitAtMost(MAXIMUM_WITHDRAW_WAIT_MS, withdrawn);
  }

  async #timeout(afterMs: Milliseconds): Promise<Result<never, Failure>> {
    await this.#options.clock.sleep(afterMs);
    return Err(
      fail("outcome_unknown", "the control VMs did not respond in time"),
    );
  }

  async #waitAtMost(
    mostMs: Milliseconds,
    work: Promise<unknown>,
  ): Promise<void> {
    await Promise.race([work, this.#options.clock.sleep(mostMs)]);
  }

  async #proposeTracked(command: ClaimCommand): Promise<boolean> {
    this.#pending += 1;
    try {
      return await this.#proposeWithRetries(command);
    } finally {
      this.#pending -= 1;
    }
  }

  async #proposeWithRetries(command: ClaimCommand): Promise<boolean> {
    for (let attempt = 0; attempt < MAXIMUM_PROPOSE_ATTEMPTS; attempt += 1) {
      const reply = await this.#propose(command);
      if (reply.ok) return true;
      await this.#options.clock.sleep(INITIAL_PROPOSE_RETRY_MS * 2 ** attempt);
    }
    this.#options.events.emit(REQUEST_EVENTS.claimUpdateFailed, {
      operation: command.operation,
    });
    return false;
  }

  #propose(command: ClaimCommand): Promise<Result<unknown, Failure>> {
    return this.#options.control.propose({ machine: "claims", command });
  }
}

/**
 * Returns the failure of a call that was not sent; `ran` is `unknown` because an earlier call with the key
 * may have run.
 */
function claimNotConfirmed(cause: Failure): Failure {
  return fail(
    "no_quorum",
    `the key can't be looked up: ${cause.message}; this request was not sent`,
    {
      ran: "unknown",
      retryAfterMs: cause.retryAfterMs ?? OPEN_CLAIM_RETRY_MS,
    },
  );
}

function readReply(
  reply: ClaimReply,
  claim: GrantedClaim,
): Result<ClaimOutcome, Failure> {
  switch (reply.state) {
    case "granted":
      return Ok({ outcome: "granted", claim });
    case "answered":
      return Ok({ outcome: "answered", answer: reply.answer });
    case "answer_not_kept":
      return Err(
        fail(
          "outcome_unknown",
          "the request ran; its response was too long to store",
          {
            ran: "yes",
          },
        ),
      );
    default:
      return Err(
        fail(
          "outcome_unknown",
          "a request with this key has no known outcome",
          {
            retryAfterMs: OPEN_CLAIM_RETRY_MS,
          },
        ),
      );
  }
}

/** Returns a digest of the fields that two calls with one key must have in common. */
function fingerprintOf(call: ServiceCall): string {
  return createHash("sha256")
    .update(`${call.method} ${call.path}\n`)
    .update(call.headers["content-type"] ?? "")
    .update("\n")
    .update(call.body)
    .digest("hex");
}
