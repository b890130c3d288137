/**
 * Replicates the registry of upstreams: sends each change at once to the entry VMs of the zone, heartbeats
 * that renew the copies there, and digests (the headers of all sets) that repair missed changes. The zone's
 * relay sends the upstreams of the zone to other zones and to the control VMs.
 *
 * @module
 */
import {
  type Blackboard,
  type BoardSections,
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  type LoadReport,
  type Milliseconds,
  Ok,
  type RandomSource,
  type Result,
  type Timer,
  type UpstreamRecord,
} from "#core";
import type { PeerNetwork } from "#wire";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import {
  type Departure,
  type RegistryNotice,
  registryNoticeSchema,
  registryRequestSchema,
  type SetHeader,
  type SetUpdate,
} from "./registry_messages.ts";
import type { SequencedAnnouncement } from "./upstream_registry.ts";
import {
  computeZoneTotal,
  decodeLoad,
  encodeLoad,
  selectZoneTotals,
} from "./registry_notices.ts";
import { SetFetcher } from "./set_fetcher.ts";
import { UpstreamRegistry } from "./upstream_registry.ts";
import type { VmDirectory } from "./vm_directory.ts";
import { ZoneExport } from "./zone_export.ts";

/** Number of heartbeats sent during one lease. */
export const HEARTBEATS_PER_LEASE = 4;
const HEARTBEATS_PER_DIGEST = 2;
const DEFAULT_LEASE_MS: Milliseconds = 6_000;
const DEPARTURE_RETENTION_LEASES = 10;

/** Options of `RegistryService`. */
export interface RegistryServiceOptions {
  readonly self: string;
  readonly zone: string;
  /** Entry VMs publish upstreams; observers, such as control VMs, only receive. */
  readonly role: "entry" | "observer";
  /** Start time of this process, in wall-clock milliseconds. */
  readonly epoch: number;
  readonly board: Blackboard<BoardSections>;
  readonly directory: VmDirectory;
  /** Returns the relay of a zone: the entry VM that exchanges upstreams with other zones. */
  readonly relayOf: (zone: string) => string | undefined;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** Registry of one VM, replicated with the other VMs over the network. */
export class RegistryService {
  readonly #options: RegistryServiceOptions;
  readonly #registry: UpstreamRegistry;
  readonly #export: ZoneExport;
  readonly #fetcher: SetFetcher;
  #publishedView: ReadonlyMap<string, UpstreamRecord> | undefined;
  #exportedView: ReadonlyMap<string, UpstreamRecord> | undefined;
  #pushedVersion = 0;
  #heartbeats = 0;
  #timer: Timer | undefined;

