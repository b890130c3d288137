/**
 * Whether a heartbeat can be one of an upstream that is to be used. Others may write among the upstreams, and what one
 * control VM accepts goes round to all VMs.
 *
 * @module
 */
import { isIPv4 } from "node:net";
import type { FleetUpstream, Milliseconds } from "#core";

const MAXIMUM_NAME_CHARACTERS = 128;
/** Requests to an upstream carry its identifier in a header. */
const IDENTIFIER = /^[\x21-\x7e]{1,128}$/;
/** Halves of characters, and control characters. */
const NOT_IN_NAMES = /[\p{Surrogate}\p{Cc}]/u;
const MAXIMUM_PORT = 65_535;
const MAXIMUM_SLOTS = 100_000;
const MAXIMUM_MODELS = 1_024;
const MAXIMUM_COUNT = 2 ** 40;
/** In the year 2200. Clocks differ, so a start in the near future is no reason to reject it. */
const MAXIMUM_START_MS: Milliseconds = 7_258_118_400_000;
/** From here on IPv4 addresses name groups, or nobody. */
const FIRST_GROUP_OCTET = 224;

/**
 * Returns why an upstream can't be used, or undefined if it can.
 *
 * @example
 * ```ts
 * problemOf({ ...upstream, address: { host: "10.0.0.1", port: 0 } }); // "the port is out of range"
 * ```
 */
export function problemOf(upstream: FleetUpstream): string | undefined {
  const { id, service, zone, softwareVersion = "v" } = upstream;
  if (!IDENTIFIER.test(id)) return "the identifier can't stand in a header";
  for (const name of [service, zone, softwareVersion]) {
    if (!isName(name)) return "a name is empty, too long or not Unicode";
  }
  if (!isHost(upstream.address.host)) return "the address names no host";
  if (!isCount(upstream.address.port, 1, MAXIMUM_PORT)) {
    return "the port is out of range";
  }
  if (!isCount(upstream.slots, 1, MAXIMUM_SLOTS)) {
    return "the number of slots is out of range";
  }
  if (!isCount(upstream.bornMs, 0, MAXIMUM_START_MS)) {
    return "the start time is out of range";
  }
  if (!isCount(upstream.sequence, 0, Number.MAX_SAFE_INTEGER)) {
    return "the sequence number is out of range";
  }
  return modelProblem(upstream);
}

function modelProblem({ serves }: FleetUpstream): string | undefined {
  if (serves.length > MAXIMUM_MODELS) return "there are too many models";
  for (const { model, version } of serves) {
    if (!isName(model)) return "the name of a model is malformed";
    if (!isCount(version, 0, MAXIMUM_COUNT)) {
      return "the version of a model is out of range";
    }
  }
  return undefined;
}

function isName(name: string): boolean {
  return name.length > 0 && name.length <= MAXIMUM_NAME_CHARACTERS &&
    !NOT_IN_NAMES.test(name);
}

function isHost(host: string): boolean {
  if (!isIPv4(host)) return false;
  const first = Number(host.split(".")[0]);
  return first > 0 && first < FIRST_GROUP_OCTET;
}

function isCount(value: number, least: number, most: number): boolean {
  return Number.isInteger(value) && value >= least && value <= most;
}
