/**
 * `npm run mixed-builds -- --other FOLDER [--only product|platform]`: checks that this build runs on the data and
 * settings of another build, and that processes of both builds form one cluster, with a leader from either build.
 * FOLDER is the `build` folder of another checkout, such as the previous release.
 *
 * @module
 */
import { resolve } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { checkPlatform } from "./mixed_builds_platform.ts";
import { checkProduct } from "./mixed_builds_product.ts";

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: { other: { type: "string" }, only: { type: "string" } },
  });
  if (values.other === undefined) {
    console.error(
      "usage: npm run mixed-builds -- --other FOLDER [--only product|platform]",
    );
    return 2;
  }
  const programs = resolve(values.other, "programs");
  if (values.only !== "platform") await checkProduct(programs);
  if (values.only !== "product") await checkPlatform(programs);
  return 0;
}

process.exit(await main());
