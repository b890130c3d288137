/**
 * Watches whether the process at the address of an upstream is still the one that its last heartbeat came from.
 *
 * A heartbeat says who was at an address when it was sent, and may be seconds old. A connection leads to one process, and
 * is closed when that ends. So as long as one of two connections that were opened at different times is open, a new one
 * leads to the same process. Nothing is sent over them.
 *
 * The first connection to a new incarnation is believed at once, unless this VM was out of step when it heard of it: it
 * stood still or followed no control VM, and what it hears then may be long past.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import {
  type Clock,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
  MINUTE_MS,
  SECOND_MS,
  type Timer,
} from "#core";

/** Upstreams close idle connections after the same time: two that were opened together would be closed together. */
const STAGGER_MS: Milliseconds = SECOND_MS;
const RECONNECT_MS: Milliseconds = 250;
/** How long a check waits for a first connection. */
const CONNECT_PATIENCE_MS: Milliseconds = 100;
/**
 * Time after which an upstream whose connections were all closed is believed again if no other incarnation is known: its
 * heartbeats have come since then, since an upstream without them is listed for 4.2 s, and they are some seconds late at
 * most.
 */
const PROOF_MS: Milliseconds = 8 * SECOND_MS;
/** Interval of the system's own probes: a process that ended behind a cut link is noticed after that. */
const PROBE_INTERVAL_MS: Milliseconds = SECOND_MS;
/** Time without a stream after which an upstream is watched no longer. */
const IDLE_MS: Milliseconds = 10 * MINUTE_MS;
/** Connections to each upstream. */
const LINES = 2;
const TICK_MS: Milliseconds = 100;
/** Time without a turn of the event loop after which this VM counts as having stood still. */
const STANDSTILL_MS: Milliseconds = 500;
/** Time after which a VM that stood still has heard what it missed. */
const CATCH_UP_MS: Milliseconds = 3 * SECOND_MS;

/** What is known of one incarnation. */
interface Watched {
  readonly upstream: FleetUpstream;
  readonly open: Set<Socket>;
  readonly connecting: Set<Socket>;
  readonly timers: Set<Timer>;
  /** Called when a connection is open. */
  readonly waiting: Set<() => void>;
  /** Since when it is known that the incarnation is the one of the heartbeats. */
  believedFromMs: Milliseconds;
  usedMs: Milliseconds;
}

/** Options of `ProcessWatch`. */
export interface ProcessWatchOptions {
  readonly clock: Clock;
  /** Whether this VM follows no control VM now, so that what it knows of the upstreams is old; never if absent. */
  readonly isOutOfDate?: () => boolean;
}

/** Watches the processes of upstreams that don't tell who they are. */
export class ProcessWatch {
  readonly #clock: Clock;
  readonly #isOutOfDate: () => boolean;
  readonly #ticks: Timer;
  /** When the timer last fired; a process that starts has not stood still. */
  #tickMs: Milliseconds = Infinity;
  /** When this VM was last found to have stood still. */
  #standstillMs: Milliseconds = -Infinity;
  /** By identifier of the upstream. */
  readonly #watched = new Map<string, Watched>();
  #isClosed = false;

