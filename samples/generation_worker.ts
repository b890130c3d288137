/**
 * Generation at one entry: leases groups from the ledger, generates them, and renews the lease meanwhile.
 *
 * @module
 */
import type {
  Blackboard,
  BoardSections,
  Milliseconds,
  Timer,
  TrainerEntry,
} from "#core";
import { SAMPLES_EVENTS } from "./events.ts";
import {
  GroupGenerator,
  type GroupGeneratorOptions,
} from "./group_generator.ts";
import { groupsToLease, targetSamplesInWork } from "./lease_demand.ts";
import type {
  LeasedGroup,
  LeaseReply,
  PublishedVersion,
  StepProgress,
} from "./ledger_types.ts";

const TICK_INTERVAL_MS: Milliseconds = 200;
/** Maximum time between renewals of the lease while groups are leased. */
const LEASE_RENEWAL_MS: Milliseconds = 1_000;
/** Time between requests for progress while there is nothing to lease. */
const IDLE_POLL_MS: Milliseconds = 500;
/** Maximum time that a planned stop waits for running groups. */
const DRAIN_TIMEOUT_MS: Milliseconds = 20_000;

/** Options of `GenerationWorker`. */
export interface GenerationWorkerOptions extends
  Omit<
    GroupGeneratorOptions,
    "latestVersion" | "isTail" | "refreshVersions" | "upstreams"
  > {
  readonly vm: string;
  readonly zone: string;
  readonly board: Blackboard<BoardSections>;
}

/** Leases and generates groups at one entry. */
export class GenerationWorker {
  readonly #options: GenerationWorkerOptions;
  readonly #groupOptions: GroupGeneratorOptions;
  readonly #epoch: string;
  readonly #groups = new Map<string, GroupGenerator>();
  readonly #latestVersions = new Map<string, number>();
  #progress: readonly StepProgress[] = [];
  #groupsToReturn: LeasedGroup[] = [];
  #sequence = 0;
  #leasedAtMs = Number.NEGATIVE_INFINITY;
  #polledAtMs = Number.NEGATIVE_INFINITY;
  #leaseInProgress = false;
  #draining = false;
  #timer: Timer | null = null;

