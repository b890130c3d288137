/**
 * HTTP routes on which upstreams announce themselves, leave and report their load.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  Err,
  fail,
  type Failure,
  type HttpRequest,
  type HttpResponse,
  type HttpRoute,
  jsonResponse,
  Ok,
  type Result,
} from "#core";
import { z } from "zod";
import { announcementSchema, loadSchema } from "./registry_messages.ts";
import type { RegistryService } from "./registry_service.ts";

const leaveSchema = z.strictObject({
  incarnation: z.number().int().nonnegative(),
});
const eventsSchema = z.strictObject({
  incarnation: z.number().int().nonnegative(),
  load: loadSchema,
});

/**
 * Creates the HTTP routes of a registry.
 *
 * @example
 * ```ts
 * const routes = upstreamRoutes(registryService);
 * ```
 */
export function upstreamRoutes(
  registry: RegistryService,
): readonly HttpRoute[] {
  return [
    {
      method: "PUT",
      pattern: "/v1/upstreams/:id",
      name: "upstream_announce",
      handle: (call) => Promise.resolve(announce(registry, call)),
    },
    {
      method: "POST",
      pattern: "/v1/upstreams/:id/leave",
      name: "upstream_leave",
      handle: (call) => Promise.resolve(leave(registry, call)),
    },
    {
      method: "POST",
      pattern: "/v1/upstreams/:id/events",
      name: "upstream_events",
      handle: (call) => Promise.resolve(report(registry, call)),
    },
  ];
}

/** Parses a JSON body with a schema; the failure names the first invalid field. */
export function readJson<Schema extends z.ZodType>(
  body: Uint8Array,
  schema: Schema,
): Result<z.infer<Schema>, Failure> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return Err(fail("malformed_request", "the body is not JSON"));
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const issue = parsed.error.issues[0];
  const field = issue === undefined || issue.path.length === 0
    ? "(body)"
    : issue.path.join(".");
  const message = `${field}: ${issue?.message ?? "is malformed"}`;
  return Err(fail("malformed_request", message, { field }));
}

function announce(
  registry: RegistryService,
  call: HttpRequest,
): HttpResponse | Failure {
  const body = readJson(call.body, announcementSchema);
  if (!body.ok) return body.val;
  const { sequence, ...announcement } = body.val;
  const id = call.parameters["id"] ?? "";
  const result = registry.announce({
    announcement: { id, ...announcement },
    sequence,
  });
  return result.ok ? jsonResponse(200, { id, sequence }) : result.val;
}

function leave(
  registry: RegistryService,
  call: HttpRequest,
): HttpResponse | Failure {
  const body = readJson(call.body, leaveSchema);
  if (!body.ok) return body.val;
  const id = call.parameters["id"] ?? "";
  const result = registry.leave({ id, incarnation: body.val.incarnation });
  return result.ok ? jsonResponse(200, { id, leaving: true }) : result.val;
}

function report(
  registry: RegistryService,
  call: HttpRequest,
): HttpResponse | Failure {
  const body = readJson(call.body, eventsSchema);
  if (!body.ok) return body.val;
  const id = call.parameters["id"] ?? "";
  const result = registry.report({ id, ...body.val.load });
  return result.ok ? jsonResponse(200, { id }) : result.val;
}
