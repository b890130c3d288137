/**
 * The part of a control VM that hears upstreams and VMs and tells everyone what is in force. Heartbeats are
 * soft state: each control VM passes them on to the others, and one that has just started asks for theirs.
 *
 * @module
 */
import {
  type Clock,
  Err,
  fail,
  type Failure,
  type FleetNode,
  type FleetUpstream,
  type Milliseconds,
  Ok,
  type Result,
  type StoredConfiguration,
} from "#core";
import type { PeerNetwork } from "#wire";
import {
  type FleetNotice,
  type FollowAnswer,
  type FollowRequest,
  parseFleetNotice,
  parseFollowRequest,
} from "./fleet_messages.ts";
import { FleetTable } from "./fleet_table.ts";
import type { PlacedState } from "./placement_machine.ts";
import type { HeardNode } from "./placement_plan.ts";

const GOSSIP_MS: Milliseconds = 500;
const NODE_MEMORY_MS: Milliseconds = 60_000;
const LISTED_NODE_MS: Milliseconds = 5_000;
/** Sets the revisions of a table apart from those before it was complete. */
const PARTIAL_SUFFIX = "-partial";
const BEAT_MEMORY_MS: Milliseconds = 60_000;

/** What a server is built from. */
export interface FleetServerOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** This VM as it is now. */
  readonly self: () => FleetNode;
  /** Differs from life to life. */
  readonly epoch: string;
  /** Silence after which an upstream gets no work. */
  readonly silenceMs: Milliseconds;
  /** Control VMs to tell, this one included or not. */
  readonly peers: () => readonly string[];
  readonly configuration: () => StoredConfiguration | null;
  readonly placement: () => PlacedState;
  /** Whether this VM leads under a lease or hears a leader. */
  readonly hearsQuorum: () => boolean;
  /** Version of the newest configuration, sure to be the newest; fails where that can't be told. */
  readonly confirm: () => Promise<Result<unknown, Failure>>;
}

/** Hears and tells. */
export class FleetServer {
  readonly #options: FleetServerOptions;
  readonly #table: FleetTable;
  readonly #nodes = new Map<string, { node: FleetNode; heardMs: number }>();
  readonly #waiting = new Set<() => void>();
  readonly #startedMs: Milliseconds;
  #asked = false;

