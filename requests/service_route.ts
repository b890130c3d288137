/**
 * HTTP route to plain services.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  fail,
  type Failure,
  type HttpRequest,
  type HttpResponse,
  type HttpRoute,
} from "#core";
import { readCallHeaders } from "./call_headers.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import type { RoutedServices } from "./services.ts";

const NOT_READY_RETRY_MS = 1_000;

/** Returns the route `ANY /services/:service/*path`. */
export function serviceRoute(
  dependencies: RequestDependencies,
  services: RoutedServices,
): HttpRoute {
  return {
    method: "ANY",
    pattern: "/services/:service/*path",
    name: "services",
    handle: (call) => handleService(call, { dependencies, services }),
  };
}

async function handleService(
  call: HttpRequest,
  context: {
    readonly dependencies: RequestDependencies;
    readonly services: RoutedServices;
  },
): Promise<HttpResponse | Failure> {
  const { dependencies, services } = context;
  const requestId = dependencies.random.identifier();
  const bundle = dependencies.board.read("bundle")?.signed.bundle;
  if (bundle === undefined) {
    return fail("not_ready", "no bundle is active on this VM yet", {
      ran: call.headers["idempotency-key"] === undefined ? "no" : "unknown",
      retryAfterMs: NOT_READY_RETRY_MS,
      requestId,
    });
  }
  const headers = readCallHeaders(call, {
    policy: dependencies.gate.scheduler.policy,
    nowMs: dependencies.clock.nowMs(),
  });
  if (!headers.ok) return { ...headers.val, requestId };
  const name = call.parameters["service"] ?? "";
  const entry = bundle.services.find((each) => each.name === name);
  if (entry === undefined) {
    return fail("unknown_service", `there is no service ${name}`, {
      requestId,
    });
  }
  const result = await services.callWithSignal({
    requestId,
    ...headers.val,
    service: name,
    method: call.method,
    path: pathBelow(call, name),
    headers: call.headers,
    body: call.body,
    idempotent: entry.idempotentMethods.includes(call.method),
  }, call.signal);
  if (!result.ok) return { ...result.val, requestId };
  return {
    status: result.val.status,
    headers: {
      ...result.val.headers,
      "cicadafield-ran": "yes",
      "cicadafield-request": requestId,
    },
    body: Buffer.from(result.val.body),
  };
}

/** Returns the path and query below the service's name, encoded as the caller sent them. */
function pathBelow(call: HttpRequest, service: string): string {
  const prefix = `/services/${encodeURIComponent(service)}`;
  const rest = call.path.startsWith(prefix)
    ? call.path.slice(prefix.length)
    : `/${call.parameters["path"] ?? ""}`;
  const query = call.query.toString();
  const path = rest.startsWith("/") ? rest : `/${rest}`;
  return query === "" ? path : `${path}?${query}`;
}
