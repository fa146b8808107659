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
  /** Number of running requests. */
  readonly running: number | '-';
  /** Number of waiting requests. */
  readonly waiting: number | '-';
  /** Number of loaded adapters and number of slots, such as `4/6`. */
  readonly slots: string;
  /** ID of the agent. */
  readonly agent: string;
}

type Facts = ProcessStatus['facts'];

const UNKNOWN = '-';

/** Lists all targets in the order of their names, with the load that their agents report. */
export async function listTargets(
  session: OperatorSession,
): Promise<Result<TargetRow[], Fault>> {
  const members = await session.listMembers();
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
    running: toNumberOrUnknown(facts.running),
    waiting: toNumberOrUnknown(facts.waiting),
    slots: `${countAdapters(facts.resident)}/${target.slots}`,
    agent: member.id,
  };
}

async function readFacts(
  session: OperatorSession,
  url: string,
): Promise<Facts> {
  try {
    const status = await session.createProcessClient(url).status.query();
    return status.facts;
  } catch {
    // The row shows `-` for an agent that does not respond.
    return {};
  }
}

function toNumberOrUnknown(fact: Facts[string] | undefined): number | '-' {
  return typeof fact === 'number' ? fact : UNKNOWN;
}

/** Counts the adapters in a list that is separated by spaces. */
function countAdapters(fact: Facts[string] | undefined): number | '-' {
  return typeof fact === 'string'
    ? fact.split(' ').filter(name => name !== '').length
    : UNKNOWN;
}
