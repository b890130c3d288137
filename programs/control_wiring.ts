/**
 * Constructs and connects the components of a control VM.
 *
 * @module
 */
import { FileFolder, QuorumLog } from "#agreement";
import { BundlesMachine } from "#bundles";
import {
  type AnyStateMachine,
  type Failure,
  type HttpRoute,
  type MachineCommand,
  type TrainerEntry,
} from "#core";
import {
  BundleServer,
  ControlClient,
  MemberService,
  RegistryService,
  serveControl,
  type VmStatus,
} from "#membership";
import { ClaimsMachine } from "#requests";
import { LedgerMachine } from "#samples";
import { OrdersMachine, WeightsCoordinator } from "#weights";
import { firstBundleGate } from "./first_bundle_gate.ts";
import { bundleRoutes } from "./bundle_routes.ts";
import { DEFAULT_HTTP_LIMITS } from "./http_limits.ts";
import { HttpServer } from "./http_server.ts";
import { probeRoutes } from "./probe_routes.ts";
import { statusRoutes } from "./status_routes.ts";
import { buildVmBase, type ControlSettings, type VmBase } from "./vm_base.ts";

/** A control VM. */
export class ControlVm {
  readonly #settings: ControlSettings;
  readonly #base: VmBase;
  readonly #bundlesMachine = new BundlesMachine();
  readonly #log: QuorumLog;
  readonly #members: MemberService;
  readonly #registry: RegistryService;
  readonly #bundleServer: BundleServer;
  readonly #weights: WeightsCoordinator;
  readonly #server: HttpServer;
  readonly #routes: readonly HttpRoute[];

  constructor(
    settings: ControlSettings,
    options: { readonly onFatal: (failure: Failure) => void },
  ) {
    this.#settings = settings;
    const base = buildVmBase(settings, {
      role: "control",
      program: "cicadafield-control",
      seeds: settings["control-vms"],
    });
    this.#base = base;
    const self = settings.vm;
    this.#log = this.#buildLog(options.onFatal);
    this.#members = new MemberService({
      ...base,
      self,
      incarnation: base.epoch,
    });
    this.#registry = new RegistryService({
      ...base,
      self,
      zone: settings.zone,
      role: "observer",
      relayOf: (zone) => this.#members.relayOf(zone),
    });
    this.#bundleServer = new BundleServer({
      ...base,
      isFresh: () => this.#log.status().leader !== null,
    });
    this.#weights = new WeightsCoordinator({
      ...base,
      vm: self,
      sourceHost: settings["listen-host"],
      log: this.#log,
      bundle: () => this.#bundlesMachine.current(),
      upstreams: () => base.board.read("upstreams"),
    });
    const control = new ControlClient(base);
    this.#routes = [
      ...probeRoutes({ ...base, notReadyReason: () => this.#notReadyReason() }),
      ...bundleRoutes({
        control,
        activeBundle: () => this.#bundlesMachine.current(),
      }),
      ...statusRoutes({
        base,
        self: () => this.#status(),
        details: () => ({
          log: this.#log.status(),
          weights: this.#weights.status(),
        }),
      }),
    ];
    this.#server = new HttpServer({
      ...base,
      listen: {
        host: settings["listen-host"],
        port: settings["http-port"],
      },
      routes: () => this.#routes,
      limits: DEFAULT_HTTP_LIMITS,
    });
  }

  /** Opens the listen addresses, recovers the log from the data folder and joins the cluster. */
  async start(): Promise<void> {
    const { network, testPartition: cut, clock } = this.#base;
    cut.start(clock);
    await network.listen();
    await this.#server.listen();
    this.#log.onApplied(() => this.#publishActiveBundle());
    serveControl({
      network,
      status: () => this.#status(),
      log: this.#log,
      rejectCommand: (command) => this.#checkFirstBundle(command),
    });
    await this.#log.start();
    this.#publishActiveBundle();
    this.#members.start();
    this.#registry.start();
    this.#bundleServer.start();
    this.#weights.start();
  }

  /** Finishes the work in progress, hands leadership over and closes all connections. */
  async drain(): Promise<void> {
    await this.#server.drain(this.#settings["drain-notice-ms"]);
    await this.#weights.stop();
    await this.#log.stop();
    this.#registry.stop();
    this.#members.stop();
    this.#base.testPartition.stop();
    this.#base.network.close();
  }

  #buildLog(onFatal: (failure: Failure) => void): QuorumLog {
    const settings = this.#settings;
    const base = this.#base;
    const seeds = settings["control-vms"].map((vm) => vm.name);
    const machines: readonly AnyStateMachine[] = [
      this.#bundlesMachine,
      new ClaimsMachine(),
      new LedgerMachine({ findTrainer: (name) => this.#findTrainer(name) }),
      new OrdersMachine(),
    ] as readonly AnyStateMachine[];
    return new QuorumLog({
      ...base,
      vm: settings.vm,
      folder: new FileFolder(settings["data-folder"]),
      machines,
      peers: () => base.directory.list("control").map((vm) => vm.name),
      ...(settings["first-start"] === "yes"
        ? { firstStart: { voters: seeds } }
        : {}),
      onFatal,
    });
  }

  #findTrainer(name: string): TrainerEntry | null {
    const trainers = this.#bundlesMachine.current()?.signed.bundle.trainers ??
      [];
    return trainers.find((trainer) => trainer.name === name) ?? null;
  }

  #publishActiveBundle(): void {
    const current = this.#bundlesMachine.current();
    if (current === null || current === this.#base.board.read("bundle")) return;
    this.#base.board.write("bundles", "bundle", current);
    this.#bundleServer.publish(current);
  }

  #checkFirstBundle(request: MachineCommand): Failure | undefined {
    return firstBundleGate(request, {
      activeBundle: this.#bundlesMachine.current(),
      operators: this.#settings["operator-keys"],
    });
  }

  #notReadyReason(): string | undefined {
    if (this.#server.draining) return "this VM is stopping";
    const status = this.#log.status();
    if (!status.ready) return "this replica has not caught up";
    if (status.leader === null) return "no leader is known";
    return undefined;
  }

  #status(): VmStatus {
    const bundle = this.#bundlesMachine.current();
    return {
      vm: this.#settings.vm,
      zone: this.#settings.zone,
      role: "control",
      ready: this.#notReadyReason() === undefined,
      bundleVersion: bundle?.signed.bundle.version ?? null,
      bundleDigest: bundle?.digest ?? null,
      leader: this.#log.status().leader,
    };
  }
}
