/**
 * Handles commands, queries and status requests of other VMs on the `control` channel.
 *
 * @module
 */
import {
  type ControlPort,
  Err,
  fail,
  type Failure,
  type MachineCommand,
  Ok,
  type Result,
} from "#core";
import type { PeerNetwork } from "#wire";
import { match } from "ts-pattern";
import {
  type ControlRequest,
  controlRequestSchema,
  type VmStatus,
} from "./control_messages.ts";

/** Options of `serveControl`. */
export interface ControlServerOptions {
  readonly network: PeerNetwork;
  readonly status: () => VmStatus;
  /** The replicated log; present on control VMs only. */
  readonly log?: ControlPort;
  /** Returns the failure with which a command is rejected before it reaches the log. */
  readonly rejectCommand?: (command: MachineCommand) => Failure | undefined;
}

/** Registers the handler of requests on the `control` channel. */
export function serveControl(options: ControlServerOptions): void {
  options.network.onRequest("control", (from, body) => {
    const parsed = controlRequestSchema.safeParse(body);
    if (parsed.success) return handleRequest(options, parsed.data);
    const failure = fail(
      "malformed_request",
      `${from} sent a malformed request`,
    );
    return Promise.resolve(Err(failure));
  });
}

function handleRequest(
  options: ControlServerOptions,
  request: ControlRequest,
): Promise<Result<unknown, Failure>> {
  return match(request)
    .with({ kind: "status" }, () => Promise.resolve(Ok(options.status())))
    .with({ kind: "propose" }, (command) => propose(options, command))
    .with(
      { kind: "query" },
      ({ machine, question }) =>
        options.log === undefined
          ? rejectNotControlVm()
          : options.log.query({ machine, question }),
    )
    .exhaustive();
}

function propose(
  options: ControlServerOptions,
  request: MachineCommand,
): Promise<Result<unknown, Failure>> {
  if (options.log === undefined) return rejectNotControlVm();
  const { machine, command } = request;
  const rejection = options.rejectCommand?.({ machine, command });
  if (rejection !== undefined) return Promise.resolve(Err(rejection));
  return options.log.propose({ machine, command });
}

function rejectNotControlVm(): Promise<Result<never, Failure>> {
  return Promise.resolve(
    Err(fail("not_leader", "this VM is not a control VM")),
  );
}