  constructor(options: GenerationWorkerOptions) {
    this.#options = options;
    this.#epoch = options.random.identifier();
    this.#groupOptions = {
      ...options,
      latestVersion: (model) => this.#latestVersions.get(model) ?? null,
      isTail: (trainer, step) => this.#isTail(trainer, step),
      refreshVersions: () => this.#pollProgress(),
      upstreams: () => options.board.read("upstreams"),
    };
  }

  /** Number of groups that are being generated. */
  get groupsInWork(): number {
    return this.#groups.size;
  }

  /** Starts leasing and generating groups. */
  start(): void {
    this.#timer ??= this.#options.clock.every(TICK_INTERVAL_MS, () => {
      void this.#tick();
    });
  }

  /** Stops leasing, waits a limited time for running groups to finish, and releases the lease on the rest. */
  async drain(): Promise<void> {
    this.#draining = true;
    const { clock, events, ledger, vm } = this.#options;
    const drainUntilMs = clock.nowMs() + DRAIN_TIMEOUT_MS;
    while (this.#groups.size > 0 && clock.nowMs() < drainUntilMs) {
      await clock.sleep(TICK_INTERVAL_MS);
    }
    this.#timer?.cancel();
    this.#timer = null;
    const returnedCount = this.#groups.size;
    for (const work of this.#groups.values()) work.abort();
    this.#groups.clear();
    if (this.#sequence > 0) await ledger.release(vm, this.#epoch);
    events.emit(SAMPLES_EVENTS.drained, { groupsGivenBack: returnedCount });
  }

  async #tick(): Promise<void> {
    this.#hedgeStragglers();
    const upstreams = this.#options.board.read("upstreams");
    this.#options.versionTracker?.readUnknown(upstreams.values());
    if (this.#leaseInProgress) return;
    this.#leaseInProgress = true;
    try {
      await this.#leaseIfDue();
    } finally {
      this.#leaseInProgress = false;
    }
  }

  #hedgeStragglers(): void {
    const runningSamples = [];
    for (const work of this.#groups.values()) {
      for (const sample of work.generators) {
        const snapshot = sample.snapshot();
        if (snapshot !== null) runningSamples.push(snapshot);
      }
    }
    const { policy, clock } = this.#options;
    const chosen = new Set(
      policy.selectStragglers(runningSamples, clock.nowMs()),
    );
    if (chosen.size === 0) return;
    for (const work of this.#groups.values()) {
      for (const sample of work.generators) {
        if (chosen.has(sample.key)) sample.startHedgedAttempt();
      }
    }
  }

  async #leaseIfDue(): Promise<void> {
    const nowMs = this.#options.clock.nowMs();
    if (this.#groups.size === 0 && !this.#hasUnfinishedStep()) {
      if (nowMs - this.#polledAtMs >= IDLE_POLL_MS) await this.#pollProgress();
      if (!this.#hasUnfinishedStep()) return;
    }
    const limit = this.#leaseLimit(nowMs);
    if (limit === 0 && this.#groups.size === 0) {
      if (nowMs - this.#polledAtMs >= IDLE_POLL_MS) await this.#pollProgress();
      return;
    }
    const canLeaseMore = limit > 0 &&
      this.#progress.some((step) => step.open > 0);
    if (!canLeaseMore && nowMs - this.#leasedAtMs < LEASE_RENEWAL_MS) return;
    await this.#requestLease(limit);
  }

  #leaseLimit(nowMs: Milliseconds): number {
    if (this.#draining) return 0;
    const wanted = targetSamplesInWork(
      this.#options.board,
      this.#options,
      nowMs,
    );
    let inWork = 0;
    for (const work of this.#groups.values()) inWork += work.group.groupSize;
    const unfinished = this.#progress.filter(isUnfinished);
    return groupsToLease(unfinished, wanted, inWork);
  }

  #hasUnfinishedStep(): boolean {
    return this.#progress.some(isUnfinished);
  }

  async #pollProgress(): Promise<void> {
    this.#polledAtMs = this.#options.clock.nowMs();
    const reply = await this.#options.ledger.query<"progress">({
      kind: "progress",
    });
    if (reply.ok) this.#applyProgress(reply.val.progress, reply.val.published);
  }

  async #requestLease(limit: number): Promise<void> {
    const returned = this.#groupsToReturn;
    const reply = await this.#options.ledger.lease({
      kind: "lease",
      holder: this.#options.vm,
      epoch: this.#epoch,
      sequence: this.#sequence + 1,
      limit,
      returned: returned.map(({ trainer, step, group }) => ({
        trainer,
        step,
        group,
      })),
    });
    if (reply.err) return;
    this.#groupsToReturn = this.#groupsToReturn.slice(returned.length);
    this.#sequence += 1;
    this.#leasedAtMs = this.#options.clock.nowMs();
    this.#applyProgress(reply.val.progress, reply.val.published);
    this.#applyLease(reply.val);
  }

  #applyLease(reply: LeaseReply): void {
    if (!reply.renewed && this.#groups.size > 0) {
      this.#options.events.emit(SAMPLES_EVENTS.leaseLost, {
        groups: this.#groups.size,
      });
      for (const work of this.#groups.values()) work.abort();
      this.#groups.clear();
    }
    for (const group of reply.groups) this.#startGroup(group);
  }

  #startGroup(group: LeasedGroup): void {
    const key = `${group.trainer}/${group.step}/${group.group}`;
    if (this.#groups.has(key)) return;
    const trainer = this.#findTrainer(group.trainer);
    if (trainer === undefined || this.#draining) {
      this.#groupsToReturn.push(group);
      return;
    }
    const work = new GroupGenerator(this.#groupOptions, { group, trainer });
    this.#groups.set(key, work);
    void work.run().catch(() => "refused" as const).then((outcome) => {
      if (this.#groups.get(key) !== work) return;
      this.#groups.delete(key);
      if (outcome === "refused") this.#groupsToReturn.push(group);
    });
  }

  #findTrainer(name: string): TrainerEntry | undefined {
    const bundle = this.#options.board.read("bundle")?.signed.bundle;
    return bundle?.trainers.find((trainer) => trainer.name === name);
  }

  #applyProgress(
    progress: readonly StepProgress[],
    published: readonly PublishedVersion[],
  ): void {
    this.#progress = progress;
    this.#options.board.write(
      "samples",
      "steps",
      progress.map((step) => ({
        trainer: step.trainer,
        step: step.step,
        groups: step.groups,
        committed: step.committed + step.delivered,
        delivered: step.delivered,
      })),
    );
    let changed = false;
    for (const { model, version } of published) {
      if (this.#latestVersions.get(model) === version) continue;
      this.#latestVersions.set(model, version);
      changed = true;
    }
    if (!changed) return;
    for (const work of this.#groups.values()) {
      for (const sample of work.generators) sample.cancelStaleAttempts();
    }
  }

  #isTail(trainer: string, step: number): boolean {
    for (const progress of this.#progress) {
      if (progress.trainer !== trainer || progress.step !== step) continue;
      return progress.open === 0;
    }
    return false;
  }
}

function isUnfinished(step: StepProgress): boolean {
  return step.open + step.leased > 0;
}
