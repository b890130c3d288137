/**
 * What VMs report to each other about calls that were running when upstreams crashed.
 *
 * @module
 */
import type { Bytes, Milliseconds } from "#core";

/** Number of upstreams that crash under a call before it is blocked. */
export const BLOCKING_CRASHES = 3;

/** An upstream that crashed while it may have run the call. */
export interface CrashUnderCall {
  /** The incarnation that ended; see `incarnationOf`. */
  readonly incarnation: string;
  /** Time since this was observed. */
  readonly ageMs: Milliseconds;
}

/** What is known of one call. Records of the same call can be merged in any order, late and repeatedly. */
export interface CrashRecord {
  /** Digest of what the call has in common with its repetitions. */
  readonly digest: string;
  /** Length of the body, which distinguishes most other calls without a digest. */
  readonly bodyBytes: Bytes;
  readonly crashes: readonly CrashUnderCall[];
  /** Time since an upstream ran the call and responded completely, which refutes earlier crashes; null if none did. */
  readonly answeredAgeMs: Milliseconds | null;
  /** Incarnations whose crash such a response has refuted, for good. Absent in records of earlier builds. */
  readonly refuted?: readonly string[];
}

/** The records that one control VM has sent last. */
export interface CrashRevision {
  /** Identifies the incarnation of the control VM. */
  readonly epoch: string;
  readonly revision: number;
}
