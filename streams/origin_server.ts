/**
 * The part of a control VM that keeps where streams began. It need not lead: a record is a fact, so any copy of it will
 * do.
 *
 * @module
 */
import {
  type Clock,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  SECOND_MS,
} from "#core";
import { ControlPart } from "#membership";
import {
  ORIGINS_KIND,
  type OriginsReply,
  parseOriginsRequest,
  recordsOf,
} from "./origin_messages.ts";
import { OriginTable } from "./origin_table.ts";

/** Options of `OriginServer`. */
export interface OriginServerOptions {
  readonly clock: Clock;
  /** Identifies this incarnation of the control VM. */
  readonly epoch: string;
}

/** Keeps the streams that entry VMs report, and answers those that ask for one. */
export class OriginServer extends ControlPart {
  override readonly kind = ORIGINS_KIND;
  readonly #options: OriginServerOptions;
  readonly #table = new OriginTable();

  constructor(options: OriginServerOptions) {
    super();
    this.#options = options;
    options.clock.every(
      SECOND_MS,
      () => this.#table.expire(options.clock.nowMs()),
    );
  }

  /** Number of streams that it keeps. */
  get size(): number {
    return this.#table.size;
  }

  override handle(body: unknown): Promise<Result<unknown, Failure>> {
    const request = parseOriginsRequest(body);
    if (request === undefined) {
      const message = "not a well-formed report of streams";
      return Promise.resolve(Err(fail("malformed_request", message)));
    }
    const { clock, epoch } = this.#options;
    const nowMs = clock.nowMs();
    for (const record of recordsOf(request)) this.#table.record(record, nowMs);
    const found = request.find === null
      ? undefined
      : this.#table.find(request.find, nowMs);
    const reply: OriginsReply = { epoch, found: found ?? null };
    return Promise.resolve(Ok(reply));
  }
}
