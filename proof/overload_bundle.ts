/**
 * The bundle of the overload benchmark.
 *
 * @module
 */
import type { Bundle } from "#core";

/** Gives drafting strict priority over lookups, for which 2% of the capacity is reserved. */
export const OVERLOAD_BUNDLE: Bundle = {
  schema: 1,
  cluster: "bench",
  version: 1,
  predecessor: null,
  zones: [],
  vms: [],
  tenants: [{ name: "agency", weight: 1, maximumOutstanding: 2_000 }],
  classes: [
    {
      name: "drafting",
      rank: 1,
      floor: 0,
      maximumQueued: 1_000,
      defaultDeadlineMs: 540_000,
    },
    {
      name: "lookup",
      rank: 2,
      floor: 0.02,
      maximumQueued: 200,
      defaultDeadlineMs: 5_000,
    },
  ],
  models: [{ name: "topo", servingFloor: 0.5, loadsPerSecond: 1 }],
  services: [],
  trainers: [
    trainer("grades"),
    trainer("routes"),
  ],
  operators: [],
  limits: {
    bodyBytes: 65_536,
    answerBytes: 65_536,
    claimRetentionMs: 60_000,
    claimsStored: 100,
    upstreamLeaseMs: 60_000,
  },
};

function trainer(name: string): Bundle["trainers"][number] {
  return {
    name,
    tenant: "agency",
    class: "drafting",
    model: "topo",
    scorer: "scorer",
    weight: 1,
    maximumStaleness: 2,
  };
}
