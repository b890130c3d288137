/**
 * What changed among the listed upstreams between two revisions, so that a follower gets a change instead of the whole
 * table: with hundreds of upstreams that load weights, the table changes many times a second.
 *
 * @module
 */
import type { FleetUpstream } from "#core";

/** Revisions for which a delta is available. */
const MAXIMUM_REVISIONS = 1_000;

/** A change of the listed upstreams. */
export interface FleetDelta {
  /** Upstreams that are new or changed. */
  readonly upstreams: readonly FleetUpstream[];
  /** Identifiers of upstreams that are no longer listed. */
  readonly removed: readonly string[];
}

/** Where the upstreams come from. */
export interface FleetSource {
  /** Increases with each change that affects routing. */
  readonly revision: number;
  listed(): readonly FleetUpstream[];
}

/** Remembers at which revision each upstream changed or went. */
export class FleetDeltas {
  readonly #source: FleetSource;
  #listed = new Map<string, FleetUpstream>();
  readonly #changedAt = new Map<string, number>();
  readonly #removedAt = new Map<string, number>();
  #revision = -1;
  /** Oldest revision from which all changes are known. */
  #oldest = 0;

  constructor(source: FleetSource) {
    this.#source = source;
  }

  /** Returns what changed after a revision, or undefined if that is no longer known. */
  since(revision: number): FleetDelta | undefined {
    this.#update();
    if (revision < this.#oldest || revision > this.#revision) return undefined;
    const upstreams: FleetUpstream[] = [];
    for (const [id, upstream] of this.#listed) {
      if ((this.#changedAt.get(id) ?? 0) > revision) upstreams.push(upstream);
    }
    const removed: string[] = [];
    for (const [id, at] of this.#removedAt) {
      if (at > revision) removed.push(id);
    }
    return { upstreams, removed };
  }

  #update(): void {
    const { revision } = this.#source;
    if (revision === this.#revision) return;
    const isFirst = this.#revision < 0;
    this.#revision = revision;
    this.#compareWith(this.#source.listed(), revision);
    // Of what was before the first comparison nothing is known.
    if (isFirst) this.#oldest = revision;
    this.#oldest = Math.max(this.#oldest, revision - MAXIMUM_REVISIONS);
    for (const [id, at] of this.#removedAt) {
      if (at <= this.#oldest) this.#removedAt.delete(id);
    }
  }

  #compareWith(listed: readonly FleetUpstream[], revision: number): void {
    const before = this.#listed;
    this.#listed = new Map(listed.map((each) => [each.id, each]));
    for (const [id, upstream] of this.#listed) {
      this.#removedAt.delete(id);
      if (before.get(id) !== upstream) this.#changedAt.set(id, revision);
    }
    for (const id of before.keys()) {
      if (this.#listed.has(id)) continue;
      this.#changedAt.delete(id);
      this.#removedAt.set(id, revision);
    }
  }
}
