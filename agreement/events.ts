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
    text: "the replica of the log has started",
    action: "None.",
  },
  leaderChanged: {
    code: 1202,
    level: "info",
    text: "this replica sees another leader or none",
    action: "None, unless it happens often: then look at the links and disks.",
  },
  storageFailed: {
    code: 1203,
    level: "error",
    text: "the replica stopped because of its disk",
    action: "Look at the disk; if need be start with an empty data folder.",
  },
  messageRefused: {
    code: 1204,
    level: "warn",
    text: "a malformed message of another replica was dropped",
    action: "Check that all control VMs run releases that can talk.",
  },
  machineFailed: {
    code: 1205,
    level: "error",
    text: "a state machine threw an error on a committed command",
    action: "Report the error with its stack.",
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
    text: "a replica asked for a seat that it can't have",
    action:
      "Stop the second process of this VM name, or add the VM to the bundle.",
  },
  snapshotSaved: {
    code: 1208,
    level: "debug",
    text: "a snapshot was saved",
    action: "None.",
  },
  snapshotInstalled: {
    code: 1209,
    level: "info",
    text: "a snapshot of the leader was installed",
    action: "None.",
  },
  diskFull: {
    code: 1210,
    level: "warn",
    text:
      "the disk is full; this replica takes nothing new until there is room",
    action: "Make room on the disk; the replica goes on by itself.",
  },
  diskHasRoom: {
    code: 1211,
    level: "info",
    text: "the disk has room again",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
