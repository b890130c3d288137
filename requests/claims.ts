/**
 * Replicated state machine of claims on idempotency keys, so that a request with a key runs at most once
 * whichever entry VM it arrives at.
 *
 * @module
 */
import { z } from "zod";
import {
  type Bytes,
  type Committed,
  Err,
  fail,
  type Failure,
  KIBIBYTE,
  MEBIBYTE,
  type Milliseconds,
  Ok,
  type Result,
  StateMachine,
} from "#core";

/** Maximum body size of a stored response; of a longer one only the fact that it ran is stored. */
export const MAXIMUM_STORED_ANSWER_BYTES: Bytes = 64 * KIBIBYTE;
/** Maximum size of all stored responses; of a further one only the fact that it ran is stored. */
export const MAXIMUM_STORED_ANSWERS_BYTES: Bytes = 32 * MEBIBYTE;
/** How long a withdrawn token is stored, so that a delayed claim with it has no effect. */
export const WITHDRAWN_TOKEN_RETENTION_MS: Milliseconds = 60_000;
/** Maximum number of withdrawn tokens stored; dropping one can leave a key open but never run it twice. */
export const MAXIMUM_WITHDRAWN_TOKENS = 10_000;

const MAXIMUM_KEY_LENGTH = 1_024;
const ANSWER_OVERHEAD_BYTES: Bytes = 512;

const answerSchema = z.object({
  status: z.number().int().min(100).max(599),
  headers: z.record(z.string(), z.string()),
  body: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  upstream: z.string().max(256),
});

const commandSchema = z.discriminatedUnion("operation", [
  z.object({
    operation: z.literal("claim"),
    key: z.string().min(1).max(MAXIMUM_KEY_LENGTH),
    token: z.string().min(1).max(64),
    fingerprint: z.string().max(128),
    retentionMs: z.number().nonnegative(),
    maximumStored: z.number().int().nonnegative(),
  }),
  z.object({
    operation: z.literal("store"),
    key: z.string().min(1).max(MAXIMUM_KEY_LENGTH),
    token: z.string().min(1).max(64),
    answer: answerSchema.nullable(),
  }),
  z.object({
    operation: z.literal("withdraw"),
    key: z.string().min(1).max(MAXIMUM_KEY_LENGTH),
    token: z.string().min(1).max(64),
  }),
]);

/**
 * Commands that entry VMs propose. `claim` requests the right to run a key; `store` stores the response, or
 * null if it is too long; `withdraw` releases a claim whose request was not sent, not even in part.
 */
export type ClaimCommand = z.infer<typeof commandSchema>;

/** A stored response. */
export type StoredResponse = z.infer<typeof answerSchema>;

/** Result of a command; all states but `done` are results of `claim`. */
export type ClaimReply =
  | { readonly state: "granted" }
  | { readonly state: "open" }
  | { readonly state: "answered"; readonly answer: StoredResponse }
  | { readonly state: "answer_not_kept" }
  | { readonly state: "done" };

/** Query for the number of stored claims. */
export interface ClaimQuestion {
  readonly question: "count";
}

/** Result of a query. */
export interface ClaimCount {
  readonly claims: number;
}

interface Claim {
  readonly token: string;
  readonly fingerprint: string;
  readonly expiresAtMs: Milliseconds;
  readonly state: "open" | "answered" | "answer_not_kept";
  readonly answer: StoredResponse | null;
}

interface ClaimsSnapshot {
  readonly claims: readonly (readonly [string, Claim])[];
  readonly withdrawn: readonly (readonly [string, Milliseconds])[];
}

/**
 * Stores claims in the order of creation. A claim is never evicted before its retention ends, because its
 * request could then run twice; a full machine rejects new keys instead.
 */
