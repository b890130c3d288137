/**
 * The bundle: the one signed, versioned description of what is in use. Only its types stand here; the
 * schema, the signatures and the acceptance are in `bundles`.
 *
 * @module
 */
import type { Milliseconds } from "./units.ts";

/** A host and port, the host as an IP number. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** An availability zone. */
export interface ZoneEntry {
  readonly name: string;
  readonly region: string;
}

/** What a VM of the system does. */
export type VmRole = "entry" | "control";

/** A VM of the system. A VM with a disk can have both roles, as two processes with two names. */
export interface VmEntry {
  readonly name: string;
  readonly zone: string;
  readonly role: VmRole;
  /** Where the VM talks to other VMs. */
  readonly peer: Address;
  /** Where callers, upstreams and the platform reach it; control VMs answer probes here. */
  readonly http: Address;
}

/** A customer of the deployment. */
export interface TenantEntry {
  readonly name: string;
  /** Share of a class relative to other tenants. */
  readonly weight: number;
  /** Most requests of this tenant that wait or run at one entry. */
  readonly maximumOutstanding: number;
}

/** A class of requests. */
export interface ClassEntry {
  readonly name: string;
  /** Lower goes first, strictly. */
  readonly rank: number;
  /** Part of the capacity (0 to 1) that this class keeps even when lower ranks could use all. */
  readonly floor: number;
  /** Most requests of this class that wait at one entry. */
  readonly maximumQueued: number;
  /** Deadline given to requests that name none. */
  readonly defaultDeadlineMs: Milliseconds;
}

/** A model that engines serve. */
export interface ModelEntry {
  readonly name: string;
  /** Part of the engines of a zone (0 to 1) that keeps serving while versions change. */
  readonly servingFloor: number;
  /** Most loads per second that the weight store allows. */
  readonly loadsPerSecond: number;
}

/** A plain service behind the system. */
export interface ServiceEntry {
  readonly name: string;
  /** Methods that may be repeated. */
  readonly idempotentMethods: readonly string[];
}

/** A trainer. */
export interface TrainerEntry {
  readonly name: string;
  readonly tenant: string;
  /** Class under which its samples are generated. */
  readonly class: string;
  readonly model: string;
  /** Service that scores its samples. */
  readonly scorer: string;
  /** Share of the engines relative to other trainers. */
  readonly weight: number;
  /** Most versions that a sample may be behind the newest one at hand-over. */
  readonly maximumStaleness: number;
}

/** A person who may sign bundles. */
export interface OperatorEntry {
  readonly name: string;
  /** Ed25519 public key, raw 32 bytes in base64. */
  readonly publicKey: string;
}

/** Limits that hold on every VM. */
export interface BundleLimits {
  /** Most bytes of one request body. */
  readonly bodyBytes: number;
  /** Most bytes of one answer. */
  readonly answerBytes: number;
  /** How long a stored answer of a keyed request is kept. */
  readonly claimRetentionMs: Milliseconds;
  /** Most stored answers of keyed requests. */
  readonly claimsStored: number;
  /** How long an upstream stays without renewing its announcement. */
  readonly upstreamLeaseMs: Milliseconds;
}

/** What is in use, as signed by an operator. */
export interface Bundle {
  readonly schema: 1;
  readonly cluster: string;
  /** 1 for the first, then one more for each change. */
  readonly version: number;
  /** Digest of the bundle before, or null for version 1. */
  readonly predecessor: string | null;
  readonly zones: readonly ZoneEntry[];
  readonly vms: readonly VmEntry[];
  readonly tenants: readonly TenantEntry[];
  readonly classes: readonly ClassEntry[];
  readonly models: readonly ModelEntry[];
  readonly services: readonly ServiceEntry[];
  readonly trainers: readonly TrainerEntry[];
  readonly operators: readonly OperatorEntry[];
  readonly limits: BundleLimits;
}

/** A bundle with the signature over its canonical bytes. */
export interface SignedBundle {
  readonly bundle: Bundle;
  /** Name of the operator who signed. */
  readonly signer: string;
  /** Ed25519 signature in base64. */
  readonly signature: string;
}

/** A bundle as accepted by the control VMs. */
export interface AcceptedBundle {
  readonly signed: SignedBundle;
  /** SHA-256 of the canonical bytes, in hexadecimal. */
  readonly digest: string;
  /** Index of the log entry that accepted it. */
  readonly index: number;
  readonly acceptedAtMs: Milliseconds;
}
