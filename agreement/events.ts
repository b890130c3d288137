/**
 * Log events of the replicated log.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1200 to 1299. */
export const AGREEMENT_EVENTS = {
  started: {
    code: 1201,
    level: "info",
    text:
      "the log replica has started (entries, logBytes, snapshotBytes: what it read; recoveryMs: how long that took)",
    action: "None.",
  },
  leaderChanged: {
    code: 1202,
    level: "info",
    text: "the leader known to this replica has changed, or no leader is known",
    action:
      "None, unless it happens often: then check the network and the disks of the control VMs.",
  },
  storageFailed: {
    code: 1203,
    level: "error",
    text: "the replica has stopped after a storage error",
    action:
      "Check the disk. If it can't be repaired, restart with an empty data folder.",
  },
  messageRefused: {
    code: 1204,
    level: "warn",
    text: "dropped a malformed message from another replica",
    action: "Check that all control VMs run compatible releases.",
  },
  machineFailed: {
    code: 1205,
    level: "error",
    text: "a state machine threw an error while applying a committed command",
    action: "Report a bug with the stack trace of the event.",
  },
  seatsChanged: {
    code: 1206,
    level: "info",
    text: "the voters of the log have changed",
    action: "None.",
  },
  seatRefused: {
    code: 1207,
    level: "warn",
    text:
      "rejected a replica that asked to become a voter: its VM is not a control VM or already runs a live voter",
    action:
      "Stop the second process with this VM name, or add the VM to the control VMs in the bundle.",
  },
  snapshotSaved: {
    code: 1208,
    level: "info",
    text:
      "saved a snapshot of the log (bytes: its size; durationMs: from 1212 to here)",
    action: "None.",
  },
  snapshotInstalled: {
    code: 1209,
    level: "info",
    text: "installed a snapshot received from the leader",
    action: "None.",
  },
  diskFull: {
    code: 1210,
    level: "warn",
    text:
      "the disk is full; this replica stores nothing new until there is space",
    action: "Free disk space; the replica resumes by itself.",
  },
  snapshotUnreadable: {
    code: 1215,
    level: "warn",
    text:
      "a replica needs a snapshot but runs an earlier build that can't read it; it stays behind until it is updated",
    action: "Update the VM that the field `seats` names.",
  },
  diskHasRoom: {
    code: 1211,
    level: "info",
    text: "the disk has free space again; the replica has resumed writing",
    action: "None.",
  },
  snapshotStarted: {
    code: 1212,
    level: "info",
    text:
      "started to save a snapshot of the log (entries, logBytes: what was applied since the last one)",
    action:
      "None. If no 1208 follows and the process starts again (1809), compare 1832 and the memory limit.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
