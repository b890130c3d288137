/**
 * Wires the parts of an entry VM.
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

/** A running entry VM. */
export class EntryVm {
  readonly #settings: EntrySettings;
  readonly #base: VmBase;
  readonly #members: MemberService;
  readonly #registry: RegistryService;
  readonly #follower: BundleFollower;
  readonly #bundles: BundleServer;
  readonly #requests: EntryRequests;
  readonly #samples: EntrySamples;
  readonly #engineReads: UpstreamClient;
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
    const place = { self, zone: settings.zone };
    this.#members = new MemberService({
      ...base,
      self,
      incarnation: base.epoch,
    });
    const relayOf = (zone: string): string | undefined =>
      this.#members.relayOf(zone);
    this.#registry = new RegistryService({
      ...base,
      ...place,
      role: "entry",
      relayOf,
    });
    this.#bundles = new BundleServer({
      ...base,
      isFresh: () => this.#follower.isFresh(),
    });
    this.#follower = new BundleFollower({
      ...base,
      ...place,
      relayOf,
      onBundle: (accepted) => this.#bundles.publish(accepted),
    });
    const control = new ControlClient(base);
    const common = { ...base, vm: self, zone: settings.zone, control };
    this.#requests = new EntryRequests({
      ...common,
      sourceHost: settings["listen-host"],
    });
    this.#engineReads = new UpstreamClient({
      sourceHost: settings["listen-host"],
      clock: base.clock,
    });
    this.#samples = new EntrySamples({
      ...common,
      engineStates: new EngineStateClient(this.#engineReads, base.clock),
      completions: this.#requests.completions,
      services: this.#requests.services,
    });
    this.#routes = [
      ...probeRoutes({ ...base, notReadyReason: () => this.#notReady() }),
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

  /** Opens the addresses, then asks what is in force; resolves when this VM is ready. */
  async start(): Promise<void> {
    this.#base.testPartition.start(this.#base.clock);
    await this.#base.network.listen();
    await this.#server.listen();
    serveControl({ ...this.#base, status: () => this.#status() });
    this.#members.start();
    this.#bundles.start();
    this.#registry.start();
    await this.#registry.synchronise();
    await this.#follower.start();
    await this.#registry.synchronise();
    this.#requests.start();
    this.#samples.start();
    this.#started = true;
  }

  /** Finishes everything that was begun, then closes. */
  async drain(): Promise<void> {
    const noticeMs = this.#settings["drain-notice-ms"];
    const served = this.#server.drain(noticeMs);
    await this.#base.clock.sleep(noticeMs);
    await this.#samples.drain();
    await served;
    await this.#requests.drain();
    this.#stop();
  }

  #stop(): void {
    this.#follower.stop();
    this.#registry.stop();
    this.#members.stop();
    this.#requests.stop();
    this.#engineReads.close();
    this.#base.testPartition.stop();
    this.#base.network.close();
  }

  #notReady(): string | undefined {
    if (this.#server.draining) return "this VM is stopping";
    if (!this.#started) return "this VM has not learnt what is in force";
    return undefined;
  }

  #status(): VmStatus {
    const bundle = this.#base.board.read("bundle");
    return {
      vm: this.#settings.vm,
      zone: this.#settings.zone,
      role: "entry",
      ready: this.#notReady() === undefined,
      bundleVersion: bundle?.signed.bundle.version ?? null,
      bundleDigest: bundle?.digest ?? null,
      leader: this.#base.board.read("lease")?.leader ?? null,
    };
  }
}
