import {expect} from 'chai';
import {Registry} from 'prom-client';
import {
  DirectRoutingMetrics,
  fingerprintRequest,
  RequestCrashMonitor,
  type BrokenCall,
} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';
import {createRequestBody} from '@marigoldspur/request-bodies';

const IDENTITY = {
  method: 'POST',
  host: 'a.example',
  path: '/x?y=1',
  credentials: undefined,
  body: createRequestBody('body'),
};

/** Starts entries that hear each other's records at once. */
function startEntries(count: number, seen: {hashes: number}) {
  const monitors: RequestCrashMonitor[] = Array.from(
    {length: count},
    (_, index) =>
      new RequestCrashMonitor({
        entry: `e${index}`,
        broadcast: records =>
          monitors
            .filter((_, other) => other !== index)
            .forEach(monitor => monitor.addRecords(records, 0)),
        onChanged: () => {},
        onBlocked: () => {},
        events: new EventLog({process: 'test'}),
        metrics: new DirectRoutingMetrics(new Registry()),
      }),
  );
  const request = (name: string) => ({
    fingerprint: () => {
      seen.hashes += 1;
      return name;
    },
  });
  const crash = (entry: number, engine: string, names: string[]) =>
    monitors[entry].recordCrashes(
      names.map(name => {
        const target = {id: engine, bornAt: 0};
        const call = {...request(name), target, hasHead: true};
        return {call: call as unknown as BrokenCall, at: 0};
      }),
      0,
    );
  return {crash, monitors, request};
}

it('request crash monitor: crashes that several entries saw add up at all of them', () => {
  const {crash, monitors, request} = startEntries(4, {hashes: 0});
  ['i1', 'i2', 'i3'].forEach((engine, entry) => crash(entry, engine, ['bad']));
  monitors.forEach(monitor => {
    expect(monitor.findBlock(request('bad'))?.engines).to.equal(3);
    expect(monitor.findBlock(request('other'))).to.equal(undefined);
  });
});

it('request crash monitor: an answer at one entry lifts the block at all of them', () => {
  const {crash, monitors, request} = startEntries(3, {hashes: 0});
  ['i1', 'i2', 'i3'].forEach(engine => crash(0, engine, ['r']));
  monitors[2].recordCompletion(request('r'), 5);
  monitors.forEach(monitor =>
    expect(monitor.findBlock(request('r'))).to.equal(undefined),
  );
});

it('request crash monitor: a request that comes half an hour after the last refusal is served', () => {
  const {crash, monitors, request} = startEntries(1, {hashes: 0});
  const [monitor] = monitors;
  ['i1', 'i2', 'i3'].forEach(engine => crash(0, engine, ['bad']));
  const minute = 60_000;
  expect(monitor.refuse(request('bad'), 29 * minute)).to.not.equal(undefined);
  expect(monitor.refuse(request('bad'), 58 * minute)).to.not.equal(undefined);
  expect(monitor.refuse(request('bad'), 89 * minute)).to.equal(undefined);
  expect(monitor.findBlock(request('bad'))).to.equal(undefined);
});

it('request crash monitor: no request is hashed while no engine has crashed', () => {
  const seen = {hashes: 0};
  const {monitors, request} = startEntries(1, seen);
  monitors[0].recordCompletion(request('r'), 0);
  monitors[0].findBlock(request('r'));
  expect(seen.hashes).to.equal(0);
});

it('request fingerprint: each part of the identity counts, and parts do not run together', () => {
  const fingerprints = [
    IDENTITY,
    {...IDENTITY, method: 'PUT'},
    {...IDENTITY, host: 'b.example'},
    {...IDENTITY, path: '/x?y=2'},
    {...IDENTITY, credentials: 'key'},
    {...IDENTITY, body: createRequestBody('body2')},
    {...IDENTITY, body: createRequestBody()},
    {...IDENTITY, path: '/x', body: createRequestBody('?y=1body')},
  ].map(identity => fingerprintRequest(identity));
  expect(new Set(fingerprints).size).to.equal(fingerprints.length);
  expect(fingerprintRequest({...IDENTITY})).to.equal(fingerprints[0]);
});
