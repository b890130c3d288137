/**
 * Explicit first start of a group: one of the listed VMs, the coordinator, collects the identities of all
 * replicas, appends them as the first log entry and becomes the first leader. It forms no group once a replica
 * reports that it already belongs to one.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import { encodeVoterChange, type Voter } from "./entries.ts";
import type { MessageOf } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";

const FIRST_TERM = 1;
const FIRST_INDEX = 1;
const GROUP_IDENTIFIER_LENGTH = 16;

/** The VMs of a group that is formed. */
export interface InitialGroup {
  readonly voters: readonly string[];
  /** The voter that forms the group, the same on all of them; by default the alphabetically first one. */
  readonly coordinator?: string;
}

/** Forms a group of replicas that don't belong to one yet. */
export class Formation {
  readonly #state: ReplicaState;
  readonly #voters: readonly string[];
  readonly #coordinator: string | undefined;
  readonly #replicas = new Map<string, string>();
  #abandoned = false;

  constructor(state: ReplicaState, group: InitialGroup) {
    this.#state = state;
    this.#voters = [...group.voters].sort();
    this.#coordinator = group.coordinator ?? this.#voters[0];
  }

  /** Whether this replica collects the identities and forms the group. */
  isCoordinator(): boolean {
    if (this.#abandoned || this.#state.group !== null) return false;
    return this.#coordinator === this.#state.vm;
  }

  /** Requests the identities of the other voters' replicas. */
  requestIdentities(): void {
    if (!this.isCoordinator()) return;
    for (const vm of this.#voters) {
      if (vm === this.#state.vm) continue;
      const hello = this.#state.message("hello", {
        to: null,
        formed: false,
        leader: null,
      });
      this.#state.send(vm, hello);
    }
  }

  /** Handles a reply to `requestIdentities`; ignores replies to another identity. */
  handleHelloReply(vm: string, message: MessageOf<"hello">): void {
    if (!this.isCoordinator() || message.to !== this.#state.identity) return;
    if (message.formed) {
      this.#abandoned = true;
      return;
    }
    if (this.#voters.includes(vm)) this.#replicas.set(vm, message.from);
  }

  /** Appends the first entry once all identities are known. Returns whether it did. */
  tryForm(instant: {
    readonly nowMs: Milliseconds;
    readonly wallMs: Milliseconds;
  }): boolean {
    if (!this.isCoordinator()) return false;
    const state = this.#state;
    this.#replicas.set(state.vm, state.identity);
    const voters: Voter[] = [];
    for (const vm of this.#voters) {
      const replica = this.#replicas.get(vm);
      if (replica === undefined) return false;
      voters.push({ replica, vm });
    }
    const group = state.random.identifier().slice(0, GROUP_IDENTIFIER_LENGTH);
    state.updateHardState({ group, term: FIRST_TERM });
    state.append([{
      index: FIRST_INDEX,
      term: FIRST_TERM,
      atMs: instant.wallMs,
      kind: "seats",
      body: encodeVoterChange({ before: [], after: voters }),
    }]);
    state.role = "follower";
    state.electionDueMs = instant.nowMs;
    return true;
  }
}
