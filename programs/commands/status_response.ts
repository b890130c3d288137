/**
 * The fields of the response to `GET /v1/status` that the operator commands read.
 *
 * @module
 */
import { Err, fail, type Failure, Ok, type Result } from "#core";
import { z } from "zod";
import type { OperatorClient } from "../operator_client.ts";

const statusSchema = z.looseObject({
  vm: z.string(),
  zone: z.string(),
  bundle: z.looseObject({
    version: z.number(),
    digest: z.string(),
    signer: z.string(),
  }).nullable(),
  inForce: z.looseObject({
    version: z.number().nullable(),
    entries: z.number(),
    of: z.number(),
  }),
  leader: z.string().nullable(),
  zones: z.array(z.string()),
  vms: z.array(z.looseObject({
    vm: z.string(),
    zone: z.string(),
    role: z.string(),
    ready: z.boolean(),
    bundleVersion: z.number().nullable(),
    state: z.string(),
  })),
  upstreams: z.array(z.looseObject({
    id: z.string(),
    zone: z.string(),
    role: z.string(),
    leaving: z.boolean(),
    serves: z.array(z.looseObject({ model: z.string(), version: z.number() })),
    services: z.array(z.string()),
  })),
});

/** Response of an entry VM to `GET /v1/status`. */
export type StatusResponse = z.infer<typeof statusSchema>;

/** Requests the status from an entry VM. */
export async function fetchStatus(
  client: OperatorClient,
): Promise<Result<StatusResponse, Failure>> {
  const response = await client.send({ method: "GET", path: "/v1/status" });
  if (response.err) return response;
  const status = statusSchema.safeParse(response.val);
  if (status.success) return Ok(status.data);
  return Err(
    fail(
      "internal",
      "the status response does not match this release; install the cicadafield release of the cluster",
    ),
  );
}
