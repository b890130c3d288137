/**
 * Decides which VMs hold the replicas of the replicated logs: forms the group of the store VMs, replaces VMs that
 * are lost and moves replicas off VMs that are being retired. Plans one change at a time, without input or output.
 *
 * @module
 */
import {
  type FleetNode,
  hostOf,
  type Milliseconds,
  type Placement,
} from "#core";

/** A VM with the time since it was last observed. */
export interface ObservedNode {
  readonly node: FleetNode;
  readonly ageMs: Milliseconds;
}

/** The state that the next placement is computed from. */
export interface PlacementInput {
  readonly placement: Placement;
  readonly nodes: readonly ObservedNode[];
  /** Voters of the control log. */
  readonly controlVoters: readonly string[];
  /** Number of replicas of a log with which the tolerated losses leave a majority. */
  readonly replicas: number;
  /** Time without an observation after which a VM counts as lost if another VM can replace it. */
  readonly lostAfterMs: Milliseconds;
}

/** Returns the next placement, or undefined if nothing has to change. */
export function nextPlacement(input: PlacementInput): Placement | undefined {
  const { placement } = input;
  if (placement.controls.length === 0) {
    return { ...placement, controls: [...input.controlVoters].sort() };
  }
  const leaving = new Set(placement.retiring.map(hostOf));
  const controls = nextMembers(input, {
    members: placement.controls,
    candidates: liveNodes(input, "control").filter((node) =>
      !leaving.has(hostOf(node.vm))
    ),
  });
  if (controls !== undefined) return { ...placement, controls };
  if (placement.stores.length === 0) return formStoreGroup(input);
  const stores = nextMembers(input, {
    members: placement.stores,
    candidates: liveNodes(input, "store").filter((node) =>
      !placement.retiring.includes(node.vm)
    ),
  });
  return stores === undefined ? undefined : { ...placement, stores };
}

/** Whether a VM that is being retired holds no data that the other VMs lack. */
export function isRetirementComplete(
  vm: string,
  input: {
    readonly placement: Placement;
    readonly nodes: readonly ObservedNode[];
    /** Voters of the control log. */
    readonly controlVoters: readonly string[];
  },
): boolean {
  const { stores, controls, retiring } = input.placement;
  if (!retiring.includes(vm) || stores.includes(vm)) return false;
  const hasControlReplica = [...controls, ...input.controlVoters].some((each) =>
    hostOf(each) === hostOf(vm)
  );
  if (hasControlReplica) return false;
  const leader = leaderOf(input.nodes.map(({ node }) => node), "store");
  if (leader === undefined) return false;
  const voters = new Set(leader.voters);
  if (voters.has(vm) || voters.size !== stores.length) return false;
  return stores.every((store) => voters.has(store));
}

/** Returns the leader of a group: of the VMs that report to lead it, the one with the highest term. */
export function leaderOf(
  nodes: Iterable<FleetNode>,
  role: FleetNode["role"],
): FleetNode | undefined {
  let best: FleetNode | undefined;
  for (const node of nodes) {
    if (node.role !== role || !node.leads) continue;
    if (best === undefined || node.term > best.term) best = node;
  }
  return best;
}

/**
 * Returns whether the leader of a group runs on the same machine as a VM. Two leaders on one machine share its
 * processor, which may not suffice after a restart of all VMs.
 */
export function isOnHostOfLeader(
  vm: string,
  group: {
    readonly nodes: Iterable<FleetNode>;
    readonly role: FleetNode["role"];
  },
): boolean {
  const leader = leaderOf(group.nodes, group.role);
  return leader !== undefined && hostOf(leader.vm) === hostOf(vm);
}

/**
 * Returns the group that the store VMs form first. The control VMs are led by the alphabetically first one at the
 * start, so the last store VM leads the batch log, and a fault of one machine does not end both leaderships.
 *
 * @example
 * ```ts
 * initialStoreGroup(["a:1", "c:1", "b:1"]).coordinator; // "c:1"
 * ```
 */
export function initialStoreGroup(
  stores: readonly string[],
): { readonly voters: readonly string[]; readonly coordinator: string } {
  const voters = [...stores].sort();
  return { voters, coordinator: voters.at(-1) ?? "" };
}

function liveNodes(
  input: PlacementInput,
  role: FleetNode["role"],
): readonly FleetNode[] {
  const nodes: FleetNode[] = [];
  for (const { node, ageMs } of input.nodes) {
    if (node.role === role && ageMs <= input.lostAfterMs) nodes.push(node);
  }
  return nodes.sort((a, b) => a.vm < b.vm ? -1 : 1);
}

function formStoreGroup(input: PlacementInput): Placement | undefined {
  const newNodes = liveNodes(input, "store").filter((node) => node.firstStart);
  if (newNodes.length < input.replicas) return undefined;
  const stores = spreadOverZones(newNodes, input.replicas);
  return { ...input.placement, stores };
}

/** Chooses `count` VMs, spread as evenly as possible over the availability zones. */
function spreadOverZones(
  nodes: readonly FleetNode[],
  count: number,
): readonly string[] {
  const chosen: FleetNode[] = [];
  while (chosen.length < count) {
    const next = nodeInLeastUsedZone(nodes, chosen);
    if (next === undefined) break;
    chosen.push(next);
  }
  return chosen.map((node) => node.vm).sort();
}

function nodeInLeastUsedZone(
  nodes: readonly FleetNode[],
  chosen: readonly FleetNode[],
): FleetNode | undefined {
  let best: FleetNode | undefined;
  let fewest = Infinity;
  for (const node of nodes) {
    if (chosen.includes(node)) continue;
    const countInZone = chosen.filter((each) => each.zone === node.zone).length;
    if (countInZone >= fewest) continue;
    best = node;
    fewest = countInZone;
  }
  return best;
}

/** Adds a missing member, or replaces one that is lost or being retired by one that is live. */
function nextMembers(
  input: PlacementInput,
  group: {
    readonly members: readonly string[];
    readonly candidates: readonly FleetNode[];
  },
): readonly string[] | undefined {
  const { members, candidates } = group;
  const liveVms = new Set(candidates.map((node) => node.vm));
  const spares = candidates.filter((node) => !members.includes(node.vm));
  const remaining = candidates.filter((node) => members.includes(node.vm));
  const spare = nodeInLeastUsedZone([...remaining, ...spares], remaining);
  if (spare === undefined) return undefined;
  if (members.length < input.replicas) return [...members, spare.vm].sort();
  const replaced = members.find((vm) => !liveVms.has(vm));
  if (replaced === undefined) return undefined;
  return members.map((vm) => vm === replaced ? spare.vm : vm).sort();
}
