/**
 * Entry VMs on virtual time that check API keys under a lease on the configuration, while an operator revokes keys, VMs
 * are suspended and restarted, clocks step, links fail and leaders change. An oracle knows which key is valid when.
 *
 * @module
 */
import {
  type ClockError,
  ProcessClock,
} from "../agreement/simulated_process.ts";
import {
  type ClockReading,
  Err,
  fail,
  type Failure,
  MemoryEventLog,
  type Milliseconds,
  Ok,
  type Result,
  type RoutingConfiguration,
  SECOND_MS,
  SeededRandom,
  VirtualClock,
} from "#core";
import { type Key, LeaseOperator, REVOCATION_MS } from "./lease_operator.ts";
import { serveControlRequests } from "#membership";
import {
  CallerCheck,
  ConfigurationLease,
  LeaseClient,
  LeaseServer,
} from "#tenants";
import {
  type MemoryEndpoint,
  MemoryNetwork,
  PERFECT_LINKS,
  type RequestOptions,
} from "#wire";

const APPLY_MS: Milliseconds = 2_500;
const STEP_MS: Milliseconds = 50;
const CONTROLS = ["control-0", "control-1", "control-2"];
const CHANGE_MS: Milliseconds = 600;
const MAXIMUM_FAULT_MS: Milliseconds = 12 * SECOND_MS;
/** A step that hides a suspension to within the tolerance of a lease can't be noticed; see docs/design/tenants.md. */
const HIDDEN_STEP_MS: Milliseconds = 150;
/** Chance that a VM that is connected gets the newest configuration in a step. */
const SPREAD_CHANCE = 0.2;
const CALLS_PER_STEP = 0.2;
const FAULTY_LINKS = {
  minimumDelayMs: 0.3,
  maximumDelayMs: 60,
  dropChance: 0.03,
  duplicateChance: 0.03,
};

const SLOW_LINKS = { ...FAULTY_LINKS, maximumDelayMs: 600 };

const NO_REPLY = Err(fail("outcome_unknown", "no reply in time"));
const NEVER = new Promise<never>(() => {});

interface Entry {
  readonly name: string;
  /** How its clocks differ from true time; changes when the wall clock is set. */
  readonly error: { -readonly [Name in keyof ClockError]: ClockError[Name] };
  readonly clock: ProcessClock;
  readonly client: LeaseClient;
  readonly check: CallerCheck;
  active: RoutingConfiguration;
  isPaused: boolean;
  /** Calls that arrived while it was paused. */
  readonly pending: (() => void)[];
}

/** What came of the calls. */
export interface LeaseCounts {
  ran: number;
  rejected: number;
  /** Calls that got 503 with a key that had been valid for long. */
  unsure: number;
  /** Calls that ran though they were sent too long after the removal of their key. */
  revokedRan: number;
  /** Calls that got 401 with a key that had been valid for long. */
  knownRejected: number;
}

/** The VMs, the operator and the callers. */
export class LeaseWorld {
  readonly counts: LeaseCounts = {
    ran: 0,
    rejected: 0,
    unsure: 0,
    revokedRan: 0,
    knownRejected: 0,
  };
  readonly #clock = new VirtualClock(1_000);
  readonly #random: SeededRandom;
  readonly #network: MemoryNetwork;
  readonly #servers = new Map<string, LeaseServer>();
  readonly #entries: Entry[] = [];
  readonly #operator: LeaseOperator;
  readonly #cutUntilMs = new Map<string, Milliseconds>();
  #hasLeader = true;
  #nextFaultMs = 0;

