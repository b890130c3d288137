import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { BundlesMachine, sampleBundle } from "#bundles";
import { type Bundle, LocalControl, VirtualClock } from "#core";
import { handler as signHandler } from "./commands/bundle_sign.ts";
import { generateOperatorKey } from "./operator_keys.ts";
import { bundleRoutes } from "./bundle_routes.ts";
import { withServer } from "./http_testing.ts";

const PROGRAM = fileURLToPath(new URL("./cicadafield.js", import.meta.url));

interface ProgramResult {
  readonly exitCode: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** A folder with a key, and a store of bundles behind HTTP. */
interface OperatorSetup {
  readonly folder: string;
  readonly entry: string;
  readonly publicKey: string;
  readonly machine: BundlesMachine;
}

function runProgram(...argv: readonly string[]): Promise<ProgramResult> {
  const child = spawn(process.execPath, [PROGRAM, ...argv], {
    env: { PATH: process.env["PATH"] },
  });
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (bytes) => stdout += bytes);
  child.stderr.on("data", (bytes) => stderr += bytes);
  return new Promise((resolve) => {
    child.on("close", (exitCode) => resolve({ exitCode, stdout, stderr }));
  });
}

async function withOperatorSetup(
  use: (desk: OperatorSetup) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "cicadafield-desk-"));
  const machine = new BundlesMachine();
  const control = new LocalControl([machine], new VirtualClock());
  const routes = bundleRoutes({
    control,
    activeBundle: () => machine.current(),
  });
  try {
    await withServer({ routes }, async ({ address }) => {
      const entry = `${address.host}:${address.port}`;
      const made = await generateOperatorKey(folder, "awa");
      const { publicKey } = made.unwrap();
      await use({ folder, entry, publicKey, machine });
    });
  } finally {
    await rm(folder, { recursive: true });
  }
}

async function signBundleFile(
  desk: OperatorSetup,
  bundle: Bundle,
): Promise<string> {
  const draft = join(desk.folder, `${bundle.version}.json`);
  const signed = join(desk.folder, `${bundle.version}.signed.json`);
  await writeFile(draft, JSON.stringify(bundle));
  const key = join(desk.folder, "awa.pem");
  const outcome = await signHandler({ file: draft, key, out: signed });
  assert.equal(outcome.exitCode, 0, outcome.text);
  return signed;
}

function submitBundleFile(
  desk: OperatorSetup,
  file: string,
): Promise<ProgramResult> {
  return runProgram("bundle", "submit", file, "--entry", desk.entry, "--json");
}

function firstBundle(desk: OperatorSetup): Bundle {
  const operators = [{ name: "awa", publicKey: desk.publicKey }];
  return sampleBundle({ operators });
}

test("a bundle is signed, submitted, and submitted again with the same answer", async () => {
  await withOperatorSetup(async (desk) => {
    const file = await signBundleFile(desk, firstBundle(desk));
    const first = await submitBundleFile(desk, file);
    assert.equal(first.exitCode, 0, first.stderr);
    const again = await submitBundleFile(desk, file);
    assert.equal(again.stdout, first.stdout);
    assert.equal(desk.machine.current()?.signed.bundle.version, 1);
  });
});

test("a draft of the next version follows the bundle in force, and diff shows its change", async () => {
  await withOperatorSetup(async (desk) => {
    await submitBundleFile(desk, await signBundleFile(desk, firstBundle(desk)));
    const draft = await runProgram("bundle", "draft", "--entry", desk.entry);
    const bundle: Bundle = JSON.parse(draft.stdout);
    const moved = {
      ...bundle,
      zones: bundle.zones.filter((zone) => zone.name !== "c"),
      vms: bundle.vms.filter((vm) => vm.zone !== "c"),
    };
    const file = await signBundleFile(desk, moved);
    const diff = await runProgram(
      "bundle",
      "diff",
      join(desk.folder, "1.json"),
      file,
    );
    assert.match(diff.stdout, /version 1 -> 2/);
    assert.match(diff.stdout, /- zones c/);
    assert.equal((await submitBundleFile(desk, file)).exitCode, 0);
    assert.equal(desk.machine.current()?.signed.bundle.version, 2);
  });
});

test("a bundle with an unknown field is refused before it is sent, naming the field", async () => {
  await withOperatorSetup(async (desk) => {
    const file = join(desk.folder, "odd.json");
    await writeFile(
      file,
      JSON.stringify({ ...firstBundle(desk), colour: "red" }),
    );
    const checked = await runProgram("bundle", "check", file);
    assert.equal(checked.exitCode, 2);
    assert.match(checked.stderr, /colour/);
    assert.equal((await submitBundleFile(desk, file)).exitCode, 2);
    assert.equal(desk.machine.current(), null);
  });
});

