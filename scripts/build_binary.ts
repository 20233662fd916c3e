import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {buildSync} from 'esbuild';

const outputDirectory = path.resolve('dist');
const bundleFile = path.join(outputDirectory, 'zinniaspindle.cjs');
const settingsFile = path.join(outputDirectory, 'sea.json');
const blobFile = path.join(outputDirectory, 'zinniaspindle.blob');
const binaryFile = path.join(outputDirectory, 'zinniaspindle');
/** The mark in Node's own binary that says a program was put in. */
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const ownerRunnable = 0o755;

/** Native modules that their users do without when they are missing. */
const absentModule = './scripts/absent_module.cjs';
const absentModules = {
  'cbor-extract': absentModule,
  'unix-dgram': absentModule,
};

function buildBundle(): void {
  buildSync({
    entryPoints: ['packages/cli/src/main.ts'],
    outfile: bundleFile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    // Left outside, each start of the binary would print a warning.
    alias: absentModules,
    // No file lies beside a binary, so the code that asks never runs there.
    logOverride: {'empty-import-meta': 'silent'},
  });
}

function buildBlob(): void {
  const settings = {
    main: bundleFile,
    output: blobFile,
    disableExperimentalSEAWarning: true,
  };
  writeFileSync(settingsFile, JSON.stringify(settings));
  runNode(['--experimental-sea-config', settingsFile]);
}

function injectBlob(): void {
  copyFileSync(process.execPath, binaryFile);
  chmodSync(binaryFile, ownerRunnable);
  const resource = ['NODE_SEA_BLOB', blobFile];
  const postject = path.resolve('node_modules/postject/dist/cli.js');
  const fuse = ['--sentinel-fuse', sentinelFuse];
  runNode([postject, binaryFile, ...resource, ...fuse]);
}

function runNode(argumentList: readonly string[]): void {
  execFileSync(process.execPath, argumentList, {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

mkdirSync(outputDirectory, {recursive: true});
buildBundle();
buildBlob();
injectBlob();
console.log(binaryFile);
