/**
 * Routes for operators' bundles.
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

/** What the routes work on. */
export interface BundleRouteOptions {
  readonly control: ControlPort;
  readonly activeBundle: () => AcceptedBundle | null;
}

/** Makes the routes. */
export function bundleRoutes(
  options: BundleRouteOptions,
): readonly HttpRoute[] {
  return [
    {
      method: "GET",
      pattern: "/v1/bundles/current",
      name: "bundle_current",
      handle: () => Promise.resolve(current(options.activeBundle())),
    },
    {
      method: "PUT",
      pattern: "/v1/bundles/:version",
      name: "bundle_submit",
      handle: (call) => submit(options, call),
    },
  ];
}

function current(accepted: AcceptedBundle | null): HttpResponse | Failure {
  if (accepted !== null) return jsonResponse(200, accepted);
  return fail("not_found", "no bundle is in force on this VM");
}

async function submit(
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
