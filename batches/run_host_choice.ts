/**
 * Chooses the store VM that runs the items of an engine.
 *
 * @module
 */
import type { FleetNode, FleetUpstream } from "#core";

/** Input of `chooseRunHost`. */
export interface RunHostChoice {
  readonly engine: FleetUpstream;
  /** Control and store VMs that were observed recently. */
  readonly nodes: readonly FleetNode[];
  /** Store VMs that hold the log, which have other work. */
  readonly replicas: readonly string[];
  readonly retiring: readonly string[];
  readonly isUsable: (vm: string) => boolean;
}

/**
 * Returns a store VM in the zone of the engine that holds no replica of the log, always the same one for an engine, so
 * that its connections are used again; undefined if there is none, and the leader runs the item itself.
 */
export function chooseRunHost(choice: RunHostChoice): string | undefined {
  const { engine, nodes, replicas, retiring, isUsable } = choice;
  let best: string | undefined;
  let bestWeight = -1;
  for (const node of nodes) {
    if (node.role !== "store" || node.zone !== engine.zone) continue;
    if (node.hostsRuns !== true || replicas.includes(node.vm)) continue;
    if (retiring.includes(node.vm) || !isUsable(node.vm)) continue;
    const weight = weightOf(node.vm, engine.id);
    if (weight <= bestWeight) continue;
    best = node.vm;
    bestWeight = weight;
  }
  return best;
}

/** Returns a pseudo-random weight (rendezvous hashing): if a VM goes, only its engines get another one. */
function weightOf(vm: string, engine: string): number {
  let hash = 2_166_136_261;
  for (const character of `${vm} ${engine}`) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 16_777_619);
  }
  // The last characters alone would hardly change the highest bits.
  hash = Math.imul(hash ^ (hash >>> 15), 2_246_822_507);
  return (hash ^ (hash >>> 13)) >>> 0;
}
