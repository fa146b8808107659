import {expect} from 'chai';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {TargetSelector} from '@marigoldspur/direct-routing';
import {createRandom} from './test-fleet.js';

const SERVICE = {name: 'p', healthPath: '/', maxConnections: 100};
const ROUTE = {name: 'r', streaming: false};
const NEEDS = {service: SERVICE, route: ROUTE, excluded: new Set<string>()};
const TARGETS: TargetAnnouncement[] = ['slow', 'fast'].map(id => ({
  id,
  bornAt: 1,
  sequence: 1,
  service: 'p',
  address: `${id}.test:80`,
  zone: 'z1',
  slots: 4,
  leaving: false,
  models: [],
}));

/** Sends one call to each target, which state `pace`; returns when both have ended. */
function sendCalls(
  selector: TargetSelector,
  now: number,
  pace: number | undefined,
): number {
  for (const target of TARGETS) {
    const tookMs = target.id === 'slow' ? 300 : 30;
    const tracker = selector.startCall(target, undefined, now, ROUTE);
    const response = {
      matchesCallId: true,
      isAttested: true,
      hasNotRun: false,
      isMisdirected: false,
      isLeaving: false,
      load: {running: 0, waiting: 0, slots: 4, pace},
    };
    tracker.recordResponse(response, false, now + tookMs);
    tracker.recordEvent(now + tookMs);
    tracker.recordCompletion(now + tookMs);
    tracker.end(now + tookMs);
  }
  return now + 400;
}

function chooseMany(selector: TargetSelector, now: number): Set<string> {
  const chosen = Array.from(
    {length: 100},
    () => selector.choose(NEEDS, now)!.target.id,
  );
  return new Set(chosen);
}

// Guards against deployments whose targets state no pace and that are served worse by learned costs.
it('stated pace: what was learned decides only once a target of the service has stated its pace', () => {
  const selector = new TargetSelector({
    zone: 'z1',
    targets: () => TARGETS,
    engineView: () => undefined,
    random: createRandom(3),
    requiresStatedPace: true,
  });
  let now = 0;
  for (let call = 0; call < 20; call += 1) {
    now = sendCalls(selector, now, undefined);
  }
  expect(chooseMany(selector, now)).to.deep.equal(new Set(['slow', 'fast']));
  now = sendCalls(selector, now, 1);
  expect(chooseMany(selector, now)).to.deep.equal(new Set(['fast']));
});
