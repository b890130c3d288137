/**
 * Golden session: two operators submit bundles with the same version at the same time, resend after lost responses,
 * and submit bundles that must be rejected.
 *
 * @module
 */
import { bundleDigest } from "#bundles";
import type { Bundle, SignedBundle } from "#core";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { createOperator, signAs } from "./site_bundle.ts";
import type { Transcript } from "./transcript.ts";

const ACTIVE_TIMEOUT_MS = 30_000;

/** Runs the session against a new cluster. */
export async function session(transcript: Transcript): Promise<void> {
  const cluster = await ProcessCluster.start({
    ...CLUSTER_DEFAULTS,
    block: "127.7",
    network: 31,
    fakes: [],
  });
  try {
    await runRace(cluster, transcript);
    await submitRejectedBundles(cluster, transcript);
  } finally {
    await cluster.cleanUp();
  }
}

async function runRace(
  cluster: ProcessCluster,
  transcript: Transcript,
): Promise<void> {
  const [one, other] = cluster.operators;
  const first = cluster.firstBundle;
  const submissions = [
    signAs(one, nextVersionWithWeight(first, 2)),
    signAs(other, nextVersionWithWeight(first, 3)),
  ];
  transcript.startSection(
    "two operators submit version 2 at the same time, at two entry VMs",
  );
  const responses = await Promise.all([
    cluster.submitUntilConclusive("entry-a1", required(submissions[0])),
    cluster.submitUntilConclusive("entry-c1", required(submissions[1])),
  ]);
  const statuses = responses.map((response) => response.status);
  transcript.addObservation(`statuses ${[...statuses].sort().join(" and ")}`);
  const winner = required(submissions[statuses.indexOf(200)]);
  const loser = required(submissions.find((each) => each !== winner));

  transcript.startSection(
    "the accepted version becomes active on every entry VM",
  );
  const vms = cluster.vms("entry").map((vm) => vm.name);
  await cluster.waitForVersion(2, { vms, timeoutMs: ACTIVE_TIMEOUT_MS });
  transcript.addObservation(
    `version 2 active on ${vms.length} of ${vms.length}`,
  );

  transcript.startSection(
    "the winner submits again, as if the response had been lost",
  );
  const again = await cluster.submitUntilConclusive("entry-b2", winner);
  const response = responses[statuses.indexOf(200)];
  transcript.addObservation(`status ${again.status}`);
  transcript.addObservation(
    `same response as the first: ${again.text === response?.text}`,
  );

  transcript.startSection("the loser submits again");
  const lost = await cluster.submitUntilConclusive("entry-b1", loser);
  transcript.addObservation(
    `status ${lost.status}, ran ${lost.headers["cicadafield-ran"]}`,
  );
  transcript.addObservation(`kind ${errorKind(lost.text)}`);

  transcript.startSection(
    "the loser submits version 3, built on the active version",
  );
  const next = { ...nextVersionWithWeight(winner.bundle, 4), version: 3 };
  const rebuilt = await cluster.submitUntilConclusive(
    "entry-b1",
    signAs(other, next),
  );
  transcript.addObservation(`status ${rebuilt.status}`);
  await cluster.waitForVersion(3, { vms, timeoutMs: ACTIVE_TIMEOUT_MS });
  transcript.addObservation(
    `version 3 active on ${vms.length} of ${vms.length}`,
  );
}

async function submitRejectedBundles(
  cluster: ProcessCluster,
  transcript: Transcript,
): Promise<void> {
  const [one] = cluster.operators;
  const current = await cluster.call("entry-a1", {
    method: "GET",
    path: "/v1/bundles/current",
  });
  const inForce =
    (JSON.parse(current.text) as { readonly signed: SignedBundle })
      .signed.bundle;
  const next = { ...nextVersionWithWeight(inForce, 5), version: 4 };
  const attempts: readonly (readonly [string, SignedBundle])[] = [
    ["signed by an unlisted operator", signAs(createOperator("eve"), next)],
    ["changed after signing", {
      ...signAs(one, next),
      bundle: { ...next, tenants: nextVersionWithWeight(next, 6).tenants },
    }],
    [
      "built on an older version",
      signAs(one, {
        ...next,
        predecessor: bundleDigest(cluster.firstBundle),
      }),
    ],
    ["that skips a version", signAs(one, { ...next, version: 5 })],
    [
      "with an unknown zone",
      signAs(one, {
        ...next,
        vms: next.vms.map((vm) => ({ ...vm, zone: "z" })),
      }),
    ],
    [
      "of version 1 with other content",
      signAs(one, {
        ...nextVersionWithWeight(cluster.firstBundle, 7),
        version: 1,
        predecessor: null,
      }),
    ],
  ];
  for (const [title, signed] of attempts) {
    transcript.startSection(`a bundle ${title} is rejected`);
    const response = await cluster.submitUntilConclusive("entry-a2", signed);
    transcript.addObservation(
      `status ${response.status}, ran ${response.headers["cicadafield-ran"]}`,
    );
    transcript.addObservation(`kind ${errorKind(response.text)}`);
  }
  transcript.startSection("the active version is unchanged");
  for (const vm of cluster.vms("entry")) {
    const version = await cluster.activeVersion(vm.name);
    transcript.addObservation(`${vm.name}: version ${version} active`);
  }
}

/** Returns the next version of a bundle, with the given weight for the first tenant. */
function nextVersionWithWeight(bundle: Bundle, weight: number): Bundle {
  return {
    ...bundle,
    version: bundle.version + 1,
    predecessor: bundleDigest(bundle),
    tenants: bundle.tenants.map((tenant, index) =>
      index === 0 ? { ...tenant, weight } : tenant
    ),
  };
}

function errorKind(text: string): string {
  return /"kind":\s*"(\w+)"/.exec(text)?.[1] ?? "none";
}

function required<Value>(value: Value | undefined): Value {
  if (value === undefined) {
    throw new Error("no submission has the expected status");
  }
  return value;
}
