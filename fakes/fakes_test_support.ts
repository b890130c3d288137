/**
 * What the tests of the stand-ins share.
 *
 * @module
 */
import { MemoryEventLog, SystemClock } from "#core";
import { type FakeCall, FakeServer, sendJson } from "./fake_server.ts";
import {
  UPSTREAM_DEFAULTS,
  type UpstreamServerOptions,
} from "./upstream_server.ts";

/** Options that let a stand-in run alone on a free port. */
export function standaloneOptions(
  host: string,
  id: string,
): UpstreamServerOptions {
  return {
    ...UPSTREAM_DEFAULTS,
    id,
    zone: "a",
    listen: { host, port: 0 },
    clock: new SystemClock(),
    events: new MemoryEventLog(),
  };
}

/** Base of the calls to a server. */
export function baseUrlOf(server: FakeServer): string {
  return `http://${server.address.host}:${server.address.port}`;
}

/** An entry VM that takes announcements, or refuses them. */
export class RecordingEntryVm extends FakeServer {
  readonly calls: { readonly route: string; readonly body: string }[] = [];
  rejectsCalls = false;

  protected override handleCall(call: FakeCall): void {
    this.calls.push({ route: `${call.method} ${call.path}`, body: call.body });
    sendJson(call.response, this.rejectsCalls ? 503 : 200, {});
  }
}
