/**
 * Helpers of the tests of the fakes.
 *
 * @module
 */
import { MemoryEventLog, SystemClock } from "#core";
import { type FakeCall, FakeServer, sendJson } from "./fake_server.ts";
import {
  UPSTREAM_DEFAULTS,
  type UpstreamServerOptions,
} from "./upstream_server.ts";

/** Returns options for a fake that listens on a free port and announces itself to no entry VM. */
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

/** Returns the base URL of a server. */
export function baseUrlOf(server: FakeServer): string {
  return `http://${server.address.host}:${server.address.port}`;
}

/** A fake entry VM that records calls and accepts or rejects them. */
export class RecordingEntryVm extends FakeServer {
  readonly calls: { readonly route: string; readonly body: string }[] = [];
  rejectsCalls = false;

  protected override handleCall(call: FakeCall): void {
    this.calls.push({ route: `${call.method} ${call.path}`, body: call.body });
    sendJson(call.response, this.rejectsCalls ? 503 : 200, {});
  }
}
