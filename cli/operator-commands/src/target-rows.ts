import type {Member} from '@marigoldspur/messages';

/** One target, as the agent beside it reports it. */
export interface TargetRow {
  readonly target: string;
  readonly customer: string;
  readonly service: string;
  readonly zone: string;
  readonly state: 'serving' | 'leaving' | 'down';
  readonly running: number;
  readonly waiting: number;
  readonly slots: string;
  readonly agent: string;
}

/** The targets among the members, by name. */
export function targetRows(members: readonly Member[]): TargetRow[] {
  return members
    .flatMap(member => {
      const {target} = member;
      return target === undefined ? [] : [rowOf(member, target)];
    })
    .sort((a, b) => a.target.localeCompare(b.target));
}

function rowOf(
  member: Member,
  target: NonNullable<Member['target']>,
): TargetRow {
  const {name, customer, service, running, waiting} = target;
  const serving = member.leaving ? 'leaving' : 'serving';
  return {
    target: name,
    customer,
    service,
    zone: member.zone,
    state: target.healthy ? serving : 'down',
    running,
    waiting,
    slots: `${target.resident.length}/${target.slots}`,
    agent: member.id,
  };
}
