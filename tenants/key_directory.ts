/**
 * Looks up the tenant of an API key.
 *
 * @module
 */
import type { CallerIdentity, RoutingConfiguration, TenantRule } from "#core";

/** Indexes the tenants of a configuration by the digests of their keys. */
export class KeyDirectory {
  readonly #byDigest = new Map<string, CallerIdentity>();

  constructor(tenants: readonly TenantRule[]) {
    for (const { name, priority, keyDigests } of tenants) {
      const identity: CallerIdentity = { tenant: name, priority };
      for (const digest of keyDigests) this.#byDigest.set(digest, identity);
    }
  }

  /** Returns the tenant that has a key with this digest. */
  find(digest: string): CallerIdentity | undefined {
    return this.#byDigest.get(digest);
  }
}

/** Keeps the directory of a configuration until there is another one. */
export class CachedKeyDirectory {
  #tenants: readonly TenantRule[] | undefined;
  #directory: KeyDirectory | null = null;

  /** Returns the directory of a configuration, or null if its callers need no keys. */
  of({ tenants }: RoutingConfiguration): KeyDirectory | null {
    if (this.#tenants !== tenants) {
      this.#tenants = tenants;
      this.#directory = tenants === undefined
        ? null
        : new KeyDirectory(tenants);
    }
    return this.#directory;
  }
}
