/**
 * The part of a control VM that answers entry VMs which version of the configuration is the newest.
 *
 * @module
 */
import {
  type Clock,
  type ControlPort,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
  type Timer,
} from "#core";
import { ControlPart } from "#membership";
import {
  NEWEST_VERSION_KIND,
  type NewestVersionReply,
  requestsDemand,
  versionOf,
} from "./lease_messages.ts";
import type { TenantDemandMessage } from "./tenant_demand.ts";

/** A large fleet would else cost the leader a read for each VM each second. */
const READ_INTERVAL_MS: Milliseconds = 200;

type Reply = Result<NewestVersionReply, Failure>;

/** Options of `LeaseServer`. */
export interface LeaseServerOptions {
  readonly clock: Clock;
  /** Reaches the leader of the control log. */
  readonly control: Pick<ControlPort, "query">;
  /** Returns the calls of tenants over all VMs; undefined if this VM knows none. Absent if nobody counts them. */
  readonly demand?: () => TenantDemandMessage | undefined;
}

/** Answers all requests that wait by one read at the leader of the control log, which starts after they arrived. */
export class LeaseServer extends ControlPart {
  override readonly kind = NEWEST_VERSION_KIND;
  readonly #options: LeaseServerOptions;
  #waiting: ((reply: Reply) => void)[] = [];
  #lastReadMs: Milliseconds = -Infinity;
  #timer: Timer | undefined;

  constructor(options: LeaseServerOptions) {
    super();
    this.#options = options;
  }

  override async handle(body?: unknown): Promise<Result<unknown, Failure>> {
    const reply = await new Promise<Reply>((resolve) => {
      this.#waiting.push(resolve);
      this.#scheduleRead();
    });
    if (reply.err || !requestsDemand(body)) return reply;
    const demand = this.#options.demand?.();
    return demand === undefined ? reply : Ok({ ...reply.val, demand });
  }

  /** Stops reading; the requests that wait get no reply. */
  stop(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    this.#waiting = [];
  }

  /** A read that is slow, as while there is no leader, does not delay the next one. */
  #scheduleRead(): void {
    if (this.#timer !== undefined) return;
    const { clock } = this.#options;
    const waitMs = this.#lastReadMs + READ_INTERVAL_MS - clock.nowMs();
    this.#timer = clock.after(Math.max(0, waitMs), () => {
      this.#timer = undefined;
      void this.#read();
    });
  }

  async #read(): Promise<void> {
    const { clock, control } = this.#options;
    const waiting = this.#waiting;
    this.#waiting = [];
    this.#lastReadMs = clock.nowMs();
    const question = { kind: "version" };
    const answer = await control.query({ machine: "configuration", question });
    const reply = toReply(answer);
    for (const resolve of waiting) resolve(reply);
  }
}

function toReply(answer: Result<unknown, Failure>): Reply {
  if (answer.err) return Err(answer.val);
  const version = versionOf(answer.val);
  return version === null
    ? Err(fail("not_ready", "there is no configuration yet"))
    : Ok({ version });
}
