/**
 * Voter changes, decided by the leader. A replica that is not a voter first receives the log as a learner;
 * once it has caught up it replaces the voter that its VM ran before, or is added if its VM is listed as a
 * control VM. Voters on VMs that are no longer listed are removed last. Changes run one at a time.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import type { Milliseconds } from "#core";
import { encodeVoterChange, type Voter } from "./entries.ts";
import { AGREEMENT_EVENTS } from "./events.ts";
import type { Instant, LeaderRole } from "./leader_role.ts";
import type { ReplicaProgress } from "./replica_progress.ts";
import type { MessageOf } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";

/** A learner counts as caught up if it is at most this many entries behind the commit index. */
const CAUGHT_UP_ENTRIES = 64;
/** A learner that sends no hello for this long is dropped. */
const LEARNER_EXPIRY_MS: Milliseconds = 10_000;

/** Report of the leader on voter changes and on the replicas that it sends to. */
export interface VoterReport {
  /**
   * `settled`: all voters know that the change is committed. `refused`: a replica was rejected as a voter.
   * `unreadable`: a replica needs a snapshot but runs a build that can't read it.
   */
  readonly kind: "settled" | "refused" | "unreadable";
  readonly seats: readonly Voter[];
  /** Index of the voter change entry; 0 unless `settled`. */
  readonly index: number;
}

/** Events for the reports of a leader, by their kind. */
export const REPORT_EVENTS = {
  settled: AGREEMENT_EVENTS.seatsChanged,
  refused: AGREEMENT_EVENTS.seatRefused,
  unreadable: AGREEMENT_EVENTS.snapshotUnreadable,
} as const;

/** Decides on voter changes during one term. */
export class VoterManager {
  readonly #state: ReplicaState;
  readonly #leaderRole: LeaderRole;
  readonly #peers: () => readonly string[];
  readonly #report: (report: VoterReport) => void;
  readonly #learnerHelloMs = new Map<string, Milliseconds>();
  readonly #rejected = new Set<string>();
  #settledIndex = 0;

  constructor(
    state: ReplicaState,
    options: {
      readonly leaderRole: LeaderRole;
      readonly peers: () => readonly string[];
      readonly report: (report: VoterReport) => void;
    },
  ) {
    this.#state = state;
    this.#leaderRole = options.leaderRole;
    this.#peers = options.peers;
    this.#report = options.report;
  }

