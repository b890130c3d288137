/**
 * Constructs and connects the components of a store VM on the users' platform.
 *
 * @module
 */
import { QuorumLog, SHORT_TIMING } from "#agreement";
import {
  BatchesMachine,
  BatchRunner,
  BatchService,
  batchStateLimit,
  ForwardedScoring,
} from "#batches";
import type {
  AnyStateMachine,
  Failure,
  HeldSizes,
  ServedVersion,
  ServiceLoad,
} from "#core";
import { TrustedCalls } from "#crashes";
import {
  type ControlLeader,
  FleetFollower,
  initialStoreGroup,
  isOnHostOfLeader,
} from "#membership";
import { type NodeSettings, WorkerDialect, WorkerOrderClient } from "#platform";
import { Forwarder } from "#requests";
import type { PermitClient } from "#quotas";
import { HTTP_EVENTS } from "./events.ts";
import {
  buildControlLeader,
  buildNodeBase,
  buildPermits,
  describeNode,
  logBytes,
  logReload,
  logStart,
  type NodeBase,
  openDataFolder,
  type PlatformNode,
  upstreamNotices,
} from "./node_base.ts";
import { NodeMonitoring } from "./node_monitoring.ts";

/** A store VM on the users' platform. */
export class StoreNode implements PlatformNode {
  #settings: NodeSettings;
  readonly #base: NodeBase;
  readonly #batchesMachine = new BatchesMachine();
  readonly #fleetFollower: FleetFollower;
  readonly #onFatal: (failure: Failure) => void;
  readonly #monitoring: NodeMonitoring;
  readonly #engineReports: WorkerOrderClient;
  readonly #controlLeader: ControlLeader;
  readonly #permits: PermitClient;
  /** Sends the scoring calls of items. */
  readonly #forwarder: Forwarder;
  #log: QuorumLog | undefined;
  #runner: BatchRunner | undefined;

  constructor(
    settings: NodeSettings,
    options: { readonly onFatal: (failure: Failure) => void },
  ) {
    this.#settings = settings;
    this.#onFatal = options.onFatal;
    const base = buildNodeBase(settings, {
      role: "store",
      current: () => this.#settings,
    });
    this.#base = base;
    this.#fleetFollower = new FleetFollower({
      ...base,
      self: () => describeNode(base, "store", this.#groupStatus()),
      onChange: () => this.#handleFleetChange(),
    });
    this.#controlLeader = buildControlLeader(base, this.#fleetFollower);
    this.#permits = buildPermits(base, {
      follower: this.#fleetFollower,
      leader: this.#controlLeader,
      onBacklogPermits: () => this.#runner?.wake(),
    });
    this.#engineReports = new WorkerOrderClient(
      base.clock,
      (engine) => this.#fleetFollower.reportLeaving(engine),
    );
    this.#forwarder = new Forwarder({
      ...base,
      zone: settings.zone,
      hasSlowStart: settings.slowStart,
      dialect: new WorkerDialect(),
      upstreams: () => this.#fleetFollower.upstreams,
      ...upstreamNotices(this.#fleetFollower),
      permits: this.#permits,
      crashGuard: new TrustedCalls(),
    });
    this.#monitoring = new NodeMonitoring(base, {
      heldSizes: () => this.#heldSizes(),
    });
  }

  async start(): Promise<void> {
    logStart(this.#base);
    await this.#monitoring.start();
    await this.#base.network.listen();
    const files = await openDataFolder(this.#base.settings, "store").list();
    // A VM with a replica reads its group from the log, so it starts without waiting for a placement.
    if (files.length > 0) this.#startLog([]);
    this.#fleetFollower.run();
  }

  async drain(): Promise<void> {
    this.#base.events.emit(HTTP_EVENTS.nodeStopping);
    await this.#runner?.stop();
    await this.#log?.stop();
    this.#forwarder.close();
    this.#fleetFollower.stop();
    await this.#monitoring.stop();
    this.#base.network.close();
  }

  reload(settings: NodeSettings): void {
    logReload(this.#base, settings);
    this.#settings = settings;
  }

  #heldSizes(): HeldSizes {
    const unsent = this.#base.network.unsent();
    const log = this.#log?.sizes();
    return {
      bytes: { ...logBytes(log), unsent_to_peers: unsent.bytes },
      counts: {
        log_entries: log?.entries ?? 0,
        open_batches: this.#batchesMachine.openBatches().length,
        items_in_progress: this.#runner?.itemsInProgress ?? 0,
        peer_connections: unsent.connections,
        upstreams: this.#fleetFollower.upstreams.length,
        vms: this.#fleetFollower.nodes.length,
      },
    };
  }

  #groupStatus(): {
    readonly leads: boolean;
    readonly term: number;
    readonly voters: readonly string[];
    readonly asked?: readonly ServedVersion[];
    readonly load?: readonly ServiceLoad[];
  } {
    const log = this.#log;
    if (log === undefined) return { leads: false, term: 0, voters: [] };
    const { term, voters } = log.status();
    const leads = log.leaseUntilMs() > this.#base.clock.nowMs();
    const asked = leads ? this.#batchesMachine.requestedVersions() : [];
    const load = leads ? this.#runner?.load() : undefined;
    return {
      leads,
      term,
      voters,
      asked,
      ...(load === undefined ? {} : { load }),
    };
  }

  #handleFleetChange(): void {
    const { stores } = this.#fleetFollower.placement;
    if (this.#log === undefined && stores.length > 0) this.#startLog(stores);
    this.#controlLeader.handleVmChange();
    this.#permits.handleFleetChange();
    this.#runner?.wake();
  }

  /** Starts the log. The VMs of the first placement form the group; all others join it. */
  async #startLog(stores: readonly string[]): Promise<void> {
    const base = this.#base;
    const { settings } = base;
    const formsGroup = settings.firstStart && stores.includes(base.vm);
    const log = new QuorumLog({
      ...base,
      folder: openDataFolder(settings, "store"),
      machines: [this.#batchesMachine as AnyStateMachine],
      peers: () => this.#fleetFollower.placement.stores,
      ...(formsGroup ? { firstStart: initialStoreGroup(stores) } : {}),
      prefersOtherLeader: () =>
        isOnHostOfLeader(base.vm, {
          nodes: this.#fleetFollower.nodes,
          role: "control",
        }),
      timing: SHORT_TIMING,
      onFatal: this.#onFatal,
    });
    this.#log = log;
    const service = new BatchService({
      ...base,
      log,
      machine: this.#batchesMachine,
      limitBytes: () => batchStateLimit(this.#settings.memoryLimitBytes),
    });
    this.#runner = new BatchRunner({
      ...base,
      log,
      machine: this.#batchesMachine,
      dialect: new WorkerDialect(),
      onLeads: () => this.#fleetFollower.reportSelf(),
      fetchReport: (engine) => this.#engineReports.fetchReport(engine),
      scoringPort: new ForwardedScoring({
        ...base,
        forwarder: this.#forwarder,
        dialect: new WorkerDialect(),
      }),
      upstreams: () => this.#fleetFollower.upstreams,
      ...upstreamNotices(this.#fleetFollower),
      permits: this.#permits,
      configuration: () => this.#fleetFollower.configuration,
      drainMs: settings.upstreamDrainMs,
    });
    await log.start();
    service.start();
    this.#runner.start();
  }
}
