/**
 * Leader election. A candidate first requests trial votes (pre-votes), so that a replica that was
 * partitioned doesn't disrupt a leader that the others are in contact with; then it requests binding votes.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type { MessageOf } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";

/** Requests and grants votes. */
export class Election {
  readonly #state: ReplicaState;
  #isTrial = true;
  #requestedTerm = 0;
  #grantedBy = new Set<string>();
  readonly #prefersOtherLeader: () => boolean;
  /** The time to which the latest election was postponed. */
  #postponedToMs: Milliseconds | undefined;

  constructor(state: ReplicaState, prefersOtherLeader: () => boolean) {
    this.#state = state;
    this.#prefersOtherLeader = prefersOtherLeader;
  }

  /** Starts an election once the election timeout has passed. Returns whether this replica has won. */
  tick(nowMs: Milliseconds): boolean {
    const state = this.#state;
    if (state.role === "leader" || nowMs < state.electionDueMs) return false;
    if (this.#postpone(nowMs)) return false;
    state.resetElectionTimer(nowMs);
    if (!state.isVoter()) {
      state.role = "learner";
      return false;
    }
    state.role = "candidate";
    state.leader = null;
    return this.#requestVotes({ trial: true, handover: false });
  }

  /** Starts an election immediately because the leader has asked this replica to take over. */
  handleHandover(message: MessageOf<"handover">, nowMs: Milliseconds): boolean {
    const state = this.#state;
    if (message.term !== state.term || state.role !== "follower") return false;
    state.resetElectionTimer(nowMs);
    if (!state.isVoter()) return false;
    return this.#startElection(true);
  }

  /**
   * Replies to a vote request. During contact with a leader the request is ignored, unless that leader asked
   * for the election.
   */
  handleVoteRequest(
    vm: string,
    message: MessageOf<"vote">,
    nowMs: Milliseconds,
  ): void {
    const state = this.#state;
    if (!message.handover && this.#hasLiveLeader(nowMs)) return;
    if (!message.trial && message.term > state.term) {
      state.becomeFollower(message.term, null);
    }
    const granted = this.#canGrant(message);
    if (granted && !message.trial) {
      if (state.votedFor === null) {
        state.updateHardState({ votedFor: message.from });
      }
      state.resetElectionTimer(nowMs);
    }
    const committedIndex = state.committedIndex;
    const reply = state.message("voteReply", {
      to: message.from,
      group: message.group,
      trial: message.trial,
      round: message.term,
      granted,
      committedIndex,
      committedTerm: state.log.termAt(committedIndex) ?? 0,
    });
    state.sendAfterSync(vm, reply);
  }

  /** Counts a vote reply. Returns whether this replica has won. */
  handleVoteReply(message: MessageOf<"voteReply">): boolean {
    const state = this.#state;
    this.#adoptCommitIndex(message);
    if (message.term > state.term) {
      state.becomeFollower(message.term, null);
      return false;
    }
    if (state.role !== "candidate") return false;
    if (
      message.round !== this.#requestedTerm || message.trial !== this.#isTrial
    ) {
      return false;
    }
    if (!message.granted) return false;
    this.#grantedBy.add(message.from);
    return this.#tallyVotes();
  }

  /** Postpones an election once, so that any other voter starts its own before. Returns whether it did. */
  #postpone(nowMs: Milliseconds): boolean {
    const state = this.#state;
    if (state.electionDueMs === this.#postponedToMs) return false;
    if (!this.#prefersOtherLeader()) return false;
    const { electionSpreadMs, heartbeatMs } = state.timing;
    this.#postponedToMs = nowMs + electionSpreadMs + heartbeatMs;
    state.electionDueMs = this.#postponedToMs;
    return true;
  }

  #hasLiveLeader(nowMs: Milliseconds): boolean {
    const state = this.#state;
    if (state.role === "leader") return true;
    return nowMs < state.lastLeaderContactMs + state.timing.electionMinimumMs;
  }

  #canGrant(message: MessageOf<"vote">): boolean {
    const state = this.#state;
    if (message.lastTerm < state.log.lastTerm) return false;
    if (
      message.lastTerm === state.log.lastTerm &&
      message.lastIndex < state.log.lastIndex
    ) return false;
    if (message.trial) return message.term > state.term;
    if (message.term !== state.term) return false;
    return state.votedFor === null || state.votedFor === message.from;
  }

  #requestVotes(
    options: { readonly trial: boolean; readonly handover: boolean },
  ): boolean {
    const state = this.#state;
    this.#isTrial = options.trial;
    this.#requestedTerm = options.trial ? state.term + 1 : state.term;
    this.#grantedBy = new Set([state.identity]);
    for (const voter of state.quorum().voters()) {
      if (voter.replica === state.identity) continue;
      const request = state.message("vote", {
        to: voter.replica,
        term: this.#requestedTerm,
        trial: options.trial,
        handover: options.handover,
        lastIndex: state.log.lastIndex,
        lastTerm: state.log.lastTerm,
      });
      state.sendAfterSync(voter.vm, request);
    }
    return this.#tallyVotes();
  }

  #startElection(handover: boolean): boolean {
    const state = this.#state;
    state.updateHardState({ term: state.term + 1, votedFor: state.identity });
    state.role = "candidate";
    state.leader = null;
    return this.#requestVotes({ trial: false, handover });
  }

  #tallyVotes(): boolean {
    if (!this.#state.quorum().isQuorum(this.#grantedBy)) return false;
    return this.#isTrial ? this.#startElection(false) : true;
  }

  /** Adopts a higher commit index reported by a voter: the lists of voters can depend on it. */
  #adoptCommitIndex(message: MessageOf<"voteReply">): void {
    const state = this.#state;
    const { committedIndex, committedTerm } = message;
    if (committedIndex <= state.committedIndex) return;
    if (state.log.termAt(committedIndex) !== committedTerm) return;
    state.commit(committedIndex);
  }
}
