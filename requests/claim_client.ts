/**
 * How an entry VM claims a key before dispatch and stores the answer after it.
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
  type ServiceAnswer,
  type ServiceCall,
} from "#core";
import {
  type ClaimCommand,
  type ClaimReply,
  MAXIMUM_STORED_ANSWER_BYTES,
} from "./claims.ts";
import { REQUEST_EVENTS } from "./events.ts";

/** When a caller asks again for a key whose outcome is open. */
export const OPEN_CLAIM_RETRY_MS: Milliseconds = 1_000;
/** Most time that an answer waits for being stored; storing goes on after it. */
export const MAXIMUM_STORE_WAIT_MS: Milliseconds = 500;
/** Most time that a refusal waits for its claim being given back; that goes on after it. */
export const MAXIMUM_WITHDRAW_WAIT_MS: Milliseconds = 30;

/** Most time that a claim is waited for. */
export const MAXIMUM_CLAIM_WAIT_MS: Milliseconds = 2_000;

const CLAIM_WAIT_FRACTION = 0.5;
/** Kinds that the machine gives after it looked the key up; all others say nothing about the key. */
const CLAIM_REJECTION_KINDS: ReadonlySet<ErrorKind> = new Set([
  "conflict",
  "too_many_requests",
  "malformed_request",
]);
const MAXIMUM_PROPOSE_ATTEMPTS = 5;
const INITIAL_PROPOSE_RETRY_MS: Milliseconds = 200;

/** A key that this entry may run. */
export interface GrantedClaim {
  readonly key: string;
  readonly token: string;
}

/** What a claim gave: the right to run, or the answer of the run before. */
export type ClaimOutcome =
  | { readonly outcome: "granted"; readonly claim: GrantedClaim }
  | { readonly outcome: "answered"; readonly answer: ServiceAnswer };

/** What the client is built from. */
export interface ClaimClientOptions {
  readonly control: ControlPort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** Claims and stores through the control port. */
export class ClaimClient {
  readonly #options: ClaimClientOptions;
  #pending = 0;

  constructor(options: ClaimClientOptions) {
    this.#options = options;
  }

  /** Answers and withdrawals still on their way. */
  get pending(): number {
    return this.#pending;
  }

  /** Claims a keyed call. A failure means that the call has not been dispatched by this entry. */
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

  /** Stores the answer; resolves once stored, or after `STORE_WAIT_MS` while storing goes on. */
  async store(claim: GrantedClaim, answer: ServiceAnswer): Promise<void> {
    const kept = answer.body.length <= MAXIMUM_STORED_ANSWER_BYTES;
    const stored = this.#proposeTracked({
      operation: "store",
      ...claim,
      answer: kept ? { ...answer } : null,
    });
    await this.#waitAtMost(MAXIMUM_STORE_WAIT_MS, stored);
  }

  /**
   * Gives a claim back of which no byte was sent; resolves once done, or after `WITHDRAW_WAIT_MS` while it
   * goes on, so that the refusal is not held back.
   */
  async withdraw(claim: GrantedClaim): Promise<void> {
    const withdrawn = this.#proposeTracked({ operation: "withdraw", ...claim });
    await this.#waitAtMost(MAXIMUM_WITHDRAW_WAIT_MS, withdrawn);
  }

  async #timeout(afterMs: Milliseconds): Promise<Result<never, Failure>> {
    await this.#options.clock.sleep(afterMs);
    return Err(fail("outcome_unknown", "the control VMs are slow"));
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

/** This arrival was not sent, but an earlier one with the key may have run: `unknown` is the truth. */
function claimNotConfirmed(cause: Failure): Failure {
  return fail(
    "no_quorum",
    `the key can't be looked up: ${cause.message}; this arrival was not sent`,
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
        fail("outcome_unknown", "it ran; its answer was too long to keep", {
          ran: "yes",
        }),
      );
    default:
      return Err(
        fail("outcome_unknown", "a call with this key has no known end", {
          retryAfterMs: OPEN_CLAIM_RETRY_MS,
        }),
      );
  }
}

/** Digest of what makes two calls under one key the same call. */
function fingerprintOf(call: ServiceCall): string {
  return createHash("sha256")
    .update(`${call.method} ${call.path}\n`)
    .update(call.headers["content-type"] ?? "")
    .update("\n")
    .update(call.body)
    .digest("hex");
}
