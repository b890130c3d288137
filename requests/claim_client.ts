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
  STORED_ANSWER_BYTES,
} from "./claims.ts";
import { REQUEST_EVENTS } from "./events.ts";

/** When a caller asks again for a key whose outcome is open. */
export const OPEN_CLAIM_RETRY_MS: Milliseconds = 1_000;
/** Most time that an answer waits for being stored; storing goes on after it. */
export const STORE_WAIT_MS: Milliseconds = 500;

const STORE_ATTEMPTS = 5;
const STORE_PAUSE_MS: Milliseconds = 200;

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

  /** Commands still on their way. */
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
    const reply = await this.#propose({
      operation: "claim",
      ...claim,
      fingerprint: fingerprintOf(call),
      retentionMs: limits.claimRetentionMs,
      maximumStored: limits.claimsStored,
    });
    if (reply.ok) return readReply(reply.val as ClaimReply, claim);
    if (reply.val.ran === "no") return Err(reply.val);
    this.withdraw(claim);
    return Err(fail("no_quorum", "the claim could not be confirmed", {
      ran: "no",
      retryAfterMs: OPEN_CLAIM_RETRY_MS,
    }));
  }

  /** Stores the answer; resolves once stored, or after `STORE_WAIT_MS` while storing goes on. */
  async store(claim: GrantedClaim, answer: ServiceAnswer): Promise<void> {
    const kept = answer.body.length <= STORED_ANSWER_BYTES;
    const stored = this.#repeat({
      operation: "store",
      ...claim,
      answer: kept ? { ...answer } : null,
    });
    await Promise.race([
      stored,
      this.#options.clock.sleep(STORE_WAIT_MS),
    ]);
  }

  /** Gives a claim back of which no byte was sent. */
  withdraw(claim: GrantedClaim): Promise<boolean> {
    return this.#repeat({ operation: "withdraw", ...claim });
  }

  async #repeat(command: ClaimCommand): Promise<boolean> {
    for (let attempt = 0; attempt < STORE_ATTEMPTS; attempt += 1) {
      const reply = await this.#propose(command);
      if (reply.ok) return true;
      await this.#options.clock.sleep(STORE_PAUSE_MS * 2 ** attempt);
    }
    this.#options.events.emit(REQUEST_EVENTS.answerNotStored, {
      operation: command.operation,
    });
    return false;
  }

  async #propose(
    command: ClaimCommand,
  ): Promise<Result<unknown, Failure>> {
    this.#pending += 1;
    try {
      return await this.#options.control.propose({
        machine: "claims",
        command,
      });
    } finally {
      this.#pending -= 1;
    }
  }
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
