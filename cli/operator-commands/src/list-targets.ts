import {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';
import type {Member, ProcessStatus, TargetReport} from '@marigoldspur/messages';
import type {OperatorSession} from './operator-session.js';

/** One target, as the agent beside it reports it; `-` is what the agent did not tell. */
export interface TargetRow {
  readonly target: string;
  readonly customer: string;
  readonly service: string;
  readonly zone: string;
  readonly state: 'serving' | 'leaving' | 'down';
  readonly running: number | '-';
  readonly waiting: number | '-';
  readonly slots: string;
  readonly agent: string;
}

type Facts = ProcessStatus['facts'];

const UNKNOWN = '-';

/** The targets among the members, by name; their agents are asked how busy they are. */
export async function listTargets(
  session: OperatorSession,
): Promise<Result<TargetRow[], Fault>> {
  const members = await session.members();
  if (members.isErr) {
    return Result.err(members.error);
  }
  const rows = await Promise.all(
    members.value.flatMap(member =>
      member.target === undefined
        ? []
        : [rowFor(session, member, member.target)],
    ),
  );
  return Result.ok(rows.sort((a, b) => a.target.localeCompare(b.target)));
}

async function rowFor(
  session: OperatorSession,
  member: Member,
  target: TargetReport,
): Promise<TargetRow> {
  const {name, customer, service} = target;
  const facts = await factsOf(session, member.url);
  const serving = member.leaving ? 'leaving' : 'serving';
  return {
    target: name,
    customer,
    service,
    zone: member.zone,
    state: target.healthy ? serving : 'down',
    running: countOf(facts.running),
    waiting: countOf(facts.waiting),
    slots: `${heldOf(facts.resident)}/${target.slots}`,
    agent: member.id,
  };
}

async function factsOf(session: OperatorSession, url: string): Promise<Facts> {
  try {
    const status = await session.process(url).status.query();
    return status.facts;
  } catch {
    // The row says that the agent gave no answer.
    return {};
  }
}

function countOf(fact: Facts[string] | undefined): number | '-' {
  return typeof fact === 'number' ? fact : UNKNOWN;
}

/** Adapters in a list that is separated by spaces. */
function heldOf(fact: Facts[string] | undefined): number | '-' {
  return typeof fact === 'string'
    ? fact.split(' ').filter(name => name !== '').length
    : UNKNOWN;
}
