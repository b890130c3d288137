/**
 * Bundles the program of the platform's VMs into one file: `target/cicadafield.js`.
 *
 * @module
 */
import { build, type Plugin } from "esbuild";

/** CommonJS packages in the bundle call `require`, which ES modules don't define. */
const REQUIRE_BANNER =
  'import { createRequire as requireFrom } from "node:module"; const require = requireFrom(import.meta.url);';

/**
 * Replaces the main file of `ts-results`, which loads its modules in a way that bundlers can't follow, with the
 * package's ES modules, which are the same code.
 */
const TS_RESULTS_ES_MODULES: Plugin = {
  name: "ts-results",
  setup: (pluginBuild) => {
    pluginBuild.onLoad({ filter: /ts-results[\\/]index\.js$/ }, () => ({
      contents:
        'import * as results from "./esm/index.js"; export default results;',
    }));
  },
};

await build({
  entryPoints: ["build/programs/cicadafield_node.js"],
  outfile: "target/cicadafield.js",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  banner: { js: REQUIRE_BANNER },
  plugins: [TS_RESULTS_ES_MODULES],
  legalComments: "none",
});
