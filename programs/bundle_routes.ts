/**
 * Routes that read the active bundle and submit a new one.
 *
 * @module
 */
import {
  type AcceptedBundle,
  type ControlPort,
  fail,
  type Failure,
  type HttpRequest,
  type HttpResponse,
  type HttpRoute,
  jsonResponse,
} from "#core";
import { readJson } from "#membership";
import { z } from "zod";

const signedBundleSchema = z.strictObject({
  bundle: z.looseObject({ version: z.number().int() }),
  signer: z.string().max(64),
  signature: z.string().max(128),
});

/** Options of `bundleRoutes`. */
export interface BundleRouteOptions {
  readonly control: ControlPort;
  /** Returns the bundle that is active on this VM, or null if there is none. */
  readonly activeBundle: () => AcceptedBundle | null;
}

/** Returns the bundle routes. */
export function bundleRoutes(
  options: BundleRouteOptions,
): readonly HttpRoute[] {
  return [
    {
      method: "GET",
      pattern: "/v1/bundles/current",
      name: "bundle_current",
      handle: () => Promise.resolve(currentBundle(options.activeBundle())),
    },
    {
      method: "PUT",
      pattern: "/v1/bundles/:version",
      name: "bundle_submit",
      handle: (call) => submitBundle(options, call),
    },
  ];
}

function currentBundle(
  accepted: AcceptedBundle | null,
): HttpResponse | Failure {
  if (accepted !== null) return jsonResponse(200, accepted);
  return fail("not_found", "no bundle is active on this VM");
}

async function submitBundle(
  options: BundleRouteOptions,
  call: HttpRequest,
): Promise<HttpResponse | Failure> {
  const body = readJson(call.body, signedBundleSchema);
  if (!body.ok) return body.val;
  const version = Number(call.parameters["version"]);
  if (version !== body.val.bundle.version) {
    return fail(
      "malformed_request",
      `the path names version ${
        call.parameters["version"]
      }, the bundle ${body.val.bundle.version}`,
      { field: "version" },
    );
  }
  const command = { kind: "accept", signed: body.val };
  const receipt = await options.control.propose({
    machine: "bundles",
    command,
  });
  return receipt.ok ? jsonResponse(200, receipt.val) : receipt.val;
}
