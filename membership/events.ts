/**
 * Log events of membership.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Log events of membership; codes 1400 to 1499. */
export const MEMBERSHIP_EVENTS = {
  vmSuspected: {
    code: 1401,
    level: "warn",
    text: "a VM did not reply to probes and is suspected to be unreachable",
    action: "None yet; check the VM if event 1402 follows.",
  },
  vmUnreachable: {
    code: 1402,
    level: "warn",
    text: "this VM considers another VM unreachable",
    action: "Check the VM and the links between availability zones.",
  },
  vmAlive: {
    code: 1403,
    level: "info",
    text: "a VM is reachable again",
    action: "None.",
  },
  upstreamAnnounced: {
    code: 1404,
    level: "info",
    text: "an upstream announced itself or changed its announcement",
    action: "None.",
  },
  upstreamLeaving: {
    code: 1405,
    level: "info",
    text: "an upstream is leaving and receives no new work",
    action: "None.",
  },
  upstreamExpired: {
    code: 1406,
    level: "warn",
    text: "the announcement of an upstream expired without being renewed",
    action: "Check the upstream.",
  },
  bundleActivated: {
    code: 1407,
    level: "info",
    text: "a bundle became active on this VM",
    action: "None.",
  },
  bundleRejected: {
    code: 1408,
    level: "error",
    text: "a bundle update was rejected",
    action:
      "Compare the bundle digest on the named VM with the one on the control VMs.",
  },
  malformedMessage: {
    code: 1409,
    level: "warn",
    text: "a malformed message of another VM was ignored",
    action: "Check that both VMs run compatible releases.",
  },
  controlUnreachable: {
    code: 1410,
    level: "warn",
    text: "no control VM replies; the last bundle stays active",
    action: "Check the links to the control VMs.",
  },
  controlConnectionLost: {
    code: 1411,
    level: "info",
    text:
      "the control VM that this VM followed is unusable; the others are tried in turn",
    action:
      "None if event 1416 follows soon; otherwise check the control VMs and the links to them.",
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
    text: "a configuration became active on this VM",
    action: "None.",
  },
  placementChanged: {
    code: 1413,
    level: "info",
    text: "the set of VMs that run the replicated logs was changed",
    action: "None; the fields name the VMs.",
  },
  placementFailed: {
    code: 1414,
    level: "warn",
    text: "a change of the VMs that run the replicated logs failed",
    action: "None; it is retried.",
  },
  upstreamChanged: {
    code: 1415,
    level: "info",
    text: "an upstream joined, changed its state or left",
    action: "None.",
  },
  departureNoticed: {
    code: 1417,
    level: "info",
    text:
      "an upstream said in a response that it is leaving; this VM sends it nothing more",
    action: "None; a new incarnation receives calls again.",
  },
  requestLimitChanged: {
    code: 1420,
    level: "info",
    text:
      "an upstream named a limit of requests per second for all VMs together, changed it or names none any more",
    action:
      "None; if it persists, the service has too little capacity. `source`: a response that this VM read, or a control VM.",
  },
  crashUnderCall: {
    code: 1421,
    level: "warn",
    text:
      "an upstream crashed while it may have run a call; the call is a suspect until an upstream responds to it completely",
    action:
      "None for one line. `evidence` says how the crash became known, `evidenceAgeMs` how long after the end of the attempt.",
  },
  callBlocked: {
    code: 1422,
    level: "error",
    text:
      "a call is blocked, since each upstream in `incarnations` crashed under it; this VM rejects it from now on",
    action:
      "Find the caller by the digest in events 1508 and 2302; correct the call or the service.",
  },
  callCleared: {
    code: 1423,
    level: "info",
    text:
      "an upstream responded completely to a suspect, which is none any more",
    action: "None; the upstreams in `incarnations` crashed for another reason.",
  },
  blockedCallsNotStored: {
    code: 1424,
    level: "warn",
    text:
      "the file with the blocked calls could not be read or written on this control VM",
    action:
      "Check the disk. The other VMs still know the blocked calls; they are forgotten only if all VMs lose power.",
  },
  departureStored: {
    code: 1426,
    level: "info",
    text:
      "the control log holds that an upstream leaves; it gets no more requests, whatever its late heartbeats say",
    action: "None.",
  },
  departureNotStored: {
    code: 1427,
    level: "warn",
    text:
      "the control log could not store that an upstream leaves; its call is not acknowledged and comes again",
    action:
      "Read the failure; check that a majority of the control VMs can be reached.",
  },
  unnamedService: {
    code: 1428,
    level: "warn",
    text:
      "an upstream reports a service that the configuration does not name; it is used once one names it, and takes no address or identifier from another upstream until then",
    action:
      "If the service is to come, none. Otherwise find the writer by its address and stop it.",
  },
  leaderRequestDelayed: {
    code: 1425,
    level: "info",
    text:
      "a request to the leader of a replicated log took long or failed; `attempts` names the first and last of the `asked` VMs, when they were asked, for how long and with what outcome",
    action:
      "None for one line. If it persists, look at the first VM that did not reply, and for a leader in event 1202.",
  },
  isolated: {
    code: 1418,
    level: "warn",
    text:
      "this VM reaches no other availability zone and reports that it is not ready",
    action: "Check the network links between the availability zones.",
  },
  noLongerIsolated: {
    code: 1419,
    level: "info",
    text: "this VM reaches other availability zones or a control VM again",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
