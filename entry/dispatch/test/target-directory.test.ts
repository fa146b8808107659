import {expect} from 'chai';
import {TargetDirectory} from '@marigoldspur/dispatch';
import type {LoadReport, Member} from '@marigoldspur/messages';
import type {
  PlacementCandidate,
  PlacementPolicy,
} from '@marigoldspur/placement';
import {
  createLoadReport,
  createTargetReport,
} from '@marigoldspur/report-fixtures';

const REQUIREMENTS = {
  customer: 'callao',
  service: 'lm-desk',
  model: 'a@1',
  tried: new Set<string>(),
};

function agent(name: string, zone: string): Member {
  return {
    id: `agent-${name}`,
    role: 'agent',
    zone,
    boot: 'boot',
    url: 'http://127.0.0.1:1',
    revision: 0,
    leaving: false,
    target: createTargetReport({name, load: undefined}),
  };
}

/** Chooses the first candidate and records all candidates. */
class FirstPlacement implements Pick<PlacementPolicy, 'choose'> {
  seen: readonly PlacementCandidate[] = [];

  choose(_request: unknown, candidates: readonly PlacementCandidate[]) {
    this.seen = candidates;
    return candidates[0];
  }
}

function choose(
  members: readonly Member[],
  loads: {[id: string]: LoadReport} = {},
  tried = new Set<string>(),
) {
  const placement = new FirstPlacement();
  const directory = new TargetDirectory(
    () => members,
    'lima-a',
    {filterUsable: destinations => [...destinations]},
    {
      loadOf: member => loads[member.id],
      isInRegion: member => member.zone.startsWith('lima'),
    },
  );
  directory.choose(
    {...REQUIREMENTS, tried},
    placement as unknown as PlacementPolicy,
    0,
  );
  return placement.seen;
}

it('target directory: targets of other regions are used only if none in the own region serves', () => {
  const members = [agent('far', 'lakes-a'), agent('near', 'lima-b')];
  expect(choose(members).map(each => each.name)).to.deep.equal(['near']);
  const others = choose(members, {}, new Set(['near']));
  expect(others.map(each => each.name)).to.deep.equal(['far']);
});

it('target directory: known load reports are used', () => {
  const load = createLoadReport({resident: ['a@1'], running: 2, waiting: 1});
  const members = [agent('busy', 'lima-a'), agent('unknown', 'lima-a')];
  const [busy, unknown] = choose(members, {'agent-busy': load});
  expect([busy.load, unknown.load]).to.deep.equal([3, 0]);
  expect([...busy.resident]).to.deep.equal(['a@1']);
  expect([...unknown.resident]).to.deep.equal([]);
});
