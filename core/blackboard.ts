/**
 * The blackboard: typed, read-only sections with one writer each, and the controllers that read and
 * write them.
 *
 * @module
 */
import type { Milliseconds } from "./units.ts";

/** Read access to the sections of a blackboard. */
export interface ReadonlyBoard<Sections extends object> {
  /** Returns the current value of a section. */
  read<Name extends keyof Sections>(name: Name): Sections[Name];
}

/** Result of one step of a controller. */
export interface ControllerStep<Sections extends object, Action> {
  /** New values of sections that this controller owns. */
  readonly sections: Partial<Sections>;
  /** Actions for the adapters to perform, in order. */
  readonly actions: readonly Action[];
}

/**
 * Makes decisions without performing input or output: a step depends only on the blackboard and the time.
 */
export abstract class Controller<Sections extends object, Action> {
  /** Writer name by which `SectionWriters` assigns sections to the controller. */
  abstract readonly name: string;
  /** Returns the new sections and the actions for the state of the blackboard at `nowMs`. */
  abstract step(
    board: ReadonlyBoard<Sections>,
    nowMs: Milliseconds,
  ): ControllerStep<Sections, Action>;
}

/** Maps each section to the name of its only writer. */
export type SectionWriters<Sections extends object> = {
  readonly [Name in keyof Sections]: string;
};

/**
 * Stores the current value of each section and notifies listeners of changes.
 *
 * @example
 * ```ts
 * const board = new Blackboard({ lease: null }, { lease: "lease" });
 * board.write("lease", "lease", { holder: "control-1" });
 * ```
 */
export class Blackboard<Sections extends object>
  implements ReadonlyBoard<Sections> {
  readonly #values: Sections;
  readonly #writers: SectionWriters<Sections>;
  readonly #listeners = new Map<keyof Sections, Set<() => void>>();

  constructor(initial: Sections, writers: SectionWriters<Sections>) {
    this.#values = { ...initial };
    this.#writers = writers;
  }

  read<Name extends keyof Sections>(name: Name): Sections[Name] {
    return this.#values[name];
  }

  /** Replaces the value of a section; throws if `writer` does not own it, which is a programming error. */
  write<Name extends keyof Sections>(
    writer: string,
    name: Name,
    value: Sections[Name],
  ): void {
    if (this.#writers[name] !== writer) {
      throw new Error(`${writer} does not own section ${String(name)}`);
    }
    if (this.#values[name] === value) return;
    this.#values[name] = value;
    for (const listener of this.#listeners.get(name) ?? []) listener();
  }

  /** Calls `listener` after each change of a section; returns a function that removes the listener. */
  watch(name: keyof Sections, listener: () => void): () => void {
    const listeners = this.#listeners.get(name) ?? new Set();
    listeners.add(listener);
    this.#listeners.set(name, listeners);
    return () => listeners.delete(listener);
  }

  /** Runs one step of a controller, writes the sections that it returns, and returns its actions. */
  run<Action>(
    controller: Controller<Sections, Action>,
    nowMs: Milliseconds,
  ): readonly Action[] {
    const step = controller.step(this, nowMs);
    for (const name of Object.keys(step.sections) as (keyof Sections)[]) {
      this.write(controller.name, name, step.sections[name] as never);
    }
    return step.actions;
  }
}
