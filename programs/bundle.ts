/**
 * Bundles the program of the platform's VMs into one file: `target/cicadafield.js`.
 *
 * @module
 */
import { build, type Plugin } from "esbuild";

/** Packages in the older module format look for `require`. */
const REQUIRE_BANNER =
  'import { createRequire as requireFrom } from "node:module"; const require = requireFrom(import.meta.url);';

/** The package's main file loads its parts in a way that bundlers can't follow; its ES modules are the same code. */
const RESULT_MODULES: Plugin = {
  name: "ts-results",
  setup: (building) => {
    building.onLoad({ filter: /ts-results[\\/]index\.js$/ }, () => ({
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
  plugins: [RESULT_MODULES],
  legalComments: "none",
});
