/**
 * Types of the bundle, the signed and versioned description of the deployment. Its schema, signatures and
 * acceptance are in `bundles`.
 *
 * @module
 */
import type { Milliseconds } from "./units.ts";

/** An IP address and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** An availability zone. */
export interface ZoneEntry {
  readonly name: string;
  readonly region: string;
}

/** Role of a VM of the system. */
export type VmRole = "entry" | "control";

/** A VM of the system. A VM with a disk can have both roles, as two processes with two names. */
export interface VmEntry {
  readonly name: string;
  readonly zone: string;
  readonly role: VmRole;
  /** Address for messages from other VMs. */
  readonly peer: Address;
  /** HTTP address for callers, upstreams and the platform; control VMs answer health probes on it. */
  readonly http: Address;
}

/** A client account of the deployment. */
export interface TenantEntry {
  readonly name: string;
  /** Weight of this tenant's share of a class, relative to the other tenants. */
  readonly weight: number;
  /** Maximum number of this tenant's queued and running requests on one entry VM. */
  readonly maximumOutstanding: number;
}

/** A class of requests. */
export interface ClassEntry {
  readonly name: string;
  /** Strict priority; classes of a lower rank go first. */
  readonly rank: number;
  /** Share of the capacity (0 to 1) reserved for this class even if lower ranks could use all of it. */
  readonly floor: number;
  /** Maximum number of queued requests of this class on one entry VM. */
  readonly maximumQueued: number;
  /** Deadline of requests that don't set one. */
  readonly defaultDeadlineMs: Milliseconds;
}

/** A model that engines serve. */
export interface ModelEntry {
  readonly name: string;
  /** Share of a zone's engines (0 to 1) that continue to serve during a version change. */
  readonly servingFloor: number;
  /** Maximum number of weight loads per second from the weight store. */
  readonly loadsPerSecond: number;
}

/** A plain service, as opposed to model engines, to which requests are forwarded. */
export interface ServiceEntry {
  readonly name: string;
  /** HTTP methods that may be retried. */
  readonly idempotentMethods: readonly string[];
}

/** A trainer with its model, scorer and limits. */
export interface TrainerEntry {
  readonly name: string;
  readonly tenant: string;
  /** Request class in which its samples are generated. */
  readonly class: string;
  readonly model: string;
  /** Name of the service that scores its samples. */
  readonly scorer: string;
  /** Weight of this trainer's share of the engines, relative to the other trainers. */
  readonly weight: number;
  /** Maximum number of versions that a sample may lag behind the newest one when it is delivered. */
  readonly maximumStaleness: number;
}

/** An operator who may sign bundles. */
export interface OperatorEntry {
  readonly name: string;
  /** Ed25519 public key, raw 32 bytes in base64. */
  readonly publicKey: string;
}

/** Limits that apply on every VM. */
export interface BundleLimits {
  /** Maximum size of a request body in bytes. */
  readonly bodyBytes: number;
  /** Maximum size of a response in bytes. */
  readonly answerBytes: number;
  /** Retention time of the stored response of a request with an idempotency key. */
  readonly claimRetentionMs: Milliseconds;
  /** Maximum number of stored responses of requests with an idempotency key. */
  readonly claimsStored: number;
  /** Time after which the announcement of an upstream expires unless renewed. */
  readonly upstreamLeaseMs: Milliseconds;
}

/** Description of the deployment that an operator signs. */
export interface Bundle {
  readonly schema: 1;
  readonly cluster: string;
  /** 1 for the first bundle; each change increments it by one. */
  readonly version: number;
  /** Digest of the previous bundle; null for version 1. */
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
  /** Name of the operator who signed the bundle. */
  readonly signer: string;
  /** Ed25519 signature in base64. */
  readonly signature: string;
}

/** A bundle that the control VMs have accepted. */
export interface AcceptedBundle {
  readonly signed: SignedBundle;
  /** SHA-256 of the canonical bytes, in hexadecimal. */
  readonly digest: string;
  /** Index of the log entry by which it was accepted. */
  readonly index: number;
  readonly acceptedAtMs: Milliseconds;
}
