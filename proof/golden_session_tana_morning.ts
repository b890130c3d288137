/**
 * Golden session: a morning at Tana, with job cards, complete and streamed advice, a tuning batch, and calls that are
 * rejected.
 *
 * @module
 */
import { MemoryEventLog, SystemClock } from "#core";
import { FakeTrainer, TRAINER_DEFAULTS } from "#fakes";
import { Caller, streamSummary } from "./caller.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { siteFakes } from "./site_fakes.ts";
import type { Transcript } from "./transcript.ts";

const SITE = { block: "127.7", network: 11, zones: CLUSTER_DEFAULTS.zones };

/** Runs the session against a new cluster. */
export async function session(transcript: Transcript): Promise<void> {
  const cluster = await ProcessCluster.start({
    ...CLUSTER_DEFAULTS,
    ...SITE,
    fakes: siteFakes({ ...SITE, models: ["advice"], engineFlags: [] }),
  });
  try {
    await cluster.waitForUpstreams(7);
    const tana = new Caller(cluster, { tenant: "tana", class: "lookup" });
    await saveJobCards(tana, transcript);
    await requestAdvice(tana, transcript);
    await runTuning(cluster, transcript);
    await sendRejectedCalls(cluster, transcript);
  } finally {
    await cluster.cleanUp();
  }
}

async function saveJobCards(
  tana: Caller,
  transcript: Transcript,
): Promise<void> {
  const save = {
    method: "POST",
    service: "cards",
    path: "/cards",
    body: { id: "card-1", work: "plate exchanger descaled" },
  } as const;
  transcript.startSection("a job card is saved");
  transcript.addCall("POST card-1", await tana.service("entry-a1", save));

  const keyed = {
    ...save,
    key: "visit-2",
    body: { id: "card-2", work: "valve replaced" },
  };
  transcript.startSection("a job card with an idempotency key is saved");
  const first = await tana.service("entry-a1", keyed);
  transcript.addCall("POST card-2, key visit-2", first);

  transcript.startSection(
    "it is sent again at another entry VM, which returns the stored response",
  );
  const again = await tana.service("entry-c2", keyed);
  transcript.addCall("POST card-2, key visit-2", again);
  transcript.addObservation(`same response: ${again.text === first.text}`);

  transcript.startSection("the key is reused with another body");
  const other = { ...keyed, body: { id: "card-3" } };
  transcript.addCall(
    "POST card-3, key visit-2",
    await tana.service("entry-b1", other),
  );
}

async function requestAdvice(
  tana: Caller,
  transcript: Transcript,
): Promise<void> {
  const body = {
    model: "advice",
    prompt: "E4 on a heat interface unit, flat 12, cold in the evening",
    max_tokens: 12,
    seed: 7,
  };
  transcript.startSection("advice is requested");
  transcript.addCall(
    "POST completion",
    await tana.completion("entry-b1", body),
  );

  transcript.startSection("the same advice is streamed at another entry VM");
  const streamed = await tana.completion("entry-c1", { ...body, stream: true });
  const { isComplete, ...summary } = streamSummary(streamed.text);
  transcript.addObservation(
    `status ${streamed.status}, complete ${isComplete}`,
  );
  transcript.addObservation(JSON.stringify(summary, null, 2));
}

async function runTuning(
  cluster: ProcessCluster,
  transcript: Transcript,
): Promise<void> {
  transcript.startSection(
    "the trainer completes two steps and publishes two versions",
  );
  const trainer = new FakeTrainer({
    ...TRAINER_DEFAULTS,
    trainer: "advice-tuning",
    model: "advice",
    entries: cluster.vms("entry").map((vm) => cluster.baseUrl(vm.name)),
    steps: 2,
    trainMs: 50,
    clock: new SystemClock(),
    events: new MemoryEventLog(),
  });
  const report = await trainer.run();
  const { stepsWhole, samples, doubled, unasked, untrue, overBound } = report;
  transcript.addObservation(JSON.stringify(
    {
      stepsWhole,
      samples,
      doubled,
      unasked,
      untrue,
      overBound,
      newestVersion: report.newestVersion,
    },
    null,
    2,
  ));
}

async function sendRejectedCalls(
  cluster: ProcessCluster,
  transcript: Transcript,
): Promise<void> {
  const stranger = new Caller(cluster, { tenant: "nobody", class: "lookup" });
  const tana = new Caller(cluster, { tenant: "tana", class: "lookup" });
  transcript.startSection("an unknown tenant is rejected");
  transcript.addCall(
    "POST completion",
    await stranger.completion("entry-a1", { model: "advice", prompt: "?" }),
  );
  transcript.startSection("an unknown model is rejected");
  transcript.addCall(
    "POST completion",
    await tana.completion("entry-a1", { model: "weather", prompt: "?" }),
  );
  transcript.startSection("an unknown service is rejected");
  transcript.addCall(
    "GET weather",
    await tana.service("entry-a1", {
      method: "GET",
      service: "weather",
      path: "/today",
    }),
  );
  transcript.startSection(
    "a trainer that the bundle does not list is rejected",
  );
  transcript.addCall(
    "GET samples",
    await cluster.call("entry-a1", {
      method: "GET",
      path: "/v1/trainers/nobody/samples?after=&limit=1&wait_ms=0",
    }),
  );
}
