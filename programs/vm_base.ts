/**
 * Components that the entry and control programs share: clock, random source, event log, metrics, blackboard,
 * VM directory and peer network.
 *
 * @module
 */
import {
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  type Clock,
  EMPTY_BOARD,
  type EventLog,
  Metrics,
  PinoEventLog,
  type RandomSource,
  type SettingValues,
  SystemClock,
  SystemRandom,
  type VmRole,
} from "#core";
import { type DirectoryEntry, VmDirectory } from "#membership";
import { TcpNetwork } from "#wire";
import { CONTROL_SETTINGS } from "./control_settings.ts";
import { ENTRY_SETTINGS } from "./entry_settings.ts";
import { TestPartition } from "./test_partition.ts";

/** Validated settings of `cicadafield-entry`. */
export type EntrySettings = SettingValues<typeof ENTRY_SETTINGS>;
/** Validated settings of `cicadafield-control`. */
export type ControlSettings = SettingValues<typeof CONTROL_SETTINGS>;

/** Components that entry and control VMs share. */
export interface VmBase {
  readonly role: VmRole;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly board: Blackboard<BoardSections>;
  readonly directory: VmDirectory;
  readonly network: TcpNetwork;
  readonly testPartition: TestPartition;
  /** Start of this process, in Unix milliseconds. */
  readonly epoch: number;
}

/** Builds the shared components without opening any address or file. */
export function buildVmBase(
  settings: EntrySettings | ControlSettings,
  options: {
    readonly role: VmRole;
    readonly program: string;
    readonly seeds: readonly DirectoryEntry[];
  },
): VmBase {
  const clock = new SystemClock();
  const events = new PinoEventLog({
    program: options.program,
    level: settings["log-level"],
  });
  const board = new Blackboard<BoardSections>(EMPTY_BOARD, BOARD_WRITERS);
  const directory = new VmDirectory({
    seeds: options.seeds,
    bundle: () => board.read("bundle"),
  });
  const cut = new TestPartition(settings["test-cut-file"]);
  const seeds = new Map(options.seeds.map((seed) => [seed.name, seed.peer]));
  const network = new TcpNetwork({
    cluster: settings.cluster,
    self: settings.vm,
    listen: {
      host: settings["listen-host"],
      port: settings["peer-port"],
    },
    clock,
    events,
    resolve: (vm) => directory.find(vm)?.peer ?? seeds.get(vm),
    mayPass: (route) => cut.mayPass(route),
  });
  return {
    role: options.role,
    clock,
    random: new SystemRandom(),
    events,
    metrics: new Metrics(),
    board,
    directory,
    network,
    testPartition: cut,
    epoch: clock.wallMs(),
  };
}
