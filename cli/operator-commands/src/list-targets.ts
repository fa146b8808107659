import {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';
import type {Member, ProcessStatus, TargetReport} from '@marigoldspur/messages';
import type {OperatorSession} from './operator-session.js';

/** One target, as its agent reports it; `-` stands for values that the agent did not report. */
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

/** Lists all targets by name, with the load that their agents report. */
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
        : [readTargetRow(session, member, member.target)],
    ),
  );
  return Result.ok(rows.sort((a, b) => a.target.localeCompare(b.target)));
}

async function readTargetRow(
  session: OperatorSession,
  member: Member,
  target: TargetReport,
): Promise<TargetRow> {
  const {name, customer, service} = target;
  const facts = await readFacts(session, member.url);
  const serving = member.leaving ? 'leaving' : 'serving';
  return {
    target: name,
    customer,
    service,
    zone: member.zone,
    state: target.healthy ? serving : 'down',
    running: numberOrUnknown(facts.running),
    waiting: numberOrUnknown(facts.waiting),
    slots: `${adapterCount(facts.resident)}/${target.slots}`,
    agent: member.id,
  };
}

async function readFacts(
  session: OperatorSession,
  url: string,
): Promise<Facts> {
  try {
    const status = await session.process(url).status.query();
    return status.facts;
  } catch {
    // The row shows `-` for an agent that does not answer.
    return {};
  }
}

function numberOrUnknown(fact: Facts[string] | undefined): number | '-' {
  return typeof fact === 'number' ? fact : UNKNOWN;
}

/** Counts the adapters in a list that is separated by spaces. */
function adapterCount(fact: Facts[string] | undefined): number | '-' {
  return typeof fact === 'string'
    ? fact.split(' ').filter(name => name !== '').length
    : UNKNOWN;
}
