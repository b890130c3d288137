/**
 * Spreads what is known of upstreams: at once to the entries of the zone when something changes, as
 * heartbeats that renew the copies held there, as digests that repair gaps, and through the zone's
 * relay to other zones and to the control VMs.
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
  decodeLoad,
  encodeLoad,
  zoneTotal,
  zoneTotals,
} from "./registry_notices.ts";
import { SetFetcher } from "./set_fetcher.ts";
import { UpstreamRegistry } from "./upstream_registry.ts";
import type { VmDirectory } from "./vm_directory.ts";
import { ZoneExport } from "./zone_export.ts";

/** Heartbeats sent during one lease. */
export const HEARTBEATS_PER_LEASE = 4;
const HEARTBEATS_PER_DIGEST = 2;
const DEFAULT_LEASE_MS: Milliseconds = 6_000;
const DEPARTURE_RETENTION_LEASES = 10;

/** What the service is built from. */
export interface RegistryServiceOptions {
  readonly self: string;
  readonly zone: string;
  /** Entries vouch for upstreams; observers, such as control VMs, only listen. */
  readonly role: "entry" | "observer";
  /** Start of this process, in wall milliseconds. */
  readonly epoch: number;
  readonly board: Blackboard<BoardSections>;
  readonly directory: VmDirectory;
  /** The entry VM that speaks for a zone. */
  readonly relayOf: (zone: string) => string | undefined;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
}

/** Runs the registry of one VM. */
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
      onApplied: () => this.#publish(),
    });
  }

  /** Begins to listen and, on an entry, to vouch. */
  start(): void {
    const { network } = this.#options;
    network.onNotice(
      "registry",
      (from, body) => this.#receiveNotice(from, body),
    );
    network.onRequest("registry", (_from, body) => this.#handleRequest(body));
    this.#scheduleTick();
  }

  /** Goes on with the heartbeats after `stop`. */
  resume(): void {
    this.#scheduleTick();
  }

  /** Ends the heartbeats. */
  stop(): void {
    this.#timer?.cancel();
  }

  /** Asks the zone's other entries for what they hold; resolves when each answered or timed out. */
  async synchronise(): Promise<void> {
    await this.#fetcher.synchronise(this.#zonePeers());
  }

  /** Takes an announcement of an upstream of this zone. */
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

  /** Ends new work on an upstream, here at once and on the zone's other entries by a notice. */
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

  /** Takes a load report of an upstream. */
  report(load: Omit<LoadReport, "receivedAtMs">): Result<true, Failure> {
    const receivedAtMs = this.#options.clock.nowMs();
    if (!this.#registry.recordLoad({ ...load, receivedAtMs })) {
      return Err(fail("not_found", `${load.id} has not announced itself here`));
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
      loads.push(...zoneTotals(this.#registry.loads()).map(encodeLoad));
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
    const load = zoneTotal(this.#registry.loads(), this.#options.zone);
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
    this.#publish();
  }

  #handleRequest(body: unknown): Promise<Result<unknown, Failure>> {
    const parsed = registryRequestSchema.safeParse(body);
    if (!parsed.success) {
      const failure = fail("malformed_request", "not a registry request");
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
