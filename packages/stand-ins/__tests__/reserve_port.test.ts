import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {createServer, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {reservePort} from '../src/index.js';

const source = fileURLToPath(
  new URL('../src/reserve_port.ts', import.meta.url),
);

/** Reserves ports in a process of its own, which lives on for a moment. */
async function reserveElsewhere(count: number): Promise<number[]> {
  const script = `
    const {reservePort} = await import(${JSON.stringify(source)});
    const ports = [];
    while (ports.length < ${count}) ports.push(await reservePort());
    console.log(JSON.stringify(ports));
    setTimeout(() => process.exit(0), 1500);`;
  const run = promisify(execFile);
  const options = ['--import', 'tsx', '--input-type=module', '-e', script];
  const {stdout} = await run(process.execPath, options);
  return JSON.parse(stdout) as number[];
}

test('processes that reserve ports at the same time get different ones', async () => {
  const lists = await Promise.all([1, 2, 3, 4].map(() => reserveElsewhere(60)));
  const ports = lists.flat();
  assert.equal(new Set(ports).size, 240);
});

// A server that listens on port 0 got the port of a VM that had not started yet.
test('no server that listens on port 0 gets a reserved port', async () => {
  const reserved = new Set<number>();
  while (reserved.size < 20) reserved.add(await reservePort());
  for (let i = 0; i < 500; i += 1) {
    const server = createServer().listen(0, '127.0.0.1');
    await new Promise(resolve => server.once('listening', resolve));
    const {port} = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    assert.ok(!reserved.has(port) && port >= 32_768, `${port}`);
  }
});
