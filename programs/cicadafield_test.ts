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

/** A folder with a signing key, and an HTTP server that stores bundles. */
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
  use: (setup: OperatorSetup) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "cicadafield-cli-"));
  const machine = new BundlesMachine();
  const control = new LocalControl([machine], new VirtualClock());
  const routes = bundleRoutes({
    control,
    activeBundle: () => machine.current(),
  });
  try {
    await withServer({ routes }, async ({ address }) => {
      const entry = `${address.host}:${address.port}`;
      const generated = await generateOperatorKey(folder, "awa");
      const { publicKey } = generated.unwrap();
      await use({ folder, entry, publicKey, machine });
    });
  } finally {
    await rm(folder, { recursive: true });
  }
}

async function signBundleFile(
  setup: OperatorSetup,
  bundle: Bundle,
): Promise<string> {
  const draft = join(setup.folder, `${bundle.version}.json`);
  const signed = join(setup.folder, `${bundle.version}.signed.json`);
  await writeFile(draft, JSON.stringify(bundle));
  const key = join(setup.folder, "awa.pem");
  const outcome = await signHandler({ file: draft, key, out: signed });
  assert.equal(outcome.exitCode, 0, outcome.text);
  return signed;
}

function submitBundleFile(
  setup: OperatorSetup,
  file: string,
): Promise<ProgramResult> {
  return runProgram("bundle", "submit", file, "--entry", setup.entry, "--json");
}

function firstBundle(setup: OperatorSetup): Bundle {
  const operators = [{ name: "awa", publicKey: setup.publicKey }];
  return sampleBundle({ operators });
}

test("submitting a signed bundle again returns the same response", async () => {
  await withOperatorSetup(async (setup) => {
    const file = await signBundleFile(setup, firstBundle(setup));
    const first = await submitBundleFile(setup, file);
    assert.equal(first.exitCode, 0, first.stderr);
    const again = await submitBundleFile(setup, file);
    assert.equal(again.stdout, first.stdout);
    assert.equal(setup.machine.current()?.signed.bundle.version, 1);
  });
});

test("a draft succeeds the active bundle, and diff shows what it changes", async () => {
  await withOperatorSetup(async (setup) => {
    await submitBundleFile(
      setup,
      await signBundleFile(setup, firstBundle(setup)),
    );
    const draft = await runProgram("bundle", "draft", "--entry", setup.entry);
    const bundle: Bundle = JSON.parse(draft.stdout);
    const moved = {
      ...bundle,
      zones: bundle.zones.filter((zone) => zone.name !== "c"),
      vms: bundle.vms.filter((vm) => vm.zone !== "c"),
    };
    const file = await signBundleFile(setup, moved);
    const diff = await runProgram(
      "bundle",
      "diff",
      join(setup.folder, "1.json"),
      file,
    );
    assert.match(diff.stdout, /version 1 -> 2/);
    assert.match(diff.stdout, /- zones c/);
    assert.equal((await submitBundleFile(setup, file)).exitCode, 0);
    assert.equal(setup.machine.current()?.signed.bundle.version, 2);
  });
});

test("a bundle with an unknown field is rejected before it is sent, with the name of the field", async () => {
  await withOperatorSetup(async (setup) => {
    const file = join(setup.folder, "odd.json");
    await writeFile(
      file,
      JSON.stringify({ ...firstBundle(setup), colour: "red" }),
    );
    const checked = await runProgram("bundle", "check", file);
    assert.equal(checked.exitCode, 2);
    assert.match(checked.stderr, /colour/);
    assert.equal((await submitBundleFile(setup, file)).exitCode, 2);
    assert.equal(setup.machine.current(), null);
  });
});

test("all errors of a bundle are listed at once with field, value and accepted values", async () => {
  await withOperatorSetup(async (setup) => {
    const bundle = firstBundle(setup);
    const file = join(setup.folder, "faulty.json");
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
    assert.match(checked.stderr, /3 errors/);
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

test("a bundle with an invalid signature is rejected and leaves the active bundle unchanged", async () => {
  await withOperatorSetup(async (setup) => {
    const file = await signBundleFile(setup, firstBundle(setup));
    const signed = JSON.parse(await readFile(file, "utf8"));
    signed.bundle.models[0].loadsPerSecond += 1;
    await writeFile(file, JSON.stringify(signed));
    const result = await submitBundleFile(setup, file);
    assert.equal(result.exitCode, 3);
    assert.equal(JSON.parse(result.stdout).kind, "bad_signature");
    assert.equal(setup.machine.current(), null);
  });
});

test("a bundle whose predecessor is not active is rejected and leaves the active bundle unchanged", async () => {
  await withOperatorSetup(async (setup) => {
    const first = firstBundle(setup);
    await submitBundleFile(setup, await signBundleFile(setup, first));
    const predecessor = "0".repeat(64);
    const file = await signBundleFile(setup, {
      ...first,
      version: 2,
      predecessor,
    });
    const result = await submitBundleFile(setup, file);
    assert.equal(result.exitCode, 3);
    assert.equal(JSON.parse(result.stdout).kind, "missing_predecessor");
    assert.equal(setup.machine.current()?.signed.bundle.version, 1);
  });
});

test("the second of two different bundles with the same version is rejected as a conflict", async () => {
  await withOperatorSetup(async (setup) => {
    const first = firstBundle(setup);
    await submitBundleFile(setup, await signBundleFile(setup, first));
    const limits = { ...first.limits, claimsStored: 5 };
    const file = await signBundleFile(setup, { ...first, limits });
    const result = await submitBundleFile(setup, file);
    assert.equal(result.exitCode, 3);
    assert.equal(JSON.parse(result.stdout).kind, "version_conflict");
    assert.match(JSON.parse(result.stdout).message, /signed by awa/);
  });
});

test("the exit code is 4 if no entry VM responds, and the next VM is tried if one does not", async () => {
  await withOperatorSetup(async (setup) => {
    const file = await signBundleFile(setup, firstBundle(setup));
    const unreachable = "127.3.0.3:1";
    const result = await runProgram(
      "bundle",
      "submit",
      file,
      "--entry",
      unreachable,
    );
    assert.equal(result.exitCode, 4);
    assert.match(result.stderr, /127\.3\.0\.3:1: .*ECONNREFUSED/);
    const next = await runProgram(
      "bundle",
      "submit",
      file,
      "--entry",
      unreachable,
      "--entry",
      setup.entry,
    );
    assert.equal(next.exitCode, 0, next.stderr);
  });
});

test("an unknown command, an unknown flag and an invalid value exit with code 2", async () => {
  const calls = [
    ["bundle", "paint"],
    ["bundle", "check", "x.json", "--colour", "red"],
    ["bundle", "check", "no-such-file.json"],
    ["bundle", "wait", "zero", "--entry", "127.3.0.3:1"],
    ["status", "--entry", "example.org:80"],
    ["status"],
  ];
  for (const argv of calls) {
    const result = await runProgram(...argv);
    assert.equal(result.exitCode, 2, argv.join(" "));
    assert.notEqual(result.stderr, "");
    assert.equal(result.stdout, "");
  }
});
