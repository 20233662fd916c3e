import assert from 'node:assert/strict';
import {test} from 'node:test';
import {IntakeKind, IntakeSource, kindLimits} from '@zinniaspindle/decisions';
import {encodeFrame, FrameReader} from '@zinniaspindle/framing';
import fc from 'fast-check';
import {BoundedBody} from '../src/requests/bounded_body.js';
import {EventSplitter} from '../src/requests/event_splitter.js';
import {makeIntake} from './make_intake.js';

const runs = {numRuns: 1000, seed: 35};
const {maxItem} = kindLimits[IntakeKind.PartialEvent];
const maxChunkBytes = 64 * 1024;

/** Pieces of a stream: ends of events, short and long texts. */
const pieces = fc.array(
  fc.oneof(
    fc.constantFrom('\n', '\n\n', 'id: 7\n', 'data: x'),
    fc.integer({min: 1, max: 40_000}).map(length => 'x'.repeat(length)),
  ),
  {maxLength: 30},
);
const cuts = fc.array(fc.integer({min: 1, max: maxChunkBytes}), {
  minLength: 1,
  maxLength: 20,
});

/** Cuts bytes into chunks of the given lengths, again and again. */
function listChunks(bytes: Buffer, lengths: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let at = 0;
  for (let i = 0; at < bytes.length; i += 1) {
    const end = at + lengths[i % lengths.length]!;
    chunks.push(bytes.subarray(at, end));
    at = end;
  }
  return chunks;
}

test('a splitter gives the events of a stream, or a bound that it kept', () => {
  const check = (texts: readonly string[], lengths: readonly number[]) => {
    const stream = Buffer.from(texts.join(''));
    const intake = makeIntake();
    const splitter = new EventSplitter(intake);
    const given: Buffer[] = [];
    for (const chunk of listChunks(stream, lengths)) {
      const events = splitter.accept(chunk);
      if (events !== undefined) given.push(events.bytes);
      assert.ok(intake.countBytes(IntakeSource.Endpoints) <= maxItem);
      if (splitter.excess !== undefined) break;
    }
    const whole = Buffer.concat(given);
    assert.ok(whole.equals(stream.subarray(0, whole.length)));
    if (splitter.excess === undefined) {
      const end = stream.lastIndexOf('\n\n');
      assert.equal(whole.length, end === -1 ? 0 : end + 2);
    }
    splitter.drop();
    assert.equal(intake.countBytes(IntakeSource.Endpoints), 0);
  };
  fc.assert(fc.property(pieces, cuts, check), runs);
});

test('a body keeps all its bytes up to its bound, and none beyond', () => {
  const check = (texts: readonly string[], lengths: readonly number[]) => {
    const bytes = Buffer.from(texts.join(''));
    const intake = makeIntake();
    const body = new BoundedBody(intake);
    for (const chunk of listChunks(bytes, lengths)) {
      if (body.add(IntakeKind.ErrorBody, chunk) !== undefined) break;
    }
    const kept = body.toBuffer();
    assert.ok(kept.length <= kindLimits[IntakeKind.ErrorBody].maxItem);
    assert.ok(kept.equals(bytes.subarray(0, kept.length)));
    assert.equal(intake.countBytes(IntakeSource.Endpoints), kept.length);
  };
  fc.assert(fc.property(pieces, cuts, check), runs);
});

test('frames come whole whatever the chunks, and random bytes never throw', () => {
  const messages = fc.array(fc.string({maxLength: 3000}), {maxLength: 10});
  const tail = fc.uint8Array({maxLength: 200});
  const check = (
    texts: readonly string[],
    lengths: readonly number[],
    rest: Uint8Array,
  ) => {
    const frames = texts.map(text => encodeFrame(text));
    const reader = new FrameReader();
    const read: unknown[] = [];
    for (const chunk of listChunks(Buffer.concat(frames), lengths)) {
      const result = reader.accept(chunk);
      assert.ok(result.isOk);
      read.push(...result.value);
    }
    assert.deepEqual(read, texts);
    for (const chunk of listChunks(Buffer.from(rest), lengths)) {
      if (reader.accept(chunk).isErr) break;
    }
  };
  fc.assert(fc.property(messages, cuts, tail, check), runs);
});
