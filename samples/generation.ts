/**
 * Generation at one entry: leases groups from the ledger, makes them, and keeps the lease while it
 * does.
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
import { GroupWork, type GroupWorkOptions } from "./group_work.ts";
import { groupsToLease, targetSamplesInWork } from "./lease_demand.ts";
import type {
  LeasedGroup,
  LeaseReply,
  PublishedVersion,
  StepProgress,
} from "./ledger_types.ts";

const TICK_MS: Milliseconds = 200;
/** Longest time between two renewals while groups are held. */
const RENEW_MS: Milliseconds = 1_000;
/** Time between two questions for work while there is none. */
const IDLE_MS: Milliseconds = 500;
/** Longest time that a planned stop waits for groups in work. */
const DRAIN_LIMIT_MS: Milliseconds = 20_000;

/** What generation is built from. */
export interface GenerationOptions extends
  Omit<
    GroupWorkOptions,
    "newest" | "isTail" | "refresh" | "upstreams"
  > {
  readonly vm: string;
  readonly zone: string;
  readonly board: Blackboard<BoardSections>;
}

/** Makes groups at one entry. */
export class Generation {
  readonly #options: GenerationOptions;
  readonly #workOptions: GroupWorkOptions;
  readonly #epoch: string;
  readonly #work = new Map<string, GroupWork>();
  readonly #published = new Map<string, number>();
  #progress: readonly StepProgress[] = [];
  #returned: LeasedGroup[] = [];
  #sequence = 0;
  #leasedAtMs = Number.NEGATIVE_INFINITY;
  #askedAtMs = Number.NEGATIVE_INFINITY;
  #busy = false;
  #draining = false;
  #timer: Timer | null = null;

  constructor(options: GenerationOptions) {
    this.#options = options;
    this.#epoch = options.random.identifier();
    this.#workOptions = {
      ...options,
      newest: (model) => this.#published.get(model) ?? null,
      isTail: (trainer, step) => this.#isTail(trainer, step),
      refresh: () => this.#ask(),
      upstreams: () => options.board.read("upstreams"),
    };
  }

  /** Groups in work. */
  get groupsInWork(): number {
    return this.#work.size;
  }

  /** Begins to lease and make groups. */
  start(): void {
    this.#timer ??= this.#options.clock.every(TICK_MS, () => {
      void this.#tick();
    });
  }

  /** Leases no more, ends the groups in work within a limit, and gives the rest back. */
  async drain(): Promise<void> {
    this.#draining = true;
    const { clock, events, ledger, vm } = this.#options;
    const untilMs = clock.nowMs() + DRAIN_LIMIT_MS;
    while (this.#work.size > 0 && clock.nowMs() < untilMs) {
      await clock.sleep(TICK_MS);
    }
    this.#timer?.cancel();
    this.#timer = null;
    const given = this.#work.size;
    for (const work of this.#work.values()) work.abort();
    this.#work.clear();
    if (this.#sequence > 0) await ledger.release(vm, this.#epoch);
    events.emit(SAMPLES_EVENTS.drained, { groupsGivenBack: given });
  }

  async #tick(): Promise<void> {
    this.#runStragglersAgain();
    const upstreams = this.#options.board.read("upstreams");
    this.#options.witness?.observe(upstreams.values());
    if (this.#busy) return;
    this.#busy = true;
    try {
      await this.#leaseIfDue();
    } finally {
      this.#busy = false;
    }
  }

  #runStragglersAgain(): void {
    const running = [];
    for (const work of this.#work.values()) {
      for (const sample of work.samples) {
        const view = sample.view();
        if (view !== null) running.push(view);
      }
    }
    const { policy, clock } = this.#options;
    const chosen = new Set(policy.selectStragglers(running, clock.nowMs()));
    if (chosen.size === 0) return;
    for (const work of this.#work.values()) {
      for (const sample of work.samples) {
        if (chosen.has(sample.key)) sample.runAgain();
      }
    }
  }

  async #leaseIfDue(): Promise<void> {
    const nowMs = this.#options.clock.nowMs();
    if (this.#work.size === 0 && !this.#hasUnfinished()) {
      if (nowMs - this.#askedAtMs >= IDLE_MS) await this.#ask();
      if (!this.#hasUnfinished()) return;
    }
    const limit = this.#groupsWanted(nowMs);
    if (limit === 0 && this.#work.size === 0) {
      if (nowMs - this.#askedAtMs >= IDLE_MS) await this.#ask();
      return;
    }
    const more = limit > 0 && this.#progress.some((step) => step.open > 0);
    if (!more && nowMs - this.#leasedAtMs < RENEW_MS) return;
    await this.#lease(limit);
  }

  #groupsWanted(nowMs: Milliseconds): number {
    if (this.#draining) return 0;
    const wanted = targetSamplesInWork(
      this.#options.board,
      this.#options,
      nowMs,
    );
    let inWork = 0;
    for (const work of this.#work.values()) inWork += work.group.groupSize;
    const unfinished = this.#progress.filter(isUnfinished);
    return groupsToLease(unfinished, wanted, inWork);
  }

  #hasUnfinished(): boolean {
    return this.#progress.some(isUnfinished);
  }

  async #ask(): Promise<void> {
    this.#askedAtMs = this.#options.clock.nowMs();
    const answer = await this.#options.ledger.query<"progress">({
      kind: "progress",
    });
    if (answer.ok) this.#learn(answer.val.progress, answer.val.published);
  }

  async #lease(limit: number): Promise<void> {
    const returned = this.#returned;
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
    this.#returned = this.#returned.slice(returned.length);
    this.#sequence += 1;
    this.#leasedAtMs = this.#options.clock.nowMs();
    this.#learn(reply.val.progress, reply.val.published);
    this.#take(reply.val);
  }

  #take(reply: LeaseReply): void {
    if (!reply.renewed && this.#work.size > 0) {
      this.#options.events.emit(SAMPLES_EVENTS.leaseLost, {
        groups: this.#work.size,
      });
      for (const work of this.#work.values()) work.abort();
      this.#work.clear();
    }
    for (const group of reply.groups) this.#begin(group);
  }

  #begin(group: LeasedGroup): void {
    const key = `${group.trainer}/${group.step}/${group.group}`;
    if (this.#work.has(key)) return;
    const trainer = this.#findTrainer(group.trainer);
    if (trainer === undefined || this.#draining) {
      this.#returned.push(group);
      return;
    }
    const work = new GroupWork(this.#workOptions, { group, trainer });
    this.#work.set(key, work);
    void work.run().catch(() => "refused" as const).then((outcome) => {
      if (this.#work.get(key) !== work) return;
      this.#work.delete(key);
      if (outcome === "refused") this.#returned.push(group);
    });
  }

  #findTrainer(name: string): TrainerEntry | undefined {
    const bundle = this.#options.board.read("bundle")?.signed.bundle;
    return bundle?.trainers.find((trainer) => trainer.name === name);
  }

  #learn(
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
      if (this.#published.get(model) === version) continue;
      this.#published.set(model, version);
      changed = true;
    }
    if (!changed) return;
    for (const work of this.#work.values()) {
      for (const sample of work.samples) sample.endTooOld();
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
