/**
 * Probes the other VMs over the network and publishes their states in the `members` section of the
 * blackboard.
 *
 * @module
 */
import {
  type Blackboard,
  type BoardSections,
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type RandomSource,
  type Result,
  type Timer,
  type VmState,
} from "#core";
import type { PeerNetwork } from "#wire";
import { z } from "zod";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import { MemberTable, type SelfReport } from "./member_table.ts";
import type { VmDirectory } from "./vm_directory.ts";

/** Interval between the probes of one VM. */
export const PROBE_PERIOD_MS: Milliseconds = 1_000;
const PROBE_TIMEOUT_MS: Milliseconds = 400;
const INDIRECT_PROBE_TIMEOUT_MS: Milliseconds = 1_000;
const INDIRECT_PROBE_HELPERS = 2;

const updateSchema = z.object({
  vm: z.string(),
  state: z.enum(["alive", "suspected", "unreachable"]),
  incarnation: z.number(),
});
const reportSchema = z.object({
  vm: z.string(),
  incarnation: z.number(),
  bundleVersion: z.number().nullable(),
});
const requestSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("probe"),
    report: reportSchema,
    updates: z.array(updateSchema).max(32),
  }),
  z.object({ kind: z.literal("help"), target: z.string() }),
]);
const replySchema = z.object({
  report: reportSchema,
  updates: z.array(updateSchema).max(32),
});

const STATE_EVENTS = {
  alive: MEMBERSHIP_EVENTS.vmAlive,
  suspected: MEMBERSHIP_EVENTS.vmSuspected,
  unreachable: MEMBERSHIP_EVENTS.vmUnreachable,
} as const satisfies Readonly<Record<VmState, unknown>>;

/** Options of `MemberService`. */
export interface MemberServiceOptions {
  readonly self: string;
  readonly incarnation: number;
  readonly board: Blackboard<BoardSections>;
  readonly directory: VmDirectory;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** Failure detector of one VM: probes the other VMs and handles their probes. */
export class MemberService {
  readonly #options: MemberServiceOptions;
  readonly #table: MemberTable;
  #timer: Timer | undefined;

  constructor(options: MemberServiceOptions) {
    this.#options = options;
    this.#table = new MemberTable(options);
  }

  /** Starts to send probes and to reply to them. */
  start(): void {
    this.#options.network.onRequest(
      "members",
      (from, body) => this.#handleRequest(from, body),
    );
    this.#tick();
    this.#timer = this.#options.clock.every(
      PROBE_PERIOD_MS,
      () => this.#tick(),
    );
  }

  /** Stops sending probes. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Returns the relay of a zone: its first entry VM by name that is not unreachable. */
  relayOf(zone: string): string | undefined {
    const view = this.#options.board.read("members");
    for (const vm of this.#options.directory.entryVmsOf(zone)) {
      if (vm.name === this.#options.self) return vm.name;
      if (view.get(vm.name)?.state !== "unreachable") return vm.name;
    }
    return undefined;
  }

  #tick(): void {
    const { clock, directory } = this.#options;
    const nowMs = clock.nowMs();
    const vms = [...directory.list("entry"), ...directory.list("control")];
    this.#table.setVms(vms, nowMs);
    this.#table.expireSuspicions(nowMs);
    this.#publish();
    const target = this.#table.nextProbe(nowMs);
    if (target !== undefined) this.#probe(target);
  }

  async #probe(target: string): Promise<void> {
    if (await this.#probeDirectly(target, PROBE_TIMEOUT_MS)) return;
    const helpers = this.#table.selectHelpers(target, INDIRECT_PROBE_HELPERS);
    const reports = await Promise.all(
      helpers.map((helper) => this.#requestIndirectProbe(helper, target)),
    );
    const report = reports.find((each) => each !== undefined);
    const nowMs = this.#options.clock.nowMs();
    if (report === undefined) this.#table.recordMissedProbe(target, nowMs);
    else this.#table.recordReport(report, nowMs);
    this.#publish();
  }

  async #probeDirectly(
    target: string,
    timeoutMs: Milliseconds,
  ): Promise<boolean> {
    const knownState = this.#table.updateAbout(target);
    const updates = [...this.#table.nextUpdates()];
    if (knownState !== undefined && knownState.state !== "alive") {
      updates.push(knownState);
    }
    const reply = await this.#options.network.request(
      { to: target, channel: "members", timeoutMs },
      { kind: "probe", report: this.#selfReport(), updates },
    );
    if (!reply.ok) return false;
    const parsed = replySchema.safeParse(reply.val);
    if (!parsed.success) return false;
    const nowMs = this.#options.clock.nowMs();
    this.#table.applyUpdates(parsed.data.updates, nowMs);
    this.#table.recordReport(parsed.data.report, nowMs);
    this.#publish();
    return parsed.data.report.vm === target;
  }

  async #requestIndirectProbe(
    helper: string,
    target: string,
  ): Promise<SelfReport | undefined> {
    const reply = await this.#options.network.request(
      { to: helper, channel: "members", timeoutMs: INDIRECT_PROBE_TIMEOUT_MS },
      { kind: "help", target },
    );
    if (!reply.ok) return undefined;
    const parsed = replySchema.safeParse(reply.val);
    if (!parsed.success || parsed.data.report.vm !== target) return undefined;
    return parsed.data.report;
  }

  async #handleRequest(
    from: string,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const parsed = requestSchema.safeParse(body);
    if (!parsed.success) {
      return Err(fail("malformed_request", `${from} sent a malformed probe`));
    }
    const message = parsed.data;
    if (message.kind === "help") {
      const reply = await this.#options.network.request(
        {
          to: message.target,
          channel: "members",
          timeoutMs: PROBE_TIMEOUT_MS,
        },
        { kind: "probe", report: this.#selfReport(), updates: [] },
      );
      return reply;
    }
    const nowMs = this.#options.clock.nowMs();
    this.#table.applyUpdates(message.updates, nowMs);
    this.#table.recordReport(message.report, nowMs);
    this.#publish();
    return Ok({
      report: this.#selfReport(),
      updates: this.#table.nextUpdates(),
    });
  }

  #selfReport(): SelfReport {
    const bundle = this.#options.board.read("bundle");
    return {
      vm: this.#options.self,
      incarnation: this.#table.incarnation,
      bundleVersion: bundle?.signed.bundle.version ?? null,
    };
  }

  #publish(): void {
    this.#options.board.write("members", "members", this.#table.view());
    for (const change of this.#table.drainChanges()) {
      this.#options.events.emit(STATE_EVENTS[change.state], { vm: change.vm });
    }
  }
}