test("a bundle's faults are listed at once with field, value and what would be right", async () => {
  await withOperatorSetup(async (desk) => {
    const bundle = firstBundle(desk);
    const file = join(desk.folder, "faulty.json");
    const [vm, ...others] = bundle.vms;
    const limits = { ...bundle.limits, upstreamLeaseMs: 5 };
    await writeFile(
      file,
      JSON.stringify({
        ...bundle,
        vms: [
          { ...vm, http: { host: "example.org", port: 70_000 } },
          ...others,
        ],
        limits,
      }),
    );
    const checked = await runProgram("bundle", "check", file);
    assert.equal(checked.exitCode, 2);
    assert.match(checked.stderr, /3 faults/);
    assert.match(
      checked.stderr,
      /vms\[0\]\.http\.host "example\.org": must be an IP number/,
    );
    assert.match(checked.stderr, /vms\[0\]\.http\.port 70000: .*<=65535/);
    assert.match(checked.stderr, /limits\.upstreamLeaseMs 5: .*>=1000/);
    const foreign = { ...bundle, vms: [{ ...vm, zone: "z" }, ...others] };
    await writeFile(file, JSON.stringify(foreign));
    const unlisted = await runProgram("bundle", "check", file);
    assert.match(unlisted.stderr, /vms\..*\.zone "z": .*does not list/);
  });
});

test("a wrong signature is refused and changes nothing", async () => {
  await withOperatorSetup(async (desk) => {
    const file = await signBundleFile(desk, firstBundle(desk));
    const signed = JSON.parse(await readFile(file, "utf8"));
    signed.bundle.models[0].loadsPerSecond += 1;
    await writeFile(file, JSON.stringify(signed));
    const ended = await submitBundleFile(desk, file);
    assert.equal(ended.exitCode, 3);
    assert.equal(JSON.parse(ended.stdout).kind, "bad_signature");
    assert.equal(desk.machine.current(), null);
  });
});

test("a bundle whose predecessor is not in force is refused and changes nothing", async () => {
  await withOperatorSetup(async (desk) => {
    const first = firstBundle(desk);
    await submitBundleFile(desk, await signBundleFile(desk, first));
    const predecessor = "0".repeat(64);
    const file = await signBundleFile(desk, {
      ...first,
      version: 2,
      predecessor,
    });
    const ended = await submitBundleFile(desk, file);
    assert.equal(ended.exitCode, 3);
    assert.equal(JSON.parse(ended.stdout).kind, "missing_predecessor");
    assert.equal(desk.machine.current()?.signed.bundle.version, 1);
  });
});

test("the loser of two bundles with one version is told so", async () => {
  await withOperatorSetup(async (desk) => {
    const first = firstBundle(desk);
    await submitBundleFile(desk, await signBundleFile(desk, first));
    const limits = { ...first.limits, claimsStored: 5 };
    const file = await signBundleFile(desk, { ...first, limits });
    const ended = await submitBundleFile(desk, file);
    assert.equal(ended.exitCode, 3);
    assert.equal(JSON.parse(ended.stdout).kind, "version_conflict");
    assert.match(JSON.parse(ended.stdout).message, /signed by awa/);
  });
});

test("without an entry VM that answers the exit code is 4, and the next VM is asked", async () => {
  await withOperatorSetup(async (desk) => {
    const file = await signBundleFile(desk, firstBundle(desk));
    const nobody = "127.3.0.3:1";
    const ended = await runProgram("bundle", "submit", file, "--entry", nobody);
    assert.equal(ended.exitCode, 4);
    assert.match(ended.stderr, /127\.3\.0\.3:1: .*ECONNREFUSED/);
    const next = await runProgram(
      "bundle",
      "submit",
      file,
      "--entry",
      nobody,
      "--entry",
      desk.entry,
    );
    assert.equal(next.exitCode, 0, next.stderr);
  });
});

test("an unknown command, an unknown flag and a wrong value exit with 2", async () => {
  const calls = [
    ["bundle", "paint"],
    ["bundle", "check", "x.json", "--colour", "red"],
    ["bundle", "check", "no-such-file.json"],
    ["bundle", "wait", "zero", "--entry", "127.3.0.3:1"],
    ["status", "--entry", "example.org:80"],
    ["status"],
  ];
  for (const argv of calls) {
    const ended = await runProgram(...argv);
    assert.equal(ended.exitCode, 2, argv.join(" "));
    assert.notEqual(ended.stderr, "");
    assert.equal(ended.stdout, "");
  }
});
