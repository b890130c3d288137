/**
 * The answer of `GET /v1/status` as the operator commands read it.
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

/** What an entry VM answers to `GET /v1/status`. */
export type StatusResponse = z.infer<typeof statusSchema>;

/** Asks an entry VM for the status. */
export async function fetchStatus(
  client: OperatorClient,
): Promise<Result<StatusResponse, Failure>> {
  const answer = await client.send({ method: "GET", path: "/v1/status" });
  if (answer.err) return answer;
  const status = statusSchema.safeParse(answer.val);
  if (status.success) return Ok(status.data);
  return Err(
    fail("internal", "the status is of another release: update cicadafield"),
  );
}
