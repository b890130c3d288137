/**
 * Who gets a seat, decided by the leader: a replica without one first learns the log; once it has caught
 * up it takes the seat of the replica that its VM ran before, or a new seat if its VM is named as a
 * control VM. Seats of VMs that are no longer named go last. One change at a time.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import type { Milliseconds } from "#core";
import { encodeVoterChange, type Voter } from "./entries.ts";
import type { Instant, LeaderRole, ReplicaProgress } from "./leader_role.ts";
import type { MessageOf } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";

const CAUGHT_UP_ENTRIES = 64;
const LEARNER_EXPIRY_MS: Milliseconds = 10_000;

/** What the leader reports of seats. */
export interface VoterReport {
  /** `settled`: all voters know that the change is committed. `refused`: a replica can't have a seat. */
  readonly kind: "settled" | "refused";
  readonly seats: readonly Voter[];
  /** Index of the change, or 0. */
  readonly index: number;
}

/** Decides on seats for one term. */
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
      readonly leadership: LeaderRole;
      readonly peers: () => readonly string[];
      readonly report: (report: VoterReport) => void;
    },
  ) {
    this.#state = state;
    this.#leaderRole = options.leadership;
    this.#peers = options.peers;
    this.#report = options.report;
  }

  /** Lets a replica without a seat learn. */
  handleHello(
    vm: string,
    message: MessageOf<"hello">,
    nowMs: Milliseconds,
  ): void {
    if (this.#state.quorum().isVoter(message.from)) return;
    const seat = { replica: message.from, vm };
    if (!this.#isAllowedVm(vm)) {
      this.#reject(seat);
      return;
    }
    this.#learnerHelloMs.set(message.from, nowMs);
    this.#leaderRole.addFollower(seat);
  }

  /** Makes the next change if one is due; `handover` if this replica should stop to lead first. */
  tick(instant: Instant): "handover" | "none" {
    this.#expireLearners(instant.nowMs);
    const { newest } = this.#state.voterHistory;
    if (!this.#leaderRole.hasCommittedInTerm) return "none";
    if (newest.index > this.#state.committedIndex) return "none";
    this.#reportSettled();
    const seats = newest.change.after;
    const promoted = this.#votersAfterPromotion(seats, instant.nowMs);
    if (promoted !== undefined) {
      this.#appendChange({ before: seats, after: promoted }, instant);
      return "none";
    }
    const leaving = this.#voterToRemove(seats);
    if (leaving === undefined) return "none";
    if (leaving.replica === this.#state.identity) return "handover";
    const after = seats.filter((seat) => seat !== leaving);
    this.#appendChange({ before: seats, after }, instant);
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
    return this.#state.quorum().voters().some((seat) => seat.vm === vm);
  }

  #reject(seat: Voter): void {
    if (this.#rejected.has(seat.replica)) return;
    this.#rejected.add(seat.replica);
    this.#report({ kind: "refused", seats: [seat], index: 0 });
  }

  #expireLearners(nowMs: Milliseconds): void {
    for (const [replica, heardMs] of this.#learnerHelloMs) {
      if (nowMs < heardMs + LEARNER_EXPIRY_MS) continue;
      this.#learnerHelloMs.delete(replica);
      if (!this.#state.quorum().isVoter(replica)) {
        this.#leaderRole.removeFollower(replica);
      }
    }
  }

  /** The seats after the first learner that has caught up got one. */
  #votersAfterPromotion(
    seats: readonly Voter[],
    nowMs: Milliseconds,
  ): readonly Voter[] | undefined {
    for (const replica of this.#learnerHelloMs.keys()) {
      const progress = this.#leaderRole.progressOf(replica);
      if (progress === undefined) continue;
      if (seats.some((seat) => seat.replica === replica)) {
        this.#learnerHelloMs.delete(replica);
        continue;
      }
      if (!this.#isCaughtUp(progress, nowMs)) continue;
      const promoted = this.#votersWith(progress.voter, seats, nowMs);
      if (promoted !== undefined) return promoted;
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
    seats: readonly Voter[],
    nowMs: Milliseconds,
  ): readonly Voter[] | undefined {
    const old = seats.find((seat) => seat.vm === learner.vm);
    return match(old)
      .with(undefined, () => [...seats, learner])
      .with(P.not(undefined), (replaced) => {
        if (this.#isAlive(replaced, nowMs)) {
          this.#reject(learner);
          return undefined;
        }
        return seats.map((seat) => seat === replaced ? learner : seat);
      })
      .exhaustive();
  }

  #isAlive(seat: Voter, nowMs: Milliseconds): boolean {
    if (seat.replica === this.#state.identity) return true;
    const contactMs =
      this.#leaderRole.progressOf(seat.replica)?.lastContactMs ??
        -Infinity;
    return nowMs < contactMs + this.#state.timing.electionMinimumMs;
  }

  /** A seat whose VM is no longer named, once all VMs that are named have seats. */
  #voterToRemove(seats: readonly Voter[]): Voter | undefined {
    const peers = this.#peers();
    if (peers.length === 0) return undefined;
    for (const vm of peers) {
      if (!seats.some((seat) => seat.vm === vm)) return undefined;
    }
    return seats.find((seat) => !peers.includes(seat.vm));
  }

  #reportSettled(): void {
    const { index, change } = this.#state.voterHistory.newest;
    if (index <= this.#settledIndex) return;
    for (const seat of change.after) {
      if (seat.replica === this.#state.identity) continue;
      const progress = this.#leaderRole.progressOf(seat.replica);
      if (progress === undefined || progress.committedIndex < index) return;
    }
    this.#settledIndex = index;
    this.#report({ kind: "settled", seats: change.after, index });
  }
}