  constructor(
    options: { readonly entries: number; readonly seed: number },
  ) {
    this.#random = new SeededRandom(options.seed);
    this.#network = new MemoryNetwork({
      clock: this.#clock,
      random: this.#random,
    });
    this.#operator = new LeaseOperator(this.#random);
    for (const vm of CONTROLS) this.#startControl(vm);
    for (let at = 0; at < options.entries; at += 1) this.#startEntry(at);
  }

  /** Lets keys change and calls arrive; faults occur until `faultSeconds`. */
  async run(seconds: number, faultSeconds = 0): Promise<void> {
    const startMs = this.#clock.nowMs();
    this.#network.links = faultSeconds > 0 ? FAULTY_LINKS : PERFECT_LINKS;
    let changeMs = startMs;
    while (this.#clock.nowMs() < startMs + seconds * SECOND_MS) {
      const nowMs = this.#clock.nowMs();
      if (nowMs >= changeMs) {
        this.#operator.change(nowMs);
        changeMs += CHANGE_MS;
      }
      for (const entry of this.#entries) this.#stepEntry(entry);
      const mayFail = nowMs < startMs + faultSeconds * SECOND_MS;
      // Each VM is hit about every eight seconds, whatever the size of the fleet.
      while (mayFail && nowMs >= this.#nextFaultMs) {
        this.#strike();
        this.#nextFaultMs = Math.max(nowMs, this.#nextFaultMs) +
          8 * SECOND_MS / this.#entries.length;
      }
      await this.#clock.advanceAsync(STEP_MS);
    }
  }

  /** Stops the renewals. */
  stop(): void {
    for (const { client } of this.#entries) client.stop();
  }

  /** A linearizable read, at some moment between its start and its end. */
  async #read(): Promise<Result<unknown, Failure>> {
    await this.#clock.sleep(this.#random.below(40));
    if (!this.#hasLeader) {
      await this.#clock.sleep(900);
      return Err(fail("no_quorum", "no leader"));
    }
    const rules = this.#operator.configuration();
    const isEarlierBuild = this.#random.below(2) === 0;
    await this.#clock.sleep(this.#random.below(100));
    return Ok(isEarlierBuild ? { document: "", rules } : rules.version);
  }

  #startControl(vm: string): void {
    const server = new LeaseServer({
      clock: this.#clock,
      control: { query: () => this.#read() },
    });
    this.#servers.set(vm, server);
    serveControlRequests(this.#network.join(vm), [server]);
  }

  /** Starts an entry VM; one that was restarted may get an old configuration first. */
  #startEntry(at: number): void {
    const name = `entry-${at}`;
    const age = this.#random.below(4);
    const error = {
      rate: 1,
      monotonicOffsetMs: this.#random.below(1_000_000),
      wallOffsetMs: this.#random.below(1_000_000),
    };
    const clock = new ProcessClock(this.#clock, error);
    const endpoint = this.#network.join(name);
    const lease = new ConfigurationLease(REVOCATION_MS);
    const common = {
      lease,
      configuration: () => entry.active,
      readClocks: (): ClockReading => clock.reading(),
    };
    const entry: Entry = {
      name,
      error,
      clock,
      active: this.#operator.configuration(age),
      isPaused: false,
      pending: [],
      check: new CallerCheck({ ...common, configurationApplyMs: APPLY_MS }),
      client: new LeaseClient({
        ...common,
        clock,
        events: new MemoryEventLog(),
        controlVms: () => CONTROLS,
        usableMs: REVOCATION_MS,
        network: {
          // A reply that arrives during a pause is processed after it, as well as the timeout.
          request: (options, body) =>
            Promise.race([
              this.#request(endpoint, options, body),
              clock.sleep(options.timeoutMs).then(() => NO_REPLY),
            ]),
        },
      }),
    };
    entry.client.start();
    this.#entries[at] = entry;
  }

  #stepEntry(entry: Entry): void {
    const isDue = this.#random.fraction() < CALLS_PER_STEP;
    if (isDue) {
      this.#sendCall(entry, this.#operator.drawKey(this.#clock.nowMs()));
    }
    if (entry.isPaused || !this.#hasLeader) return;
    if (this.#random.fraction() < SPREAD_CHANCE && !this.#isCut(entry.name)) {
      entry.active = this.#operator.configuration();
    }
  }

  #sendCall(entry: Entry, key: Key): void {
    const sentMs = this.#clock.nowMs();
    const arrive = (): void => this.#handleCall(entry, key, { sentMs });
    if (entry.isPaused) entry.pending.push(arrive);
    else arrive();
  }

  #handleCall(
    entry: Entry,
    key: Key,
    { sentMs }: { readonly sentMs: Milliseconds },
  ): void {
    const { counts } = this;
    const verdict = entry.check.check(key.text, { isPublic: false });
    const hasSpread = sentMs > key.addedMs + APPLY_MS;
    const isValid = hasSpread && key.removedMs === Infinity;
    if (verdict.kind === "rejected") counts.rejected += 1;
    if (verdict.kind === "rejected" && isValid) counts.knownRejected += 1;
    if (verdict.kind === "unsure" && isValid) counts.unsure += 1;
    if (verdict.kind !== "accepted") return;
    // It waits, then is tried once more.
    for (
      const waitMs of [0, 1, 2].map((each) => each * this.#random.below(4_000))
    ) {
      entry.clock.after(waitMs, () => {
        if (!verdict.mayRun()) return;
        counts.ran += 1;
        if (sentMs > key.removedMs + REVOCATION_MS) counts.revokedRan += 1;
      });
    }
  }

  #strike(): void {
    const at = this.#random.below(this.#entries.length);
    const entry = this.#entries[at] as Entry;
    const durationMs = this.#random.below(MAXIMUM_FAULT_MS);
    const kind = this.#random.below(8);
    if (kind <= 1) {
      this.#pause(entry, { scope: kind === 0 ? "vm" : "process", durationMs });
    }
    if (kind === 2) this.#stepClock(entry);
    if (kind === 3) {
      this.#cutUntilMs.set(entry.name, this.#clock.nowMs() + durationMs);
    }
    if (kind === 4 && !entry.isPaused) {
      entry.clock.kill();
      this.#startEntry(at);
    }
    if (kind === 5) {
      this.#hasLeader = false;
      this.#clock.after(durationMs / 10, () => this.#hasLeader = true);
    }
    if (kind === 7) {
      this.#network.links = SLOW_LINKS;
      this.#clock.after(durationMs / 10, () => {
        this.#network.links = FAULTY_LINKS;
      });
    }
    if (kind === 6) {
      const vm = CONTROLS[this.#random.below(CONTROLS.length)] ?? "";
      this.#servers.get(vm)?.stop();
      this.#network.leave(vm);
      this.#clock.after(durationMs / 4, () => this.#startControl(vm));
    }
  }

  #pause(
    entry: Entry,
    { scope, durationMs }: {
      readonly scope: "vm" | "process";
      readonly durationMs: Milliseconds;
    },
  ): void {
    if (entry.isPaused) return;
    entry.isPaused = true;
    entry.clock.pause(scope);
    this.#network.pause(entry.name);
    // The wall clock may be set while the VM is suspended, but not so that it hides the suspension.
    if (this.#random.below(2) === 0) this.#stepClock(entry, durationMs);
    this.#clock.after(durationMs, () => {
      entry.isPaused = false;
      // What was received meanwhile may be processed before the timers that came due.
      const isReadFirst = this.#random.below(2) === 0;
      if (isReadFirst) this.#network.resume(entry.name);
      entry.clock.resume();
      for (const arrive of entry.pending.splice(0)) arrive();
      if (!isReadFirst) this.#network.resume(entry.name);
    });
  }

  #stepClock(entry: Entry, suspendedMs: Milliseconds = 0): void {
    const stepMs = this.#random.below(20_000) - 10_000;
    const isHidden = Math.abs(suspendedMs + stepMs) <= HIDDEN_STEP_MS;
    entry.error.wallOffsetMs += isHidden ? stepMs + 2 * HIDDEN_STEP_MS : stepMs;
  }

  /** Cuts a VM off; its requests may arrive, but not their replies. */
  async #request(
    endpoint: MemoryEndpoint,
    options: RequestOptions,
    body: unknown,
  ): Promise<Result<unknown, Failure>> {
    const isCut = (): boolean => this.#isCut(endpoint.self);
    if (isCut() && this.#random.below(2) === 0) return await NEVER;
    const timeoutMs = MAXIMUM_FAULT_MS;
    const reply = await endpoint.request({ ...options, timeoutMs }, body);
    return isCut() ? await NEVER : reply;
  }

  #isCut(name: string): boolean {
    return (this.#cutUntilMs.get(name) ?? 0) > this.#clock.nowMs();
  }
}
