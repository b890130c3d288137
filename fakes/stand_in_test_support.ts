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
export function aloneOn(host: string, id: string): UpstreamServerOptions {
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
export function baseOf(server: FakeServer): string {
  return `http://${server.address.host}:${server.address.port}`;
}

/** An entry VM that takes announcements, or refuses them. */
export class RecordingEntry extends FakeServer {
  readonly calls: { readonly route: string; readonly body: string }[] = [];
  refuses = false;

  protected override answer(call: FakeCall): void {
    this.calls.push({ route: `${call.method} ${call.path}`, body: call.body });
    sendJson(call.response, this.refuses ? 503 : 200, {});
  }
}
