/**
 * Dependencies that completions and service calls share.
 *
 * @module
 */
import type {
  Blackboard,
  BoardSections,
  Clock,
  EventLog,
  RandomSource,
} from "#core";
import type { ClaimClient } from "./claim_client.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { RequestMetrics } from "./request_metrics.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { UpstreamCaller } from "./upstream_client.ts";
import type { WorkGate } from "./work_gate.ts";

/** Shared dependencies of the request handling of one entry VM. */
export interface RequestDependencies {
  readonly board: Blackboard<BoardSections>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly gate: WorkGate;
  readonly client: UpstreamCaller;
  readonly claims: ClaimClient;
  readonly budget: RetryBudget;
  readonly metrics: RequestMetrics;
  readonly decisions: DecisionLog;
}
