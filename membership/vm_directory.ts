/**
 * Names, zones, roles and addresses of all VMs: from the active bundle, or from the settings until there
 * is one.
 *
 * @module
 */
import type { AcceptedBundle, Address, VmRole } from "#core";

/** A VM in the directory. */
export interface DirectoryEntry {
  readonly name: string;
  readonly zone: string;
  readonly role: VmRole;
  readonly peer: Address;
}

/** Options of `VmDirectory`. */
export interface VmDirectoryOptions {
  /** VMs named in the settings; used only until there is a bundle. */
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

  /** Returns the VM with this name, or undefined. */
  find(name: string): DirectoryEntry | undefined {
    return this.#entriesByName().get(name);
  }

  /** Returns all entry VMs of a zone, sorted by name. */
  entryVmsOf(zone: string): readonly DirectoryEntry[] {
    return this.list("entry").filter((each) => each.zone === zone);
  }

  /** Returns all VMs with a role, sorted by name. */
  list(role: VmRole): readonly DirectoryEntry[] {
    return [...this.#entriesByName().values()].filter((each) =>
      each.role === role
    );
  }

  /** Returns the names of all zones. */
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
