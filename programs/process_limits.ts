/**
 * Limits of all HTTP servers of a process together, derived from the memory and the descriptors that its settings grant.
 *
 * @module
 */
import { ByteBudget, type Bytes, MEBIBYTE } from "#core";
import type { NodeSettings } from "#platform";
import type { HttpLimits } from "./http_limits.ts";

/** What a process needs without any request: 80 MB idle, and garbage between two collections. */
const IDLE_PROCESS_BYTES: Bytes = 110_000_000;
/** Share of the rest for requests and responses; what they leave to the garbage collector grows with them. */
const HTTP_SHARE = 0.81;
/** Never more than what requests and responses may have in a process without a memory limit. */
const MAXIMUM_HTTP_BYTES: Bytes = 80 * MEBIBYTE;
/** Heads that may be held beside a body of the largest size. */
const HEADS_BYTES: Bytes = MEBIBYTE;
/** Share of the descriptors for the main address; the others are for upstreams, other VMs and files. */
const MAIN_DESCRIPTOR_SHARE = 1 / 2;
/** Share of the descriptors for the readiness address, which probes and the load balancer use. */
const PROBE_DESCRIPTOR_SHARE = 1 / 16;

/**
 * Returns the memory that all requests and responses of a process share; undefined if the settings set no limit.
 *
 * @example
 * ```ts
 * httpBudget({ memoryLimitBytes: null }, 32 * MEBIBYTE); // undefined
 * ```
 */
export function httpBudget(
  { memoryLimitBytes }: Pick<NodeSettings, "memoryLimitBytes">,
  maximumBodyBytes: Bytes,
): ByteBudget | undefined {
  if (memoryLimitBytes === null) return undefined;
  const share = (memoryLimitBytes - IDLE_PROCESS_BYTES) * HTTP_SHARE;
  const maximumBytes = Math.min(MAXIMUM_HTTP_BYTES, Math.max(0, share));
  return new ByteBudget({
    maximumBytes,
    maximumBodyBytes: maximumBodyBytes + HEADS_BYTES,
  });
}

/** Returns the limits of the address for callers, or of that for workers and operators. */
export function mainLimits(
  limits: HttpLimits,
  settings: Pick<NodeSettings, "maximumDescriptors">,
): HttpLimits {
  return withConnections(limits, settings, MAIN_DESCRIPTOR_SHARE);
}

/** Returns the limits of the address for probes. */
export function probeLimits(
  limits: HttpLimits,
  settings: Pick<NodeSettings, "maximumDescriptors">,
): HttpLimits {
  return withConnections(limits, settings, PROBE_DESCRIPTOR_SHARE);
}

function withConnections(
  limits: HttpLimits,
  { maximumDescriptors }: Pick<NodeSettings, "maximumDescriptors">,
  share: number,
): HttpLimits {
  if (maximumDescriptors === null) return limits;
  const connections = Math.max(1, Math.floor(maximumDescriptors * share));
  const maximumConnections = Math.min(limits.maximumConnections, connections);
  return { ...limits, maximumConnections };
}