  constructor(options: ProcessWatchOptions) {
    this.#clock = options.clock;
    this.#isOutOfDate = options.isOutOfDate ?? (() => false);
    this.#ticks = this.#clock.every(TICK_MS, () => {
      this.#checkStandstill();
      this.#tickMs = this.#clock.nowMs();
    });
  }

  /** Watches an upstream from now on. */
  attend(upstream: FleetUpstream): void {
    if (this.#isClosed) return;
    const nowMs = this.#checkStandstill();
    const known = this.#watched.get(upstream.id);
    if (known !== undefined) {
      known.usedMs = nowMs;
      if (incarnationOf(known.upstream) === incarnationOf(upstream)) return;
      this.#drop(known);
    }
    const watched: Watched = {
      upstream,
      open: new Set(),
      connecting: new Set(),
      timers: new Set(),
      waiting: new Set(),
      believedFromMs: this.#isOutOfStep(nowMs) ? nowMs + PROOF_MS : nowMs,
      usedMs: nowMs,
    };
    this.#watched.set(upstream.id, watched);
    this.#connect(watched);
    this.#connectAfter(watched, STAGGER_MS);
  }

  /**
   * Whether the process at the address of a watched upstream is still that of its last heartbeat. What has arrived by
   * then is taken into account, also at a VM that stood still.
   */
  async isUnchanged(upstream: FleetUpstream): Promise<boolean> {
    const watched = this.#watched.get(upstream.id);
    if (watched === undefined) return false;
    if (incarnationOf(watched.upstream) !== incarnationOf(upstream)) {
      return false;
    }
    if (watched.open.size === 0 && watched.connecting.size > 0) {
      await this.#firstConnection(watched);
    }
    // Closed connections that the system knows of are reported within one turn of the event loop.
    await nextTurn();
    await nextTurn();
    return watched.open.size > 0 &&
      this.#clock.nowMs() >= watched.believedFromMs;
  }

  /** Whether the process of an upstream may be another one, by what is known without waiting. */
  mayHaveChanged(upstream: FleetUpstream): boolean {
    const watched = this.#watched.get(upstream.id);
    if (watched === undefined) return false;
    const { open, connecting, believedFromMs } = watched;
    return open.size + connecting.size === 0 ||
      this.#clock.nowMs() < believedFromMs;
  }

  /** Closes all connections. */
  close(): void {
    this.#isClosed = true;
    this.#ticks.cancel();
    for (const watched of [...this.#watched.values()]) this.#drop(watched);
  }

  /** Notes if this VM has just stood still; returns the time. Messages may be handled before the timer fires. */
  #checkStandstill(): Milliseconds {
    const nowMs = this.#clock.nowMs();
    if (nowMs - this.#tickMs > STANDSTILL_MS) this.#standstillMs = nowMs;
    return nowMs;
  }

  #isOutOfStep(nowMs: Milliseconds): boolean {
    return nowMs - this.#standstillMs < CATCH_UP_MS || this.#isOutOfDate();
  }

  #drop(watched: Watched): void {
    if (this.#watched.get(watched.upstream.id) === watched) {
      this.#watched.delete(watched.upstream.id);
    }
    for (const timer of watched.timers) timer.cancel();
    for (const socket of [...watched.open, ...watched.connecting]) {
      socket.destroy();
    }
    for (const wake of [...watched.waiting]) wake();
  }

  #isCurrent(watched: Watched): boolean {
    return this.#watched.get(watched.upstream.id) === watched;
  }

  #connect(watched: Watched): void {
    const { open, connecting, upstream: { address } } = watched;
    if (open.size + connecting.size >= LINES) return;
    const socket = connect({ host: address.host, port: address.port });
    socket.setKeepAlive(true, PROBE_INTERVAL_MS);
    socket.unref();
    connecting.add(socket);
    socket.once("connect", () => {
      connecting.delete(socket);
      open.add(socket);
      for (const wake of [...watched.waiting]) wake();
    });
    // An upstream may say why it closes an idle connection.
    socket.resume();
    // The close that follows says all that matters.
    socket.on("error", () => {});
    socket.on("end", () => socket.destroy());
    socket.once("close", () => this.#handleClose(watched, socket));
  }

  #handleClose(watched: Watched, socket: Socket): void {
    const { open, connecting, upstream } = watched;
    connecting.delete(socket);
    const wasOpen = open.delete(socket);
    if (!this.#isCurrent(watched)) return;
    const nowMs = this.#clock.nowMs();
    if (wasOpen && open.size === 0) watched.believedFromMs = nowMs + PROOF_MS;
    if (nowMs - watched.usedMs > IDLE_MS) {
      if (open.size === 0) this.#watched.delete(upstream.id);
      return;
    }
    this.#connectAfter(watched, RECONNECT_MS);
  }

  #connectAfter(watched: Watched, delayMs: Milliseconds): void {
    const timer = this.#clock.after(delayMs, () => {
      watched.timers.delete(timer);
      if (this.#isCurrent(watched)) this.#connect(watched);
    });
    watched.timers.add(timer);
  }

  /** Resolves when a connection is open, or after a short time. */
  #firstConnection(watched: Watched): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        watched.waiting.delete(wake);
        resolve();
      };
      const timer = this.#clock.after(CONNECT_PATIENCE_MS, wake);
      watched.waiting.add(wake);
    });
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
