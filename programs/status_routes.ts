/**
 * `GET /v1/status`: the cluster as this VM observes it, with the status that each other VM reports on request.
 *
 * @module
 */
import {
  type Clock,
  type HttpRoute,
  jsonResponse,
  type Milliseconds,
  type UpstreamRecord,
} from "#core";
import { parseVmStatus, type VmStatus } from "#membership";
import type { VmBase } from "./vm_base.ts";

const STATUS_TIMEOUT_MS: Milliseconds = 1_000;

/** Options of `statusRoutes`. */
export interface StatusRouteOptions {
  readonly base: VmBase;
  /** Returns the status of this VM. */
  readonly self: () => VmStatus;
  /** Returns additional sections, such as request counts. */
  readonly details: () => Readonly<Record<string, unknown>>;
}

/** Returns the status route. */
export function statusRoutes(
  options: StatusRouteOptions,
): readonly HttpRoute[] {
  return [{
    method: "GET",
    pattern: "/v1/status",
    name: "status",
    handle: async () => jsonResponse(200, await collectStatus(options)),
  }];
}

async function collectStatus(options: StatusRouteOptions): Promise<unknown> {
  const { base, self } = options;
  const own = self();
  const { directory, board, clock } = base;
  const vms = [...directory.list("entry"), ...directory.list("control")];
  const rows = await Promise.all(
    vms.map((vm) =>
      vm.name === own.vm ? { ...own, state: "alive" } : requestStatus(base, vm)
    ),
  );
  const bundle = board.read("bundle");
  const version = bundle?.signed.bundle.version ?? null;
  const entries = rows.filter((row) => row.role === "entry");
  return {
    vm: own.vm,
    zone: own.zone,
    bundle: bundle === null ? null : {
      version,
      digest: bundle.digest,
      signer: bundle.signed.signer,
      acceptedAtMs: bundle.acceptedAtMs,
    },
    inForce: {
      version,
      entries: entries.filter((row) => row.bundleVersion === version).length,
      of: entries.length,
    },
    leader: rows.find((row) => row.leader !== null)?.leader ?? null,
    zones: directory.zones(),
    vms: rows,
    upstreams: [...board.read("upstreams").values()].map((record) =>
      describeUpstream(record, clock)
    ),
    ...options.details(),
  };
}

async function requestStatus(
  base: VmBase,
  vm: {
    readonly name: string;
    readonly zone: string;
    readonly role: "entry" | "control";
  },
): Promise<VmStatus & { readonly state: string }> {
  const reply = await base.network.request(
    { to: vm.name, channel: "control", timeoutMs: STATUS_TIMEOUT_MS },
    { kind: "status" },
  );
  const status = reply.ok ? parseVmStatus(reply.val) : undefined;
  const state = base.board.read("members").get(vm.name)?.state ?? "unknown";
  if (status !== undefined) return { ...status, state };
  return {
    vm: vm.name,
    zone: vm.zone,
    role: vm.role,
    ready: false,
    bundleVersion: null,
    bundleDigest: null,
    leader: null,
    state: "cut_off",
  };
}

function describeUpstream(record: UpstreamRecord, clock: Clock): unknown {
  return {
    id: record.id,
    zone: record.zone,
    role: record.role,
    incarnation: record.incarnation,
    serves: record.serves,
    services: record.services,
    leaving: record.leaving,
    lapsesInMs: Math.round(record.expiresAtMs - clock.nowMs()),
  };
}
