/**
 * The control traffic of a VM (probes, upstreams, bundles), for benchmarks that run many VMs in one process over real
 * loopback connections.
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

/** Options of `LoopbackVm`. */
export interface LoopbackVmOptions {
  readonly vm: VmEntry;
  /** Bundle that lists the VMs and their addresses. */
  readonly bundle: Bundle;
  readonly seed: number;
  /** Whether bundles are distributed through the relay of the zone; otherwise each entry VM reads from a control VM. */
  readonly relayed: boolean;
  /** Called with each bundle that becomes active on the VM. */
  readonly onBundle: (vm: string, accepted: AcceptedBundle) => void;
}

/** An entry VM or control VM without callers, trainers and the replicated log. */
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
    const noRelay = () => undefined;
    this.registry = new RegistryService({
      ...shared,
      role: vm.role === "entry" ? "entry" : "observer",
      epoch: startMs,
      relayOf,
    });
    this.#follower = new BundleFollower({
      ...shared,
      relayOf: options.relayed ? relayOf : noRelay,
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

  /** Listens and, on an entry VM, follows the bundle; `withMembership` starts probes and the registry as well. */
  async start(options: { readonly withMembership: boolean }): Promise<void> {
    await this.network.listen();
    this.#server.start();
    if (options.withMembership) this.startMembership();
    if (this.vm.role === "entry") void this.#follower.start();
  }

  /** Starts probing other VMs and spreading upstreams. */
  startMembership(): void {
    this.#members.start();
    this.registry.start();
  }

  /** Publishes an accepted bundle, on a control VM. */
  publish(accepted: AcceptedBundle): void {
    this.board.write("bundles", "bundle", accepted);
    this.#server.publish(accepted);
  }

  /** Stops all services and closes the network. */
  stop(): void {
    this.#follower.stop();
    this.#members.stop();
    this.registry.stop();
    this.network.close();
  }
}
