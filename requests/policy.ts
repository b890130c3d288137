/**
 * Lookup of classes, tenants and trainers in the active bundle, for admission.
 *
 * @module
 */
import type { Bundle, ClassEntry, TenantEntry } from "#core";
import type { ClassPolicy, QueuePolicy } from "./admission_queue.ts";

const UNKNOWN_CLASS: ClassPolicy = {
  rank: Number.MAX_SAFE_INTEGER,
  floor: 0,
};

/** Looks up policy entries of the active bundle by name. */
export class BundlePolicy implements QueuePolicy {
  #classes: ReadonlyMap<string, ClassEntry> = new Map();
  #tenants: ReadonlyMap<string, TenantEntry> = new Map();
  #trainerWeights: ReadonlyMap<string, number> = new Map();

  /** Replaces the active bundle. */
  setBundle(bundle: Bundle): void {
    this.#classes = new Map(bundle.classes.map((each) => [each.name, each]));
    this.#tenants = new Map(bundle.tenants.map((each) => [each.name, each]));
    this.#trainerWeights = new Map(
      bundle.trainers.map((each) => [each.name, each.weight]),
    );
  }

  /** Returns a class, or undefined if the bundle has none of that name. */
  class(name: string): ClassEntry | undefined {
    return this.#classes.get(name);
  }

  /** Returns a tenant, or undefined if the bundle has none of that name. */
  tenant(name: string): TenantEntry | undefined {
    return this.#tenants.get(name);
  }

  /** Returns the class with the lowest priority, which is used for requests that name no class. */
  lowestClass(): string | undefined {
    let last: ClassEntry | undefined;
    for (const each of this.#classes.values()) {
      if (last === undefined || each.rank > last.rank) last = each;
    }
    return last?.name;
  }

  /** Whether no other class has a higher priority. */
  isFirstClass(name: string): boolean {
    const rank = this.classPolicy(name).rank;
    for (const each of this.#classes.values()) {
      if (each.rank < rank) return false;
    }
    return true;
  }

  classPolicy(name: string): ClassPolicy {
    return this.#classes.get(name) ?? UNKNOWN_CLASS;
  }

  tenantWeight(name: string): number {
    return this.#tenants.get(name)?.weight ?? 1;
  }

  trainerWeight(name: string): number {
    return this.#trainerWeights.get(name) ?? 1;
  }
}
