/**
 * Which VMs there are and where: from the bundle in force, or from the settings until there is one.
 *
 * @module
 */
import type { AcceptedBundle, Address, VmRole } from "#core";

/** A VM as the directory knows it. */
export interface DirectoryEntry {
  readonly name: string;
  readonly zone: string;
  readonly role: VmRole;
  readonly peer: Address;
}

/** What a directory is built from. */
export interface VmDirectoryOptions {
  /** VMs named in the settings, used for names that the bundle does not have. */
  readonly seeds: readonly DirectoryEntry[];
  readonly bundle: () => AcceptedBundle | null;
}

/** Finds VMs by name, zone and role. */
export class VmDirectory {
  readonly #options: VmDirectoryOptions;
  #indexedBundle: AcceptedBundle | null | undefined;
  #entries: ReadonlyMap<string, DirectoryEntry> = new Map();

  constructor(options: VmDirectoryOptions) {
    this.#options = options;
  }

  /** The VM with this name, or undefined. */
  find(name: string): DirectoryEntry | undefined {
    return this.#entriesByName().get(name);
  }

  /** All entry VMs of a zone. */
  entryVmsOf(zone: string): readonly DirectoryEntry[] {
    return this.list("entry").filter((each) => each.zone === zone);
  }

  /** All VMs with a role, sorted by name. */
  list(role: VmRole): readonly DirectoryEntry[] {
    return [...this.#entriesByName().values()].filter((each) =>
      each.role === role
    );
  }

  /** Names of all zones. */
  zones(): readonly string[] {
    return [
      ...new Set([...this.#entriesByName().values()].map((each) => each.zone)),
    ];
  }

  #entriesByName(): ReadonlyMap<string, DirectoryEntry> {
    const bundle = this.#options.bundle();
    if (bundle === this.#indexedBundle) return this.#entries;
    const known = bundle?.signed.bundle.vms ?? this.#options.seeds;
    const sorted = [...known].sort((a, b) => a.name < b.name ? -1 : 1);
    this.#entries = new Map(sorted.map((each) => [each.name, each]));
    this.#indexedBundle = bundle;
    return this.#entries;
  }
}
