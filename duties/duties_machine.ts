/**
 * The state machine of the duties that only one VM performs: who holds the right to them, and the windows of usage that
 * are settled but not reported.
 *
 * @module
 */
import { z } from "zod";
import {
  type Committed,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
  StateMachine,
} from "#core";
import type { UsageReport } from "./duty_port.ts";

/** Most settled windows that wait for their report; the oldest ones are dropped, since their reports are long overdue. */
export const MAXIMUM_SETTLED_WINDOWS = 24;

const MAXIMUM_NAME_CHARACTERS = 256;

const window = z.number().int().nonnegative();
const commandSchema = z.discriminatedUnion("kind", [
  /** Makes a process the only one that may perform the duties. */
  z.object({
    kind: z.literal("hold"),
    vm: z.string().max(MAXIMUM_NAME_CHARACTERS),
    startedMs: z.number(),
  }),
  /** Names the first window of usage, if there is none. */
  z.object({ kind: z.literal("begin"), window }),
  /** Sets the counts of the next window for good. */
  z.object({
    kind: z.literal("settle"),
    fence: z.number(),
    window,
    counts: z.array(
      z.tuple([
        z.string().max(MAXIMUM_NAME_CHARACTERS),
        z.number().int().nonnegative(),
      ]).readonly(),
    ).readonly(),
  }),
  /** States that a window and all earlier ones were reported. */
  z.object({ kind: z.literal("reported"), window }),
  /** Drops a window and all earlier ones without a report. */
  z.object({ kind: z.literal("skip"), fence: z.number(), window }),
]);

/** A command to the duties machine. */
export type DutiesCommand = z.infer<typeof commandSchema>;

/** The right to perform the duties. */
export interface DutyHold {
  readonly vm: string;
  /** Start of the process, since a process that starts again on the same VM is another holder. */
  readonly startedMs: Milliseconds;
  /** Log index of the command that granted the hold; the fencing token. */
  readonly fence: number;
}

/** State of the duties machine. */
export interface DutiesState {
  readonly hold: DutyHold | null;
  /** The first window of usage; null before callers need API keys. */
  readonly firstWindow: number | null;
  /** The next window to settle. */
  readonly nextWindow: number | null;
  /** Settled windows that are not reported, oldest first. */
  readonly settled: readonly UsageReport[];
  /** The last window that was reported. */
  readonly reportedWindow: number | null;
}

const INITIAL_STATE: DutiesState = {
  hold: null,
  firstWindow: null,
  nextWindow: null,
  settled: [],
  reportedWindow: null,
};

/** Stores who performs the duties, and which windows are settled and reported. */
export class DutiesMachine extends StateMachine<
  DutiesCommand,
  DutyHold | null,
  null,
  DutiesState
> {
  override readonly name = "duties";
  #state = INITIAL_STATE;

  /** The current state. */
  get current(): DutiesState {
    return this.#state;
  }

  override apply(
    { command, index }: Committed<DutiesCommand>,
  ): Result<DutyHold | null, Failure> {
    const parsed = commandSchema.safeParse(command);
    if (!parsed.success) {
      const message = "not a command to the duties machine";
      return Err(fail("malformed_request", message));
    }
    const valid = parsed.data;
    if (valid.kind === "hold") {
      const { vm, startedMs } = valid;
      const hold = { vm, startedMs, fence: index };
      this.#state = { ...this.#state, hold };
      return Ok(hold);
    }
    if (valid.kind === "begin") this.#begin(valid.window);
    if (valid.kind === "settle") this.#settle(valid);
    if (valid.kind === "skip") this.#skip(valid);
    if (valid.kind === "reported") this.#recordReported(valid.window);
    return Ok(null);
  }

  override query(): Result<DutiesState, Failure> {
    return Ok(this.#state);
  }

  override snapshot(): unknown {
    return this.#state;
  }

  override restore(state: unknown): void {
    this.#state = { ...INITIAL_STATE, ...state as Partial<DutiesState> | null };
  }

  #begin(first: number): void {
    if (this.#state.nextWindow !== null) return;
    this.#state = { ...this.#state, firstWindow: first, nextWindow: first };
  }

  /** Only the next window is settled, so the first settlement of a window is the only one. */
  #settle(command: Extract<DutiesCommand, { kind: "settle" }>): void {
    const { hold, nextWindow, settled } = this.#state;
    if (hold?.fence !== command.fence || nextWindow !== command.window) return;
    const report = { window: command.window, counts: command.counts };
    this.#state = {
      ...this.#state,
      nextWindow: command.window + 1,
      settled: [...settled, report].slice(-MAXIMUM_SETTLED_WINDOWS),
    };
  }

  #skip(command: Extract<DutiesCommand, { kind: "skip" }>): void {
    const { hold, nextWindow } = this.#state;
    if (hold?.fence !== command.fence || nextWindow === null) return;
    this.#dropThrough(command.window);
    const following = Math.max(nextWindow, command.window + 1);
    this.#state = { ...this.#state, nextWindow: following };
  }

  #recordReported(reported: number): void {
    const { nextWindow, reportedWindow } = this.#state;
    if (nextWindow === null || reported >= nextWindow) return;
    this.#dropThrough(reported);
    const newest = Math.max(reported, reportedWindow ?? reported);
    this.#state = { ...this.#state, reportedWindow: newest };
  }

  #dropThrough(last: number): void {
    const settled = this.#state.settled.filter((each) => each.window > last);
    this.#state = { ...this.#state, settled };
  }
}
