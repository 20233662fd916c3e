import process from 'node:process';
import {buildSync} from 'esbuild';

const defaultFile = 'target/zinniaspindle.cjs';

/**
 * Bundles the gateway with its platform adapter into one file, the one that is
 * given as an argument if any.
 */
buildSync({
  entryPoints: ['platform/src/main.ts'],
  outfile: process.argv[2] ?? defaultFile,
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  // cbor-x does without its native part, which a bundle cannot hold.
  alias: {'cbor-extract': './scripts/absent_module.cjs'},
  logOverride: {'empty-import-meta': 'silent'},
});