  constructor(options: FleetServerOptions) {
    this.#options = options;
    this.#table = new FleetTable({
      silenceMs: options.silenceMs,
      memoryMs: BEAT_MEMORY_MS,
    });
    this.#startedMs = options.clock.nowMs();
  }

  /** Starts to answer and to tell the other control VMs. */
  start(): void {
    const { network, clock } = this.#options;
    network.onNotice("fleet", (_from, body) => this.#takeNotice(body));
    network.onRequest("fleet", (_from, body) => this.#follow(body));
    clock.every(GOSSIP_MS, () => this.#gossip());
    this.#gossip();
  }

  /** Takes an upstream's heartbeat and passes it on; whether that may be acknowledged. */
  beat(record: FleetUpstream): boolean {
    const beat = { record, ageMs: 0 };
    const outcome = this.#table.take(beat, this.#options.clock.nowMs());
    if (outcome !== "outdated") this.#tell({ kind: "beats", beats: [beat] });
    if (outcome === "changed") this.changed();
    return this.#options.hearsQuorum();
  }

  /** Takes an upstream's word that it leaves, and passes it on; whether that may be acknowledged. */
  leave(id: string, bornMs: Milliseconds | null): boolean {
    this.#table.leave(id, bornMs, this.#options.clock.nowMs());
    this.#tell({ kind: "leave", id, bornMs });
    this.changed();
    return this.#options.hearsQuorum();
  }

  /** Upstreams that take or finish work. */
  upstreams(): readonly FleetUpstream[] {
    return this.#table.listed();
  }

  /** Control and store VMs, this one included. */
  nodes(): readonly HeardNode[] {
    const nowMs = this.#options.clock.nowMs();
    const heard: HeardNode[] = [{ node: this.#options.self(), ageMs: 0 }];
    for (const { node, heardMs } of this.#nodes.values()) {
      if (node.vm === this.#options.network.self) continue;
      heard.push({ node, ageMs: nowMs - heardMs });
    }
    return heard;
  }

  /** Whether every upstream that lives has had the time to be heard. */
  complete(): boolean {
    const { clock, silenceMs } = this.#options;
    return clock.nowMs() - this.#startedMs >= silenceMs;
  }

  /** Wakes those who wait for something new. */
  changed(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const wake of waiting) wake();
  }

  #gossip(): void {
    const nowMs = this.#options.clock.nowMs();
    const before = this.#table.revision;
    this.#table.expire(nowMs);
    const cutOff = !this.#options.hearsQuorum();
    if (this.#table.revision !== before || cutOff) this.changed();
    this.#forgetNodes(nowMs);
    this.#tell({
      kind: "nodes",
      nodes: this.nodes(),
      askBeats: !this.#asked && !this.complete(),
    });
  }

  #forgetNodes(nowMs: Milliseconds): void {
    for (const [vm, { heardMs }] of this.#nodes) {
      if (nowMs - heardMs > NODE_MEMORY_MS) this.#nodes.delete(vm);
    }
  }

  #tell(notice: FleetNotice): void {
    const { network, peers } = this.#options;
    const others = new Set([...peers(), ...this.#heardControls()]);
    others.delete(network.self);
    for (const to of others) network.notify({ to, channel: "fleet" }, notice);
  }

  /** Control VMs without a seat are told too: they may get one. */
  #heardControls(): readonly string[] {
    const controls: string[] = [];
    for (const { node, ageMs } of this.nodes()) {
      if (node.role !== "control" || ageMs > LISTED_NODE_MS) continue;
      controls.push(node.vm);
    }
    return controls;
  }

  #takeNotice(body: unknown): void {
    const notice = parseFleetNotice(body);
    if (notice === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const before = this.#table.revision;
    if (notice.kind === "beats") {
      this.#asked ||= notice.beats.length > 1;
      for (const beat of notice.beats) this.#table.take(beat, nowMs);
    }
    if (notice.kind === "leave") {
      this.#table.leave(notice.id, notice.bornMs, nowMs);
    }
    if (notice.kind === "nodes") this.#takeNodes(notice, nowMs);
    if (this.#table.revision !== before) this.changed();
  }

  #takeNodes(
    notice: Extract<FleetNotice, { kind: "nodes" }>,
    nowMs: Milliseconds,
  ): void {
    for (const { node, ageMs } of notice.nodes) {
      this.#hear(node, nowMs - ageMs);
    }
    const sender = notice.nodes[0]?.node.vm;
    if (!notice.askBeats || sender === undefined) return;
    const beats = this.#table.aged(nowMs);
    const answer: FleetNotice = { kind: "beats", beats };
    this.#options.network.notify({ to: sender, channel: "fleet" }, answer);
  }

  #hear(node: FleetNode, heardMs: Milliseconds): void {
    if (node.role === "entry") return;
    const known = this.#nodes.get(node.vm);
    if (known !== undefined && known.heardMs >= heardMs) return;
    this.#nodes.set(node.vm, { node, heardMs });
    if (known?.node.leads !== node.leads) this.changed();
  }

  async #follow(body: unknown): Promise<Result<unknown, Failure>> {
    const request = parseFollowRequest(body);
    if (request === undefined) {
      return Err(fail("malformed_request", "a malformed follow request"));
    }
    this.#hear(request.node, this.#options.clock.nowMs());
    const confirmed = request.confirm
      ? await this.#options.confirm()
      : undefined;
    if (confirmed?.err) return Err(confirmed.val);
    const answer = this.#answer(request, confirmed !== undefined);
    const settled = confirmed !== undefined &&
      this.#options.configuration() !== null;
    if (settled || hasNews(answer) || !answer.current) return Ok(answer);
    await this.#wait(request.waitMs);
    return Ok(this.#answer(request, false));
  }

  #wait(waitMs: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = this.#options.clock.after(waitMs, wake);
      this.#waiting.add(wake);
    });
  }

  #answer(request: FollowRequest, confirmed: boolean): FollowAnswer {
    const rules = this.#options.configuration()?.rules ?? null;
    const placed = this.#options.placement();
    const complete = this.complete();
    const epoch = this.#options.epoch + (complete ? "" : PARTIAL_SUFFIX);
    const revision = { epoch, revision: this.#table.revision };
    const sameFleet = request.fleet?.epoch === epoch &&
      request.fleet.revision === revision.revision;
    return {
      current: this.#options.hearsQuorum(),
      confirmed,
      configuration:
        rules !== null && rules.version > request.configurationVersion
          ? rules
          : null,
      fleet: sameFleet ? null : {
        revision,
        complete,
        upstreams: this.#table.listed(),
      },
      placement: placed.revision > request.placementRevision ? placed : null,
      nodes: this.#listedNodes(),
    };
  }

  #listedNodes(): readonly FleetNode[] {
    const listed: FleetNode[] = [];
    for (const { node, ageMs } of this.nodes()) {
      if (ageMs <= LISTED_NODE_MS) listed.push(node);
    }
    return listed;
  }
}

function hasNews(answer: FollowAnswer): boolean {
  return answer.configuration !== null || answer.fleet !== null ||
    answer.placement !== null;
}
