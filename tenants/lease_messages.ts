/**
 * The request of entry VMs to control VMs that renews their lease on the configuration.
 *
 * @module
 */
import { z } from "zod";
import {
  parseTenantDemand,
  type TenantDemand,
  type TenantDemandMessage,
} from "./tenant_demand.ts";

/** Kind of the request among those that control VMs handle. */
export const NEWEST_VERSION_KIND = "newest_version";

/** Request for the version of the configuration that is the newest at some moment after it was sent. */
export interface NewestVersionRequest {
  readonly kind: typeof NEWEST_VERSION_KIND;
  /** Whether the reply should have the demand of tenants; not if absent. */
  readonly demand?: boolean;
}

/** The version; -1 if there is no configuration. */
export interface NewestVersionReply {
  readonly version: number;
  /** Calls of tenants over all VMs, if they were requested and the control VM knows any. */
  readonly demand?: TenantDemandMessage;
}

const requestSchema = z.object({ demand: z.literal(true) });
const replySchema = z.object({ version: z.number().int() });
const demandSchema = z.object({ demand: z.unknown() });
const storedSchema = z.object({
  rules: z.object({ version: z.number().int() }),
});

/**
 * Returns the version in a reply, or null if it is malformed.
 *
 * @example
 * ```ts
 * parseNewestVersion({ version: 3 }); // 3
 * ```
 */
export function parseNewestVersion(reply: unknown): number | null {
  const parsed = replySchema.safeParse(reply);
  return parsed.success ? parsed.data.version : null;
}

/**
 * Whether the demand of tenants is requested too.
 *
 * @example
 * ```ts
 * requestsDemand({ kind: "newest_version", demand: true }); // true
 * ```
 */
export function requestsDemand(request: unknown): boolean {
  return requestSchema.safeParse(request).success;
}

/** Returns the demand of tenants in a reply; undefined if it has none. */
export function parseReplyDemand(reply: unknown): TenantDemand | undefined {
  const parsed = demandSchema.safeParse(reply);
  return parsed.success ? parseTenantDemand(parsed.data.demand) : undefined;
}

/**
 * Returns the version that the control log knows; a leader of an earlier build returns the complete configuration.
 *
 * @example
 * ```ts
 * versionOf({ rules: { version: 3 } }); // 3
 * ```
 */
export function versionOf(answer: unknown): number | null {
  if (typeof answer === "number") return answer;
  const stored = storedSchema.safeParse(answer);
  return stored.success ? stored.data.rules.version : null;
}
