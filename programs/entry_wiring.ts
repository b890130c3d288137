/**
 * Constructs and connects the components of an entry VM.
 *
 * @module
 */
import type { HttpRoute } from "#core";
import {
  BundleFollower,
  BundleServer,
  ControlClient,
  MemberService,
  RegistryService,
  serveControl,
  upstreamRoutes,
  type VmStatus,
} from "#membership";
import { EntryRequests, UpstreamClient } from "#requests";
import { EngineStateClient, EntrySamples } from "#samples";
import { bundleRoutes } from "./bundle_routes.ts";
import { DEFAULT_HTTP_LIMITS } from "./http_limits.ts";
import { HttpServer } from "./http_server.ts";
import { probeRoutes } from "./probe_routes.ts";
import { statusRoutes } from "./status_routes.ts";
import { buildVmBase, type EntrySettings, type VmBase } from "./vm_base.ts";

/** An entry VM. */
export class EntryVm {
  readonly #settings: EntrySettings;
  readonly #base: VmBase;
  readonly #members: MemberService;
  readonly #registry: RegistryService;
  readonly #bundleFollower: BundleFollower;
  readonly #bundleServer: BundleServer;
  readonly #requests: EntryRequests;
  readonly #samples: EntrySamples;
  readonly #engineClient: UpstreamClient;
  readonly #server: HttpServer;
  readonly #routes: readonly HttpRoute[];
  #started = false;

  constructor(settings: EntrySettings) {
    this.#settings = settings;
    const base = buildVmBase(settings, {
      role: "entry",
      program: "cicadafield-entry",
      seeds: [...settings["control-vms"], ...settings["zone-vms"]],
    });
    this.#base = base;
    const self = settings.vm;
    const location = { self, zone: settings.zone };
    this.#members = new MemberService({
      ...base,
      self,
      incarnation: base.epoch,
    });
    const relayOf = (zone: string): string | undefined =>
      this.#members.relayOf(zone);
    this.#registry = new RegistryService({
      ...base,
      ...location,
      role: "entry",
      relayOf,
    });
    this.#bundleServer = new BundleServer({
      ...base,
      isFresh: () => this.#bundleFollower.isFresh(),
    });
    this.#bundleFollower = new BundleFollower({
      ...base,
      ...location,
      relayOf,
      onBundle: (accepted) => this.#bundleServer.publish(accepted),
    });
    const control = new ControlClient(base);
    const common = { ...base, vm: self, zone: settings.zone, control };
    this.#requests = new EntryRequests({
      ...common,
      sourceHost: settings["listen-host"],
    });
    this.#engineClient = new UpstreamClient({
      sourceHost: settings["listen-host"],
      clock: base.clock,
    });
    this.#samples = new EntrySamples({
      ...common,
      engineStates: new EngineStateClient(this.#engineClient, base.clock),
      completions: this.#requests.completions,
      services: this.#requests.services,
    });
    this.#routes = [
      ...probeRoutes({ ...base, notReadyReason: () => this.#notReadyReason() }),
      ...bundleRoutes({
        control,
        activeBundle: () => base.board.read("bundle"),
      }),
      ...statusRoutes({
        base,
        self: () => this.#status(),
        details: () => ({
          requests: this.#requests.status(),
          samples: this.#samples.status(),
        }),
      }),
      ...upstreamRoutes(this.#registry),
      ...this.#samples.routes(),
      ...this.#requests.routes(),
    ];
    this.#server = new HttpServer({
      ...base,
      listen: {
        host: settings["listen-host"],
        port: settings["http-port"],
      },
      routes: () => this.#routes,
      limits: DEFAULT_HTTP_LIMITS,
      bodyLimit: () =>
        base.board.read("bundle")?.signed.bundle.limits.bodyBytes,
    });
  }

  /** Opens the listen addresses, then fetches the active bundle and the upstreams; resolves when this VM is ready. */
  async start(): Promise<void> {
    this.#base.testPartition.start(this.#base.clock);
    await this.#base.network.listen();
    await this.#server.listen();
    serveControl({ ...this.#base, status: () => this.#status() });
    this.#members.start();
    this.#bundleServer.start();
    this.#registry.start();
    await this.#registry.synchronise();
    await this.#bundleFollower.start();
    await this.#registry.synchronise();
    this.#requests.start();
    this.#samples.start();
    this.#started = true;
  }

  /** Finishes all work in progress, then closes all connections. */
  async drain(): Promise<void> {
    const noticeMs = this.#settings["drain-notice-ms"];
    const drained = this.#server.drain(noticeMs);
    await this.#base.clock.sleep(noticeMs);
    await this.#samples.drain();
    await drained;
    await this.#requests.drain();
    this.#stop();
  }

  #stop(): void {
    this.#bundleFollower.stop();
    this.#registry.stop();
    this.#members.stop();
    this.#requests.stop();
    this.#engineClient.close();
    this.#base.testPartition.stop();
    this.#base.network.close();
  }

  #notReadyReason(): string | undefined {
    if (this.#server.draining) return "this VM is stopping";
    if (!this.#started) return "this VM has not finished starting";
    return undefined;
  }

  #status(): VmStatus {
    const bundle = this.#base.board.read("bundle");
    return {
      vm: this.#settings.vm,
      zone: this.#settings.zone,
      role: "entry",
      ready: this.#notReadyReason() === undefined,
      bundleVersion: bundle?.signed.bundle.version ?? null,
      bundleDigest: bundle?.digest ?? null,
      leader: this.#base.board.read("lease")?.leader ?? null,
    };
  }
}
