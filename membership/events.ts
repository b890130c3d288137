/**
 * Log events of membership.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1400 to 1499. */
export const MEMBERSHIP_EVENTS = {
  vmSuspected: {
    code: 1401,
    level: "warn",
    text: "a VM did not answer probes and is suspected",
    action: "Nothing yet; look at the VM if event 1402 follows.",
  },
  vmUnreachable: {
    code: 1402,
    level: "warn",
    text: "a VM is unreachable from here",
    action: "Look at the VM and at the links between availability zones.",
  },
  vmAlive: {
    code: 1403,
    level: "info",
    text: "a VM answers again",
    action: "None.",
  },
  upstreamAnnounced: {
    code: 1404,
    level: "info",
    text: "an upstream announced itself or changed what it serves",
    action: "None.",
  },
  upstreamLeaving: {
    code: 1405,
    level: "info",
    text: "an upstream leaves and gets no new work",
    action: "None.",
  },
  upstreamExpired: {
    code: 1406,
    level: "warn",
    text: "an upstream did not renew its announcement in time",
    action: "Look at the upstream.",
  },
  bundleActivated: {
    code: 1407,
    level: "info",
    text: "a bundle came into force on this VM",
    action: "None.",
  },
  bundleRejected: {
    code: 1408,
    level: "error",
    text: "an update of the bundle was refused",
    action: "Compare the bundle's digest on the named VM with the control VMs.",
  },
  malformedMessage: {
    code: 1409,
    level: "warn",
    text: "a message of another VM was malformed and passed over",
    action: "Check that both VMs run releases that can talk to each other.",
  },
  controlUnreachable: {
    code: 1410,
    level: "warn",
    text: "no control VM answers; the last bundle stays in force",
    action: "Look at the links to the control VMs.",
  },
  controlConnectionLost: {
    code: 1411,
    level: "info",
    text:
      "the control VM that this VM followed is of no use now; others are asked in turn",
    action:
      "None, unless no 1416 follows soon: then look at the control VMs and the links to them.",
  },
  controlConnectionRestored: {
    code: 1416,
    level: "info",
    text: "this VM follows a control VM again",
    action: "None.",
  },
  configurationActivated: {
    code: 1412,
    level: "info",
    text: "a configuration came into force on this VM",
    action: "None.",
  },
  placementChanged: {
    code: 1413,
    level: "info",
    text: "the VMs that keep the replicated logs were changed",
    action: "None; the fields name the VMs.",
  },
  placementFailed: {
    code: 1414,
    level: "warn",
    text: "a change of the VMs that keep the replicated logs was not made",
    action: "None; it is tried again.",
  },
  upstreamChanged: {
    code: 1415,
    level: "info",
    text: "an upstream arrived, changed its state or left",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
