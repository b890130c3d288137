/**
 * The blackboard: typed, read-only sections with one writer each, and the controllers that read and
 * write them.
 *
 * @module
 */
import type { Milliseconds } from "./units.ts";

/** What a controller may read. */
export interface ReadonlyBoard<Sections extends object> {
  /** The current value of a section. */
  read<Name extends keyof Sections>(name: Name): Sections[Name];
}

/** What one step of a controller yields. */
export interface ControllerStep<Sections extends object, Action> {
  /** New values of sections that this controller owns. */
  readonly sections: Partial<Sections>;
  /** What adapters are to do, in order. */
  readonly actions: readonly Action[];
}

/**
 * A decision maker without input or output: it sees the board and the time, and nothing else.
 */
export abstract class Controller<Sections extends object, Action> {
  /** Name under which the controller owns sections. */
  abstract readonly name: string;
  /** Decides what follows from the board at `nowMs`. */
  abstract step(
    board: ReadonlyBoard<Sections>,
    nowMs: Milliseconds,
  ): ControllerStep<Sections, Action>;
}

/** Names the one writer of each section. */
export type SectionWriters<Sections extends object> = {
  readonly [Name in keyof Sections]: string;
};

/**
 * Holds the current value of every section.
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

  /** Replaces a section; throws if `writer` does not own it, which is a fault of the program. */
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

  /** Calls `listener` after each change of a section; returns the function that ends this. */
  watch(name: keyof Sections, listener: () => void): () => void {
    const listeners = this.#listeners.get(name) ?? new Set();
    listeners.add(listener);
    this.#listeners.set(name, listeners);
    return () => listeners.delete(listener);
  }

  /** Runs one step of a controller, writes its sections and returns its actions. */
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
