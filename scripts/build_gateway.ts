import {buildSync} from 'esbuild';

/** Bundles the gateway with its platform adapter into one file. */
buildSync({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/zinniaspindle.cjs',
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  // cbor-x does without its native part, which a bundle cannot hold.
  alias: {'cbor-extract': './scripts/absent_module.cjs'},
  logOverride: {'empty-import-meta': 'silent'},
});
