/**
 * Sizes of what a replica holds in memory.
 *
 * @module
 */
import type { Bytes } from "#core";
import type { MachineHost } from "./machine_host.ts";
import type { Replica } from "./replica.ts";

/** Sizes of what a replica holds. */
export interface LogSizes {
  /** Number of log entries in memory. */
  readonly entries: number;
  /** Bodies of these entries. */
  readonly logBytes: Bytes;
  /** State of all state machines, roughly. */
  readonly stateBytes: Bytes;
  /** Newest snapshot on the disk; 0 if there is none. */
  readonly snapshotBytes: Bytes;
}

const NO_SIZES: LogSizes = {
  entries: 0,
  logBytes: 0,
  stateBytes: 0,
  snapshotBytes: 0,
};

/** Returns the sizes of a replica and its state machines; takes time in proportion to the objects they hold. */
export function logSizes(
  replica: Replica | undefined,
  host: MachineHost,
): LogSizes {
  if (replica === undefined) return NO_SIZES;
  const { log, snapshot } = replica.state;
  return {
    entries: log.lastIndex - log.base.index,
    logBytes: log.bytes,
    stateBytes: host.stateBytes(),
    snapshotBytes: snapshot?.bytes ?? 0,
  };
}