  constructor(options: RegistryServiceOptions) {
    this.#options = options;
    const { self, zone, epoch } = options;
    this.#registry = new UpstreamRegistry({
      self,
      epoch,
      leaseMs: () => this.#leaseMs(),
    });
    this.#export = new ZoneExport({ self, zone, epoch });
    this.#fetcher = new SetFetcher({
      network: options.network,
      clock: options.clock,
      registry: this.#registry,
      onApplied: () => this.#handleApplied(),
    });
  }

  /** Starts to receive messages and, on an entry VM, to send heartbeats. */
  start(): void {
    const { network } = this.#options;
    network.onNotice(
      "registry",
      (from, body) => this.#receiveNotice(from, body),
    );
    network.onRequest("registry", (_from, body) => this.#handleRequest(body));
    this.#scheduleTick();
  }

  /** Resumes the heartbeats after `stop`. */
  resume(): void {
    this.#scheduleTick();
  }

  /** Stops the heartbeats. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Fetches newer sets from the zone's other entry VMs; resolves when each has replied or timed out. */
  async synchronise(): Promise<void> {
    await this.#fetcher.synchronise(this.#zonePeers());
  }

  /** Accepts or rejects the announcement of an upstream of this zone. */
  announce(sequenced: SequencedAnnouncement): Result<true, Failure> {
    const { zone } = sequenced.announcement;
    if (zone !== this.#options.zone) {
      return Err(
        fail("malformed_request", `this VM is in zone ${this.#options.zone}`, {
          field: "zone",
        }),
      );
    }
    const nowMs = this.#options.clock.nowMs();
    const result = this.#registry.announce(sequenced, nowMs);
    if (!result.ok) return result;
    if (result.val.changed) {
      const { id, incarnation, serves } = sequenced.announcement;
      this.#options.events.emit(MEMBERSHIP_EVENTS.upstreamAnnounced, {
        upstream: id,
        incarnation,
        serves,
      });
      this.#pushChanges();
    }
    return Ok(true);
  }

  /** Stops new work on an upstream, here at once and on the zone's other entry VMs by a notice. */
  leave(departure: Departure): Result<true, Failure> {
    const result = this.#registry.leave(departure, this.#options.clock.nowMs());
    if (!result.ok) return result;
    if (result.val.changed) {
      this.#options.events.emit(MEMBERSHIP_EVENTS.upstreamLeaving, {
        upstream: departure.id,
        incarnation: departure.incarnation,
      });
      this.#pushChanges();
    }
    return Ok(true);
  }

  /** Stores a load report of an upstream. */
  report(load: Omit<LoadReport, "receivedAtMs">): Result<true, Failure> {
    const receivedAtMs = this.#options.clock.nowMs();
    if (!this.#registry.recordLoad({ ...load, receivedAtMs })) {
      return Err(
        fail("not_found", `upstream ${load.id} is not announced on this VM`),
      );
    }
    this.#publishLoads();
    return Ok(true);
  }

  #leaseMs(): Milliseconds {
    const bundle = this.#options.board.read("bundle");
    return bundle?.signed.bundle.limits.upstreamLeaseMs ?? DEFAULT_LEASE_MS;
  }

  #scheduleTick(): void {
    const periodMs = this.#leaseMs() / HEARTBEATS_PER_LEASE;
    this.#timer = this.#options.clock.after(periodMs, () => {
      this.#tick();
      this.#scheduleTick();
    });
  }

  #tick(): void {
    const expired = this.#registry.expire(this.#options.clock.nowMs());
    for (const upstream of expired) {
      this.#options.events.emit(MEMBERSHIP_EVENTS.upstreamExpired, {
        upstream,
      });
    }
    this.#publish();
    if (this.#options.role !== "entry") return;
    this.#heartbeats += 1;
    if (expired.length > 0) this.#pushChanges();
    this.#sendZoneHeartbeat();
    if (this.#heartbeats % HEARTBEATS_PER_DIGEST === 0) this.#sendDigest();
    if (this.#isRelay()) this.#sendExportHeartbeat();
  }

  #isRelay(): boolean {
    const { self, zone } = this.#options;
    return this.#options.relayOf(zone) === self;
  }

  #zonePeers(): readonly string[] {
    return this.#options.directory.entryVmsOf(this.#options.zone)
      .map((vm) => vm.name)
      .filter((name) => name !== this.#options.self);
  }

  #sendZoneHeartbeat(): void {
    const nowMs = this.#options.clock.nowMs();
    const headers = [this.#registry.nextHeartbeat()];
    const loads = this.#registry.ownLoads().map(encodeLoad);
    if (this.#isRelay()) {
      headers.push(...this.#registry.otherZoneHeaders(nowMs));
      loads.push(...selectZoneTotals(this.#registry.loads()).map(encodeLoad));
    }
    this.#sendAll(this.#zonePeers(), { kind: "headers", headers, loads });
  }

  #sendDigest(): void {
    const peers = this.#zonePeers();
    const peer = peers[this.#options.random.below(peers.length)];
    if (peer === undefined) return;
    const headers = this.#registry.headers(this.#options.clock.nowMs());
    this.#sendAll([peer], { kind: "headers", headers, loads: [] });
  }

  #sendExportHeartbeat(): void {
    const header = this.#refreshExport();
    const load = computeZoneTotal(this.#registry.loads(), this.#options.zone);
    const notice = {
      kind: "headers",
      headers: [header],
      loads: [load],
    } as const;
    this.#sendAll(this.#exportRecipients(), notice);
  }

  #refreshExport(): SetHeader {
    const nowMs = this.#options.clock.nowMs();
    const leaseMs = this.#leaseMs();
    const view = this.#registry.localView();
    const retainUntilMs = nowMs + DEPARTURE_RETENTION_LEASES * leaseMs;
    this.#export.refresh(view, { nowMs, retainUntilMs });
    this.#exportedView = this.#registry.view();
    return this.#export.nextHeartbeat(leaseMs);
  }

  #exportRecipients(): readonly string[] {
    const { directory, relayOf, zone } = this.#options;
    const names = directory.list("control").map((vm) => vm.name);
    for (const other of directory.zones()) {
      const relay = other === zone ? undefined : relayOf(other);
      if (relay !== undefined) names.push(relay);
    }
    return names;
  }

  #pushChanges(): void {
    this.#publish();
    const nowMs = this.#options.clock.nowMs();
    const update = this.#registry.changesSince({
      home: this.#options.self,
      epoch: this.#options.epoch,
      since: this.#pushedVersion,
    }, nowMs);
    if (update === undefined) return;
    this.#pushedVersion = update.header.version;
    this.#sendAll(this.#zonePeers(), { kind: "update", update });
  }

  #sendAll(names: readonly string[], notice: RegistryNotice): void {
    for (const to of names) {
      this.#options.network.notify({ to, channel: "registry" }, notice);
    }
  }

  #receiveNotice(from: string, body: unknown): void {
    const parsed = registryNoticeSchema.safeParse(body);
    if (!parsed.success) {
      this.#options.events.emit(MEMBERSHIP_EVENTS.malformedMessage, { from });
      return;
    }
    const notice: RegistryNotice = parsed.data;
    if (notice.kind === "update") {
      this.#receiveUpdate(from, notice.update);
      return;
    }
    const nowMs = this.#options.clock.nowMs();
    for (const header of notice.headers) {
      if (this.#registry.receiveHeader(header, nowMs)) {
        this.#fetcher.fetch(from, header.home);
      }
    }
    for (const load of notice.loads) {
      this.#registry.recordLoad(decodeLoad(load, nowMs));
    }
    if (notice.loads.length > 0) this.#publishLoads();
  }

  #receiveUpdate(from: string, update: SetUpdate): void {
    const applied = this.#registry.applyUpdate(
      update,
      this.#options.clock.nowMs(),
    );
    if (!applied) {
      this.#fetcher.fetch(from, update.header.home);
      return;
    }
    this.#handleApplied();
  }

  /** Publishes what an update of another VM brought, and passes on what changed the set of this one. */
  #handleApplied(): void {
    if (this.#registry.ownVersion > this.#pushedVersion) this.#pushChanges();
    else this.#publish();
  }

  #handleRequest(body: unknown): Promise<Result<unknown, Failure>> {
    const parsed = registryRequestSchema.safeParse(body);
    if (!parsed.success) {
      const failure = fail(
        "malformed_request",
        "the registry request is malformed",
      );
      return Promise.resolve(Err(failure));
    }
    const request = parsed.data;
    if (request.kind === "headers") {
      const headers = this.#registry.headers(this.#options.clock.nowMs());
      return Promise.resolve(Ok({ headers }));
    }
    if (request.home === this.#export.home) {
      const isSame = request.epoch === this.#options.epoch;
      const since = isSame ? request.since : 0;
      const update = this.#export.changesSince(since, this.#leaseMs());
      return Promise.resolve(Ok({ update }));
    }
    const nowMs = this.#options.clock.nowMs();
    const update = this.#registry.changesSince(request, nowMs) ?? null;
    return Promise.resolve(Ok({ update }));
  }

  #publish(): void {
    const view = this.#registry.view();
    if (view !== this.#publishedView) {
      this.#publishedView = view;
      this.#options.board.write("registry", "upstreams", view);
    }
    if (this.#options.role !== "entry" || view === this.#exportedView) return;
    if (this.#isRelay()) this.#sendExportHeartbeat();
  }

  #publishLoads(): void {
    this.#options.board.write("registry", "load", this.#registry.loads());
  }
}
