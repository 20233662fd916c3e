import {readdirSync, readFileSync, existsSync} from 'node:fs';
import path from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

const knownRedFile = 'KNOWN-RED.txt';
const concurrency = 6;
/** Begins the names of files that run one at a time, after all others. */
const alonePrefix = 'alone_';

/** Lists every test file of the workspace, in a stable order. */
function listTestFiles(): string[] {
  const files: string[] = [];
  const folders = readdirSync('packages').sort();
  const roots = folders.map(name => path.join('packages', name));
  for (const root of [...roots, 'platform']) {
    const directory = path.join(root, '__tests__');
    if (!existsSync(directory)) continue;
    for (const entry of readdirSync(directory).sort()) {
      if (entry.endsWith('.test.ts')) files.push(path.join(directory, entry));
    }
  }
  return files;
}

/** Reads the names of tests that are listed as known failures, one a line before a bar. */
function readKnownRed(): string[] {
  if (!existsSync(knownRedFile)) return [];
  const names: string[] = [];
  for (const line of readFileSync(knownRedFile, 'utf8').split('\n')) {
    if (line.startsWith('#') || line.trim() === '') continue;
    names.push(line.split('|')[0]!.trim());
  }
  return names;
}

/** A listed day of the users' bench is no test of this command. */
function describeKnownRed(name: string): string {
  if (knownRedSeen.includes(name)) return 'failed as listed';
  return knownRedPassed.includes(name) ? 'passed' : 'not part of this run';
}

const only = process.argv.slice(2);
const files = listTestFiles().filter(
  file => only.length === 0 || only.some(part => file.includes(part)),
);
const knownRed = readKnownRed();
const knownRedSeen: string[] = [];
const knownRedPassed: string[] = [];
let passed = 0;
let failed = 0;

/** Runs test files and counts their results. */
function runFiles(names: readonly string[], concurrent: number): Promise<void> {
  if (names.length === 0) return Promise.resolve();
  const stream = run({
    files: names.map(file => path.resolve(file)),
    concurrency: concurrent,
  });
  stream.on('test:pass', event => {
    if (event.details.type !== 'suite') passed += 1;
    if (knownRed.includes(event.name)) knownRedPassed.push(event.name);
  });
  stream.on('test:fail', event => {
    const cause = event.details.error as {failureType?: string} | undefined;
    if (cause?.failureType === 'subtestsFailed') return;
    if (knownRed.includes(event.name)) {
      knownRedSeen.push(event.name);
      return;
    }
    failed += 1;
  });
  stream.compose(new spec()).pipe(process.stdout, {end: false});
  return new Promise(resolve => stream.on('end', resolve));
}

const isAlone = (file: string) => path.basename(file).startsWith(alonePrefix);
await runFiles(
  files.filter(file => !isAlone(file)),
  concurrency,
);
await runFiles(files.filter(isAlone), 1);
for (const name of knownRed) {
  console.log(`known red: ${name}: ${describeKnownRed(name)}`);
}
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
