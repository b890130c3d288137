/**
 * The control and store VMs as one control VM knows them: from their own reports and from other control VMs.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Clock, FleetNode, Milliseconds } from "#core";
import type { ObservedNode } from "./placement_plan.ts";

const RETENTION_MS: Milliseconds = 60_000;
/** Age up to which a VM is listed for others. */
const MAXIMUM_LISTED_AGE_MS: Milliseconds = 5_000;
/** Time for which a change of a VM counts as news: several rounds of gossip, as a notice may be lost. */
const NEWS_MS: Milliseconds = 1_500;

/** A known VM; times are on the clock of this VM. */
interface KnownVm {
  readonly node: FleetNode;
  /** When it was observed, by this or by another control VM. */
  readonly observedMs: Milliseconds;
  /** When it reported to this VM itself; `-Infinity` if it never did. */
  readonly reportedMs: Milliseconds;
  /** When it was first known in its present incarnation and leadership. */
  readonly changedMs: Milliseconds;
}

/** Options of `VmObservations`. */
export interface VmObservationsOptions {
  readonly clock: Clock;
  /** Returns the current state of this VM. */
  readonly self: () => FleetNode;
}

/** Stores the newest observation of each control and store VM. */
export class VmObservations {
  readonly #options: VmObservationsOptions;
  readonly #known = new Map<string, KnownVm>();

  constructor(options: VmObservationsOptions) {
    this.#options = options;
  }

  /** Records a report that a VM sent to this one; returns whether it starts or stops to lead. */
  recordReport(node: FleetNode): boolean {
    const nowMs = this.#options.clock.nowMs();
    return this.#record(node, { observedMs: nowMs, reportedMs: nowMs });
  }

  /** Records what another control VM observed; returns whether the VM starts or stops to lead. */
  recordObservation({ node, ageMs }: ObservedNode): boolean {
    const nowMs = this.#options.clock.nowMs();
    return this.#record(node, { observedMs: nowMs - ageMs });
  }

  /** Returns all known VMs, this one first. */
  all(): readonly ObservedNode[] {
    const nowMs = this.#options.clock.nowMs();
    const self = this.#options.self();
    const observed: ObservedNode[] = [{ node: self, ageMs: 0 }];
    for (const { node, observedMs } of this.#known.values()) {
      if (node.vm === self.vm) continue;
      observed.push({ node, ageMs: nowMs - observedMs });
    }
    return observed;
  }

  /** Returns the VMs that were observed recently, this one first. */
  listed(): readonly FleetNode[] {
    const listed: FleetNode[] = [];
    for (const { node, ageMs } of this.all()) {
      if (ageMs <= MAXIMUM_LISTED_AGE_MS) listed.push(node);
    }
    return listed;
  }

  /** Returns the VMs whose state the other control VMs may not know: those that report here, and changed ones. */
  news(): readonly ObservedNode[] {
    const nowMs = this.#options.clock.nowMs();
    return this.all().filter(({ node }, at) => {
      const known = this.#known.get(node.vm);
      if (at === 0 || known === undefined) return at === 0;
      return nowMs - known.reportedMs <= MAXIMUM_LISTED_AGE_MS ||
        nowMs - known.changedMs <= NEWS_MS;
    });
  }

  /** Forgets VMs that were not observed for a long time. */
  expire(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [vm, { observedMs }] of this.#known) {
      if (nowMs - observedMs > RETENTION_MS) this.#known.delete(vm);
    }
  }

  #record(
    node: FleetNode,
    times: {
      readonly observedMs: Milliseconds;
      readonly reportedMs?: Milliseconds;
    },
  ): boolean {
    if (node.role === "entry") return false;
    const { observedMs } = times;
    const known = this.#known.get(node.vm);
    if (known !== undefined && known.observedMs >= observedMs) return false;
    const reportedMs = times.reportedMs ?? known?.reportedMs ?? -Infinity;
    const isSame = known !== undefined && stateOf(known.node) === stateOf(node);
    const changedMs = isSame ? known.changedMs : this.#options.clock.nowMs();
    this.#known.set(node.vm, { node, observedMs, reportedMs, changedMs });
    return known?.node.leads !== node.leads;
  }
}

/** Returns a text that changes with anything that a follower uses of these VMs. */
export function digestOf(nodes: readonly FleetNode[]): string {
  const text = nodes.map(stateOf).sort().join("\n");
  return createHash("sha256").update(text).digest("base64url");
}

function stateOf(node: FleetNode): string {
  const { vm, role, zone, startedMs, leads, term } = node;
  return `${vm} ${role} ${zone} ${startedMs} ${leads ? term : ""}`;
}
