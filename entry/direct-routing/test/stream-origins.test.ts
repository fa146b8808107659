import {expect} from 'chai';
import type {
  ServiceVersion,
  StreamOrigin,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import {
  StreamOrigins,
  type LookupResult,
  type StreamOriginsOptions,
} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';
import {mayContinue} from '@marigoldspur/stream-origins';
import type {RespondingStart} from '@marigoldspur/target-starts';

const NOW = 100_000;

let sent: StreamOrigin[];
let lookups: string[];
let found: LookupResult;
let unfollowedMs: number;
/** Start that targets state. */
let start: RespondingStart;
/** Software versions in the replicated log. */
let recorded: ServiceVersion[] | undefined;
let origins: StreamOrigins;

beforeEach(() => {
  sent = [];
  lookups = [];
  setEvidence([], 3);
  unfollowedMs = 0;
  start = 'announced';
  recorded = undefined;
  origins = create();
});

function create(changes: Partial<StreamOriginsOptions> = {}): StreamOrigins {
  return new StreamOrigins(
    {
      client: {
        broadcast: added => sent.push(...added),
        sendAnew: (_replica, added) => sent.push(...added),
        lookUp: async ({call}) => {
          lookups.push(call ?? 'unnamed');
          return found;
        },
      },
      versionOf: ({softwareVersion}) => softwareVersion,
      recordedVersions: () => recorded,
      startConfirmer: {
        confirm: async () => start,
      },
      unfollowedMs: () => unfollowedMs,
      events: new EventLog({process: 'test'}),
      ...changes,
    },
    0,
  );
}

/**
 * Sets what replicas of control answer: the versions in the log, confirmed by a quorum, and the
 * versions that targets announced lately to the first replica.
 */
function setEvidence(
  versions: readonly string[] | undefined,
  answers = 3,
  recent: readonly string[] = [],
): void {
  const replicas = ['r0', 'r1', 'r2'];
  const ofService = (softwareVersion: string) => ({
    service: 's',
    softwareVersion,
  });
  const evidence = replicas.slice(0, answers).map((replica, index) => {
    const seen = index === 0 ? recent : [];
    return [
      replica,
      {
        ...(versions && {
          confirmed: {versions: versions.map(ofService), replicas},
        }),
        recent: {
          observedMs: NOW,
          versions: seen.map(version => ({...ofService(version), ageMs: 0})),
        },
      },
    ] as const;
  });
  found = {origin: undefined, evidence: new Map(evidence)};
}

function target(id: string, softwareVersion: string): TargetAnnouncement {
  return {id, bornAt: 0, service: 's', softwareVersion} as TargetAnnouncement;
}

function call(id: string, metadata: object = {}, path = '/x') {
  return {
    metadata: {id, ...metadata},
    route: {streaming: true},
    service: {name: 's'},
    method: 'POST',
    headers: {host: 'a'},
    path,
  } as never;
}

function takeUp(resumes: string | undefined, path = '/x', resumeAfter = 3) {
  return origins.resolve(call('c9', {resumeAfter, resumes}, path), () => NOW);
}

async function refusalOf(resumes: string | undefined, path?: string) {
  const resolved = await takeUp(resumes, path);
  return resolved.isErr ? resolved.error : undefined;
}

it('stream origins: a service with one version shares nothing, and any target of it may go on', async () => {
  setEvidence(['v1']);
  origins.recordTargets([target('i1', 'v1'), target('i2', 'v1')], NOW);
  origins.recordFirstEvent(call('c1'), target('i1', 'v1'), NOW);
  const resolved = await takeUp('c0');
  const origin = resolved.unwrapOr(undefined);
  expect(sent).to.have.length(0);
  expect(origin && mayContinue(target('i2', 'v1'), origin)).to.equal(true);
  expect(origin && mayContinue(target('i3', 'v2'), origin)).to.equal(false);
});

// Guards against streams of two versions at an entry that does not know of a release yet.
it('stream origins: a version that this entry does not know of makes an unknown origin uncertain', async () => {
  recorded = [{service: 's', softwareVersion: 'v1'}];
  origins.recordTargets([target('i1', 'v1'), target('i2', 'v1')], NOW);
  setEvidence(['v1', 'v2'], 3, ['v2']);
  expect((await refusalOf('c0'))?.reason).to.equal('stream_origin_unknown');
  const begun = create().originAt(call('c1'), target('i3', 'v2'));
  found = {origin: begun, evidence: new Map()};
  const resolved = await takeUp('c1');
  expect(resolved.unwrapOr(undefined)?.softwareVersion).to.equal('v2');
});

it('stream origins: an earlier version that came back to one replica makes an unknown origin uncertain', async () => {
  origins.recordTargets([target('i1', 'v2')], NOW);
  setEvidence(['v1', 'v2']);
  const resolved = await takeUp('c0');
  expect(resolved.unwrapOr(undefined)?.softwareVersion).to.equal('v2');
  setEvidence(['v1', 'v2'], 2);
  expect((await takeUp('c0')).isErr).to.equal(true);
  setEvidence(['v1', 'v2'], 3, ['v1']);
  expect((await takeUp('c0')).isErr).to.equal(true);
});

it('stream origins: origins are shared once a second version appears, also those from before', () => {
  origins.recordTargets([target('i1', 'v1')], NOW);
  origins.recordFirstEvent(call('c1'), target('i1', 'v1'), NOW);
  origins.recordTargets([target('i1', 'v1'), target('i2', 'v2')], NOW + 1);
  origins.recordFirstEvent(call('c2'), target('i2', 'v2'), NOW + 2);
  const shared = sent.map(origin => [origin.call, origin.softwareVersion]);
  expect(shared).to.deep.equal([
    ['c1', 'v1'],
    ['c2', 'v2'],
  ]);
});

it('stream origins: right after the start, one version is certain only if the replicated log holds no other', async () => {
  const now = 1_000;
  const takeUpNow = () =>
    origins.resolve(call('c9', {resumeAfter: 3, resumes: 'c0'}), () => now);
  origins.recordTargets([target('i1', 'v1')], now);
  setEvidence(undefined);
  expect((await takeUpNow()).isErr).to.equal(true);
  setEvidence(['v1']);
  expect((await takeUpNow()).isOk).to.equal(true);
  setEvidence(['v0', 'v1']);
  found = {
    ...found,
    evidence: new Map(
      [...found.evidence].map(([replica, evidence]) => [
        replica,
        {...evidence, recent: {observedMs: now, versions: []}},
      ]),
    ),
  };
  expect((await takeUpNow()).isErr).to.equal(true);
});

it('stream origins: only the announced start of a target is confirmed, with one version too', async () => {
  origins.recordTargets([target('i1', 'v1')], NOW);
  for (const [stated, isConfirmed] of [
    ['announced', true],
    ['other', false],
    ['unknown', false],
  ] as const) {
    start = stated;
    const confirmed = await origins.confirmStart(target('i1', 'v1'), {});
    expect(confirmed, stated).to.equal(isConfirmed);
  }
});

it('stream origins: a stream that this entry began is known without a lookup', async () => {
  origins.recordTargets([target('i1', 'v1'), target('i2', 'v2')], NOW);
  origins.recordFirstEvent(call('c1'), target('i2', 'v2'), NOW);
  const resolved = await takeUp('c1');
  expect(resolved.isOk && resolved.value?.softwareVersion).to.equal('v2');
  expect(lookups).to.have.length(0);
});

it('stream origins: a stream that another entry began is looked up', async () => {
  origins.recordTargets([target('i1', 'v1'), target('i2', 'v2')], NOW);
  const other = create();
  const origin = other.originAt(call('c1'), target('i1', 'v1'));
  found = {origin, evidence: new Map()};
  const resolved = await takeUp('c1');
  expect(resolved.isOk && resolved.value?.softwareVersion).to.equal('v1');
  expect(lookups).to.deep.equal(['c1']);
  expect((await refusalOf('c1', '/other'))?.reason).to.equal(
    'stream_origin_unknown',
  );
});

it('stream origins: a stream of unknown origin is refused, with a time to come back only if nobody could be asked', async () => {
  origins.recordTargets([target('i1', 'v1'), target('i2', 'v2')], NOW);
  setEvidence(['v1', 'v2']);
  const known = await refusalOf('c0');
  expect(known).to.include({
    outcome: 'not-run',
    status: 503,
    reason: 'stream_origin_unknown',
    retryAfterSeconds: undefined,
  });
  const unnamed = await refusalOf(undefined);
  expect(unnamed?.retryAfterSeconds).to.equal(undefined);
  setEvidence(undefined);
  expect((await refusalOf('c0'))?.retryAfterSeconds).to.be.above(0);
});

// Guards against streams numbered from 0 that go on at another version after their first event.
it('stream origins: a call after event 0 takes a stream up, and one that states no event begins one', async () => {
  origins.recordTargets([target('i1', 'v1'), target('i2', 'v2')], NOW);
  origins.recordFirstEvent(call('c1'), target('i2', 'v2'), NOW);
  const taken = await takeUp('c1', '/x', 0);
  expect(taken.isOk && taken.value?.softwareVersion).to.equal('v2');
  setEvidence(['v1', 'v2']);
  expect((await takeUp('c0', '/x', 0)).isErr).to.equal(true);
  expect(lookups).to.deep.equal(['c0']);
  const begun = await origins.resolve(call('c2'), () => NOW);
  expect(begun.isOk && begun.value).to.equal(undefined);
  expect(lookups).to.have.length(1);
});

it('stream origins: without a quorum one version is not certain, but what this entry began is known', async () => {
  origins.recordTargets([target('i1', 'v1')], NOW);
  setEvidence(undefined);
  const refusal = await refusalOf('c0');
  expect(refusal?.reason).to.equal('stream_origin_unknown');
  expect(refusal?.retryAfterSeconds).to.be.above(0);
  origins.recordFirstEvent(call('c1'), target('i1', 'v1'), NOW);
  expect((await takeUp('c1')).isOk).to.equal(true);
});

it('stream origins: an entry that does not follow all replicas shares its origins', () => {
  origins.recordTargets([target('i1', 'v1')], NOW);
  unfollowedMs = 5_000;
  origins.recordFirstEvent(call('c1'), target('i1', 'v1'), NOW);
  expect(sent.map(({call: begun}) => begun)).to.contain('c1');
});
