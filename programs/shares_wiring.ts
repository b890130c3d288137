/**
 * Connects the shares of tenants on entry VMs with the active configuration.
 *
 * @module
 */
import type { FleetFollower } from "#membership";
import { TenantShares } from "#tenants";
import type { NodeBase } from "./node_base.ts";

/** Returns what decides about calls under overload; it concerns only callers that the configuration names as tenants. */
export function buildTenantShares(
  base: NodeBase,
  follower: FleetFollower,
): TenantShares {
  return new TenantShares({
    random: base.random,
    priorityOf: (name) => {
      const tenants = follower.configuration?.tenants ?? [];
      return tenants.find((tenant) => tenant.name === name)?.priority ?? null;
    },
  });
}