export class ClaimsMachine
  extends StateMachine<unknown, ClaimReply, unknown, ClaimCount> {
  override readonly name = "claims";
  #claims = new Map<string, Claim>();
  #withdrawn = new Map<string, Milliseconds>();
  #storedBytes: Bytes = 0;

  override apply(entry: Committed<unknown>): Result<ClaimReply, Failure> {
    const parsed = commandSchema.safeParse(entry.command);
    if (!parsed.success) {
      return Err(fail("malformed_request", "the claim command is malformed"));
    }
    this.#dropExpired(entry.atMs);
    const command = parsed.data;
    switch (command.operation) {
      case "claim":
        return this.#claim(command, entry.atMs);
      case "store":
        return this.#store(command);
      case "withdraw":
        return this.#withdraw(command, entry.atMs);
    }
  }

  override query(_question: unknown): Result<ClaimCount, Failure> {
    return Ok({ claims: this.#claims.size });
  }

  override snapshot(): ClaimsSnapshot {
    return {
      claims: [...this.#claims],
      withdrawn: [...this.#withdrawn],
    };
  }

  override restore(state: unknown): void {
    const snapshot = state as ClaimsSnapshot;
    this.#claims = new Map(snapshot.claims);
    this.#withdrawn = new Map(snapshot.withdrawn);
    this.#storedBytes = 0;
    for (const claim of this.#claims.values()) {
      this.#storedBytes += answerBytes(claim.answer);
    }
  }

  #claim(
    command: Extract<ClaimCommand, { operation: "claim" }>,
    atMs: Milliseconds,
  ): Result<ClaimReply, Failure> {
    if (this.#withdrawn.has(command.token)) {
      return Err(fail("conflict", "the claim was withdrawn", { ran: "no" }));
    }
    const existing = this.#claims.get(command.key);
    if (existing !== undefined) return replyToExistingClaim(existing, command);
    if (this.#claims.size >= command.maximumStored) {
      return Err(this.#capacityFailure(atMs));
    }
    this.#claims.set(command.key, {
      token: command.token,
      fingerprint: command.fingerprint,
      expiresAtMs: atMs + command.retentionMs,
      state: "open",
      answer: null,
    });
    return Ok({ state: "granted" });
  }

  #store(
    command: Extract<ClaimCommand, { operation: "store" }>,
  ): Result<ClaimReply, Failure> {
    const existing = this.#claims.get(command.key);
    if (existing?.token !== command.token || existing.state !== "open") {
      return Ok({ state: "done" });
    }
    const answer = command.answer;
    const stored = this.#isStorable(answer) ? answer : null;
    this.#storedBytes += answerBytes(stored);
    this.#claims.set(command.key, {
      ...existing,
      state: stored === null ? "answer_not_kept" : "answered",
      answer: stored,
    });
    return Ok({ state: "done" });
  }

  #isStorable(answer: StoredResponse | null): boolean {
    if (answer === null) return false;
    if (answer.body.length > MAXIMUM_STORED_ANSWER_BYTES) return false;
    const bytes = this.#storedBytes + answerBytes(answer);
    return bytes <= MAXIMUM_STORED_ANSWERS_BYTES;
  }

  #withdraw(
    command: Extract<ClaimCommand, { operation: "withdraw" }>,
    atMs: Milliseconds,
  ): Result<ClaimReply, Failure> {
    const existing = this.#claims.get(command.key);
    if (existing?.token === command.token && existing.state === "open") {
      this.#claims.delete(command.key);
    }
    this.#withdrawn.set(command.token, atMs + WITHDRAWN_TOKEN_RETENTION_MS);
    if (this.#withdrawn.size > MAXIMUM_WITHDRAWN_TOKENS) {
      const [oldest] = this.#withdrawn.keys();
      if (oldest !== undefined) this.#withdrawn.delete(oldest);
    }
    return Ok({ state: "done" });
  }

  #capacityFailure(atMs: Milliseconds): Failure {
    const [oldest] = this.#claims.values();
    const retryAfterMs = Math.max(1_000, (oldest?.expiresAtMs ?? 0) - atMs);
    return fail(
      "too_many_requests",
      "the maximum number of idempotency keys is stored",
      {
        retryAfterMs,
      },
    );
  }

  #dropExpired(atMs: Milliseconds): void {
    for (const [key, claim] of this.#claims) {
      if (claim.expiresAtMs > atMs) break;
      this.#storedBytes -= answerBytes(claim.answer);
      this.#claims.delete(key);
    }
    for (const [token, untilMs] of this.#withdrawn) {
      if (untilMs > atMs) break;
      this.#withdrawn.delete(token);
    }
  }
}

function answerBytes(answer: StoredResponse | null): Bytes {
  if (answer === null) return 0;
  let bytes = ANSWER_OVERHEAD_BYTES + answer.body.length;
  for (const [name, value] of Object.entries(answer.headers)) {
    bytes += name.length + value.length;
  }
  return bytes;
}

function replyToExistingClaim(
  claim: Claim,
  command: Extract<ClaimCommand, { operation: "claim" }>,
): Result<ClaimReply, Failure> {
  if (claim.fingerprint !== command.fingerprint) {
    return Err(fail("conflict", "the key was used with another request", {
      ran: "no",
      field: "idempotency-key",
    }));
  }
  if (claim.state === "answered" && claim.answer !== null) {
    return Ok({ state: "answered", answer: claim.answer });
  }
  if (claim.state === "answer_not_kept") return Ok({ state: claim.state });
  const isOwn = claim.token === command.token;
  return Ok({ state: isOwn ? "granted" : "open" });
}
