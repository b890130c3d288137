/**
 * The operator's part of the quickstart, through the command line: drafts a bundle change, signs and submits it,
 * and waits until it is active on every entry VM.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import type { Bundle } from "#core";
import type { ProcessCluster } from "./process_cluster.ts";

const PROGRAM = join(
  dirname(fileURLToPath(import.meta.url)),
  "../programs/cicadafield.js",
);
const PRIVATE_FILE_MODE = 0o600;
const WAIT_SECONDS = "30";

const execFileAsync = promisify(execFile);

/** Submits a signed bundle that doubles one tenant's weight; resolves with its version once all entry VMs use it. */
export async function changeBundle(cluster: ProcessCluster): Promise<number> {
  const folder = mkdtempSync(join(tmpdir(), "cicadafield-operator-"));
  try {
    return await draftSignAndSubmit(cluster, folder);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

async function draftSignAndSubmit(
  cluster: ProcessCluster,
  folder: string,
): Promise<number> {
  const operator = cluster.operators[0];
  const key = join(folder, `${operator.name}.pem`);
  const draft = join(folder, "bundle.json");
  const signed = join(folder, "bundle.signed.json");
  const pem = operator.privateKey.export({ format: "pem", type: "pkcs8" });
  writeFileSync(key, pem, { mode: PRIVATE_FILE_MODE });
  const entries = cluster.vms("entry")
    .flatMap((vm) => ["--entry", `${vm.http.host}:${vm.http.port}`]);
  const draftText = await runCommand(["bundle", "draft", ...entries]);
  const bundle = doubleWeight(JSON.parse(draftText) as Bundle);
  writeFileSync(draft, JSON.stringify(bundle));
  await runCommand(["bundle", "sign", draft, "--key", key, "--out", signed]);
  await runCommand(["bundle", "submit", signed, ...entries]);
  const version = String(bundle.version);
  const wait = ["bundle", "wait", version, "--seconds", WAIT_SECONDS];
  await runCommand([...wait, ...entries]);
  return bundle.version;
}

function doubleWeight(bundle: Bundle): Bundle {
  const tenants = bundle.tenants.map((tenant) =>
    tenant.name === "tana" ? { ...tenant, weight: tenant.weight * 2 } : tenant
  );
  return { ...bundle, tenants };
}

async function runCommand(argv: readonly string[]): Promise<string> {
  const { stdout } = await execFileAsync(process.execPath, [PROGRAM, ...argv]);
  return stdout;
}
