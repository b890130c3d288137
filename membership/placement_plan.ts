/**
 * Decides which VMs keep the replicated logs: forms the group of the store VMs, replaces VMs that are lost
 * and empties VMs that are to be taken away. One change at a time, without input or output.
 *
 * @module
 */
import {
  type FleetNode,
  hostOf,
  type Milliseconds,
  type Placement,
} from "#core";

/** A VM with the time since it was last heard of. */
export interface ObservedNode {
  readonly node: FleetNode;
  readonly ageMs: Milliseconds;
}

/** What the plan is made from. */
export interface PlacementInput {
  readonly placement: Placement;
  readonly nodes: readonly ObservedNode[];
  /** VMs that vote in the control log. */
  readonly controlVoters: readonly string[];
  /** Replicas that a log needs so that the tolerated losses leave a majority. */
  readonly replicas: number;
  /** Silence after which a VM counts as lost if another can take its place. */
  readonly lostAfterMs: Milliseconds;
}

/** The next placement, or undefined if nothing is to be changed. */
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

/** Whether a VM that is being emptied holds nothing that others lack. */
export function isRetirementComplete(
  vm: string,
  input: {
    readonly placement: Placement;
    readonly nodes: readonly ObservedNode[];
    /** VMs that vote in the control log. */
    readonly controlVoters: readonly string[];
  },
): boolean {
  const { stores, controls, retiring } = input.placement;
  if (!retiring.includes(vm) || stores.includes(vm)) return false;
  const hasControlReplica = [...controls, ...input.controlVoters].some((each) =>
    hostOf(each) === hostOf(vm)
  );
  if (hasControlReplica) return false;
  const leader = leaderOf(input.nodes, "store");
  if (leader === undefined) return false;
  const voters = new Set(leader.voters);
  if (voters.has(vm) || voters.size !== stores.length) return false;
  return stores.every((store) => voters.has(store));
}

/** The VM that leads a group: of those that say so the one of the highest term. */
export function leaderOf(
  nodes: readonly ObservedNode[],
  role: FleetNode["role"],
): FleetNode | undefined {
  let best: FleetNode | undefined;
  for (const { node } of nodes) {
    if (node.role !== role || !node.leads) continue;
    if (best === undefined || node.term > best.term) best = node;
  }
  return best;
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

/** So many VMs, as evenly over zones as can be. */
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

/** Adds a missing member, or exchanges one that is lost or not wanted any more for one that lives. */
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
