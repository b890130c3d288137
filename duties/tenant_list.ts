/**
 * The tenants of a configuration in an order that all VMs derive alike, so that counts need not name them.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { RoutingConfiguration } from "#core";

/** Characters of a digest, enough to distinguish the lists of successive configurations. */
const DIGEST_LENGTH = 10;

/**
 * Tenants by their position.
 *
 * @example
 * ```ts
 * const list = new TenantList(["tenant-b", "tenant-a"]);
 * list.positionOf("tenant-b"); // 1
 * ```
 */
export class TenantList {
  /** Differs between lists of other tenants. */
  readonly digest: string;
  readonly #names: readonly string[];
  readonly #positions: ReadonlyMap<string, number>;

  constructor(names: readonly string[]) {
    this.#names = [...names].sort();
    this.#positions = new Map(this.#names.map((name, at) => [name, at]));
    this.digest = createHash("sha256").update(JSON.stringify(this.#names))
      .digest("base64url").slice(0, DIGEST_LENGTH);
  }

  /** Returns the position of a tenant; undefined if it is not in the list. */
  positionOf(name: string): number | undefined {
    return this.#positions.get(name);
  }

  /** Returns the tenant at a position; undefined if there is none. */
  nameAt(position: number): string | undefined {
    return this.#names[position];
  }
}

/** Returns the list of the active configuration, the same object while the configuration is the same. */
export class ActiveTenants {
  readonly #configuration: () => RoutingConfiguration | null;
  #known: RoutingConfiguration | null = null;
  #list: TenantList | undefined;

  constructor(configuration: () => RoutingConfiguration | null) {
    this.#configuration = configuration;
  }

  /** Returns the list; undefined if there are no tenants. */
  list(): TenantList | undefined {
    const configuration = this.#configuration();
    if (configuration === this.#known) return this.#list;
    this.#known = configuration;
    const names = configuration?.tenants?.map(({ name }) => name);
    this.#list = names === undefined ? undefined : new TenantList(names);
    return this.#list;
  }
}
