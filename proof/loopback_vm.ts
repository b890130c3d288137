/**
 * The parts of a VM that keep it in touch with others (probes, upstreams, bundles), for benchmarks that run many VMs
 * in one process over real loopback connections.
 *
 * @module
 */
import type { AcceptedBundle, Bundle, VmEntry } from "#core";
import {
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  EMPTY_BOARD,
  MemoryEventLog,
  SeededRandom,
  SystemClock,
} from "#core";
import {
  BundleFollower,
  BundleServer,
  MemberService,
  RegistryService,
  VmDirectory,
} from "#membership";
import { TcpNetwork } from "#wire";

/** What a VM is built from. */
export interface LoopbackVmOptions {
  readonly vm: VmEntry;
  /** Bundle from which addresses are known. */
  readonly bundle: Bundle;
  readonly seed: number;
  /** Whether bundles go through the relay of the zone; without it each entry asks a control VM. */
  readonly relayed: boolean;
  /** Called with each bundle that comes into force. */
  readonly onBundle: (vm: string, accepted: AcceptedBundle) => void;
}

/** An entry VM or control VM without callers, trainers and the log. */
export class LoopbackVm {
  readonly vm: VmEntry;
  readonly network: TcpNetwork;
  readonly board = new Blackboard<BoardSections>(EMPTY_BOARD, BOARD_WRITERS);
  readonly registry: RegistryService;
  readonly #server: BundleServer;
  readonly #members: MemberService;
  readonly #follower: BundleFollower;

  constructor(options: LoopbackVmOptions) {
    const { vm, bundle } = options;
    this.vm = vm;
    const clock = new SystemClock();
    const events = new MemoryEventLog();
    const random = new SeededRandom(options.seed);
    const directory = new VmDirectory({
      seeds: bundle.vms,
      bundle: () => this.board.read("bundle"),
    });
    this.network = new TcpNetwork({
      cluster: bundle.cluster,
      self: vm.name,
      listen: vm.peer,
      clock,
      events,
      resolve: (name) => directory.find(name)?.peer,
    });
    const shared = {
      self: vm.name,
      zone: vm.zone,
      board: this.board,
      directory,
      network: this.network,
      clock,
      random,
      events,
    };
    const startMs = clock.wallMs();
    this.#members = new MemberService({ ...shared, incarnation: startMs });
    const relayOf = (zone: string) => this.#members.relayOf(zone);
    const nobody = () => undefined;
    this.registry = new RegistryService({
      ...shared,
      role: vm.role === "entry" ? "entry" : "observer",
      epoch: startMs,
      relayOf,
    });
    this.#follower = new BundleFollower({
      ...shared,
      relayOf: options.relayed ? relayOf : nobody,
      onBundle: (accepted) => {
        this.#server.publish(accepted);
        options.onBundle(vm.name, accepted);
      },
    });
    this.#server = new BundleServer({
      network: this.network,
      clock,
      isFresh: () => vm.role === "control" || this.#follower.isFresh(),
    });
  }

  /** Listens and follows the bundle; `talking` adds probes and the registry. */
  async start(options: { readonly talking: boolean }): Promise<void> {
    await this.network.listen();
    this.#server.start();
    if (options.talking) this.talk();
    if (this.vm.role === "entry") void this.#follower.start();
  }

  /** Begins to probe and to spread upstreams. */
  talk(): void {
    this.#members.start();
    this.registry.start();
  }

  /** Offers a bundle that was accepted, on a control VM. */
  offer(accepted: AcceptedBundle): void {
    this.board.write("bundles", "bundle", accepted);
    this.#server.publish(accepted);
  }

  /** Ends everything. */
  stop(): void {
    this.#follower.stop();
    this.#members.stop();
    this.registry.stop();
    this.network.close();
  }
}