  /** Handles the hello of a replica that is not a voter: adds it as a learner if its VM is allowed. */
  handleHello(
    vm: string,
    message: MessageOf<"hello">,
    nowMs: Milliseconds,
  ): void {
    if (this.#state.quorum().isVoter(message.from)) return;
    const learner = { replica: message.from, vm };
    if (!this.#isAllowedVm(vm)) {
      this.#reject(learner);
      return;
    }
    this.#learnerHelloMs.set(message.from, nowMs);
    this.#leaderRole.addFollower(learner);
  }

  /** Starts the next voter change if one is due. Returns `handover` if this replica must step down first. */
  tick(instant: Instant): "handover" | "none" {
    this.#expireLearners(instant.nowMs);
    const { newest } = this.#state.voterHistory;
    if (!this.#leaderRole.hasCommittedInTerm) return "none";
    if (newest.index > this.#state.committedIndex) return "none";
    this.#reportSettled();
    const voters = newest.change.after;
    // A replica can win an election while the change that removes it is not committed yet.
    const { identity } = this.#state;
    if (!voters.some((voter) => voter.replica === identity)) return "handover";
    const promotedVoters = this.#votersAfterPromotion(voters, instant.nowMs);
    if (promotedVoters !== undefined) {
      this.#appendChange({ before: voters, after: promotedVoters }, instant);
      return "none";
    }
    const voterToRemove = this.#voterToRemove(voters);
    if (voterToRemove === undefined) return "none";
    if (voterToRemove.replica === this.#state.identity) return "handover";
    const after = voters.filter((voter) => voter !== voterToRemove);
    this.#appendChange({ before: voters, after }, instant);
    return "none";
  }

  #appendChange(
    change: {
      readonly before: readonly Voter[];
      readonly after: readonly Voter[];
    },
    instant: Instant,
  ): void {
    this.#leaderRole.appendEntry("seats", encodeVoterChange(change), instant);
  }

  #isAllowedVm(vm: string): boolean {
    if (this.#peers().includes(vm)) return true;
    return this.#state.quorum().voters().some((voter) => voter.vm === vm);
  }

  #reject(learner: Voter): void {
    if (this.#rejected.has(learner.replica)) return;
    this.#rejected.add(learner.replica);
    this.#report({ kind: "refused", seats: [learner], index: 0 });
  }

  #expireLearners(nowMs: Milliseconds): void {
    for (const [replica, helloMs] of this.#learnerHelloMs) {
      if (nowMs < helloMs + LEARNER_EXPIRY_MS) continue;
      this.#learnerHelloMs.delete(replica);
      if (!this.#state.quorum().isVoter(replica)) {
        this.#leaderRole.removeFollower(replica);
      }
    }
  }

  /** Returns the voters after the promotion of the first learner that has caught up. */
  #votersAfterPromotion(
    voters: readonly Voter[],
    nowMs: Milliseconds,
  ): readonly Voter[] | undefined {
    for (const replica of this.#learnerHelloMs.keys()) {
      const progress = this.#leaderRole.progressOf(replica);
      if (progress === undefined) continue;
      if (voters.some((voter) => voter.replica === replica)) {
        this.#learnerHelloMs.delete(replica);
        continue;
      }
      if (!this.#isCaughtUp(progress, nowMs)) continue;
      const promotedVoters = this.#votersWith(progress.member, voters, nowMs);
      if (promotedVoters !== undefined) return promotedVoters;
    }
    return undefined;
  }

  #isCaughtUp(progress: ReplicaProgress, nowMs: Milliseconds): boolean {
    const { committedIndex, timing } = this.#state;
    if (nowMs > progress.lastContactMs + timing.electionMinimumMs) return false;
    return progress.matchIndex + CAUGHT_UP_ENTRIES >= committedIndex &&
      progress.matchIndex > 0;
  }

  #votersWith(
    learner: Voter,
    voters: readonly Voter[],
    nowMs: Milliseconds,
  ): readonly Voter[] | undefined {
    const previous = voters.find((voter) => voter.vm === learner.vm);
    return match(previous)
      .with(undefined, () => [...voters, learner])
      .with(P.not(undefined), (replaced) => {
        if (this.#isAlive(replaced, nowMs)) {
          this.#reject(learner);
          return undefined;
        }
        return voters.map((voter) => voter === replaced ? learner : voter);
      })
      .exhaustive();
  }

  #isAlive(voter: Voter, nowMs: Milliseconds): boolean {
    if (voter.replica === this.#state.identity) return true;
    const contactMs =
      this.#leaderRole.progressOf(voter.replica)?.lastContactMs ??
        -Infinity;
    return nowMs < contactMs + this.#state.timing.electionMinimumMs;
  }

  /** Returns a voter whose VM is no longer listed, once every listed VM runs a voter. */
  #voterToRemove(voters: readonly Voter[]): Voter | undefined {
    const peers = this.#peers();
    if (peers.length === 0) return undefined;
    for (const vm of peers) {
      if (!voters.some((voter) => voter.vm === vm)) return undefined;
    }
    return voters.find((voter) => !peers.includes(voter.vm));
  }

  #reportSettled(): void {
    const { index, change } = this.#state.voterHistory.newest;
    if (index <= this.#settledIndex) return;
    for (const voter of change.after) {
      if (voter.replica === this.#state.identity) continue;
      const progress = this.#leaderRole.progressOf(voter.replica);
      if (progress === undefined || progress.committedIndex < index) return;
    }
    this.#settledIndex = index;
    this.#report({ kind: "settled", seats: change.after, index });
  }
}
