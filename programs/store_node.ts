/**
 * Wires the parts of a store VM on the platform.
 *
 * @module
 */
import { QuorumLog, SHORT_TIMING } from "#agreement";
import { BatchesMachine, BatchRunner, BatchService } from "#batches";
import type { AnyStateMachine, Failure, ServedVersion } from "#core";
import { FleetFollower } from "#membership";
import { type NodeSettings, WorkerDialect } from "#platform";
import { HTTP_EVENTS } from "./events.ts";
import {
  buildNodeBase,
  describeNode,
  logReload,
  logStart,
  type NodeBase,
  openDataFolder,
  type PlatformNode,
} from "./node_base.ts";

/** A running store VM. */
export class StoreNode implements PlatformNode {
  #settings: NodeSettings;
  readonly #base: NodeBase;
  readonly #machine = new BatchesMachine();
  readonly #follower: FleetFollower;
  readonly #onFatal: (failure: Failure) => void;
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
    this.#follower = new FleetFollower({
      ...base,
      self: () => describeNode(base, "store", this.#group()),
      onChange: () => this.#follow(),
    });
  }

  async start(): Promise<void> {
    logStart(this.#base);
    await this.#base.network.listen();
    const files = await openDataFolder(this.#base.settings, "store").list();
    // A VM that has a replica knows its group from the log and need not hear of it first.
    if (files.length > 0) this.#startLog([]);
    this.#follower.run();
  }

  async drain(): Promise<void> {
    this.#base.events.emit(HTTP_EVENTS.nodeStopping);
    await this.#runner?.stop();
    await this.#log?.stop();
    this.#follower.stop();
    this.#base.network.close();
  }

  reload(settings: NodeSettings): void {
    logReload(this.#base, settings);
    this.#settings = settings;
  }

  #group(): {
    readonly leads: boolean;
    readonly term: number;
    readonly voters: readonly string[];
    readonly asked?: readonly ServedVersion[];
  } {
    const log = this.#log;
    if (log === undefined) return { leads: false, term: 0, voters: [] };
    const { term, voters } = log.status();
    const leads = log.leaseUntilMs() > this.#base.clock.nowMs();
    const asked = leads ? this.#machine.requestedVersions() : [];
    return { leads, term, voters, asked };
  }

  #follow(): void {
    const { stores } = this.#follower.placement;
    if (this.#log === undefined && stores.length > 0) this.#startLog(stores);
    this.#runner?.wake();
  }

  /** The group is formed by the VMs that the first placement names; all others join it. */
  async #startLog(stores: readonly string[]): Promise<void> {
    const base = this.#base;
    const { settings } = base;
    const founds = settings.firstStart && stores.includes(base.vm);
    const log = new QuorumLog({
      ...base,
      folder: openDataFolder(settings, "store"),
      machines: [this.#machine as AnyStateMachine],
      peers: () => this.#follower.placement.stores,
      ...(founds ? { firstStart: { voters: stores } } : {}),
      timing: SHORT_TIMING,
      onFatal: this.#onFatal,
    });
    this.#log = log;
    const service = new BatchService({ ...base, log, machine: this.#machine });
    this.#runner = new BatchRunner({
      ...base,
      log,
      machine: this.#machine,
      dialect: new WorkerDialect(),
      upstreams: () => this.#follower.upstreams,
      configuration: () => this.#follower.configuration,
    });
    await log.start();
    service.start();
    this.#runner.start();
  }
}
